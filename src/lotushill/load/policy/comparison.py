"""Compares variants of the placement policy on one scenario over several seeds."""

from __future__ import annotations

import importlib
import statistics
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.load.policy.replay import Replay

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from lotushill.load.policy.result import Result
    from lotushill.load.policy.scenario import Scenario

_PACKAGE = "lotushill."


class UnknownConstantError(Exception):
    """Raised if a variant names a constant that no module defines."""


@dataclass(frozen=True)
class Outcome:
    """The result of one variant with one seed."""

    variant: str
    seed: int
    result: Result


def compare(scenario: Scenario, seeds: int, processes: int) -> list[Outcome]:
    """Play each variant of a scenario with each seed; without variants, the unchanged policy."""
    variants = scenario.variants or {"as it is": {}}
    with ProcessPoolExecutor(processes) as pool:
        plays = [
            pool.submit(_play, scenario, name, figures, seed)
            for name, figures in variants.items()
            for seed in range(seeds)
        ]
        return [play.result() for play in plays]


def table(outcomes: list[Outcome]) -> str:
    """Return one line per variant with the mean and range of the credit, and each class."""
    lines = []
    for name in dict.fromkeys(item.variant for item in outcomes):
        results = [item.result for item in outcomes if item.variant == name]
        credits = [result.credit for result in results]
        worst = statistics.mean(result.worst_windows_credit() for result in results)
        busiest = statistics.mean(result.busiest_ratio for result in results)
        again = statistics.mean(result.refused_again_fraction for result in results)
        classes = "  ".join(
            f"{kind} {_on_time_fraction(results, kind):.2f} in time" for kind in results[0].classes
        )
        lines.append(
            f"{name:20} credit {statistics.mean(credits):.3f} "
            f"({min(credits):.3f} to {max(credits):.3f})  worst windows {worst:.2f}  "
            f"busiest {busiest:.2f}  {classes}  "
            f"refused again {again:.2f}  "
            f"put behind {sum(len(result.put_behind) for result in results)}"
            f"{_format_teams(results)}"
        )
    return "\n".join(lines)


def _format_teams(results: list[Result]) -> str:
    """Return the mean credit of teams without a burst, and that of the worst tenth of them."""
    team_credits = [result.other_team_credits() for result in results]
    if not all(team_credits):
        return ""
    means = [statistics.mean(shares) for shares in team_credits]
    tenths = [statistics.mean(shares[: max(1, len(shares) // 10)]) for shares in team_credits]
    return f"  other teams {statistics.mean(means):.3f}, worst {statistics.mean(tenths):.3f}"


def _on_time_fraction(results: list[Result], kind: str) -> float:
    asked = sum(result.classes[kind].asked for result in results)
    return sum(result.classes[kind].in_time for result in results) / max(1, asked)


def _play(scenario: Scenario, name: str, overrides: Mapping[str, float], seed: int) -> Outcome:
    with overridden_constants(overrides):
        return Outcome(name, seed, Replay(scenario, seed).play())


@contextmanager
def overridden_constants(overrides: Mapping[str, float]) -> Iterator[None]:
    """Override constants within the context; keys are `module.CONSTANT` within the package."""
    originals = {}
    for path, value in overrides.items():
        module_name, _, constant = path.rpartition(".")
        try:
            module = importlib.import_module(_PACKAGE + module_name)
            originals[module, constant] = getattr(module, constant)
        except (ImportError, AttributeError) as error:
            raise UnknownConstantError(path) from error
        setattr(module, constant, value)
    try:
        yield
    finally:
        for (module, constant), value in originals.items():
            setattr(module, constant, value)
