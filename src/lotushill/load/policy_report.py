"""Runs policies over seeds and puts their figures together."""

from __future__ import annotations

from statistics import mean
from typing import TYPE_CHECKING
from typing import Any

from lotushill.load.policy import POLICIES
from lotushill.load.policy import VARIANTS
from lotushill.load.policy import Policy
from lotushill.load.policy import Result
from lotushill.load.policy import run_policy
from lotushill.load.shapes import SHAPES

if TYPE_CHECKING:
    from lotushill.load.shapes import Shape


def compare(
    shape_name: str,
    overload: float,
    seeds: tuple[int, ...],
    seconds: float,
    crashes: bool,
    variants: bool,
    only: tuple[str, ...] = (),
) -> dict[str, Any]:
    """Return the figures of every policy, each the mean over the seeds."""
    shape = SHAPES[shape_name]
    report: dict[str, Any] = {
        "shape": shape_name,
        "overload": overload,
        "seeds": list(seeds),
        "seconds": seconds,
        "crashes": crashes,
        "policies": {},
    }
    for policy in VARIANTS if variants else POLICIES:
        if only and policy.name not in only:
            continue
        results = [run_policy(shape, policy, overload, seed, seconds, crashes) for seed in seeds]
        report["policies"][policy.name] = _figures(shape, policy, results)
    return report


def table(report: dict[str, Any]) -> str:
    """Return the figures as a table of Markdown."""
    figures = report["policies"]
    classes = list(next(iter(figures.values()))["attainment"])
    heads = ["policy", *(f"{name} in time" for name in classes)]
    heads += [f"{name} completed" for name in classes] + [
        "good tokens",
        "wasted",
        "top equal teams",
    ]
    lines = [f"| {' | '.join(heads)} |", "|" + "---|" * len(heads)]
    for name, values in figures.items():
        cells = [name, *(f"{values['attainment'][item]:.3f}" for item in classes)]
        cells += [f"{values['completed'][item]:.3f}" for item in classes]
        cells += [f"{values['good_tokens']:.0f}", f"{values['wasted_share']:.4f}"]
        cells.append(f"{values['equal_team_spread']:.3f}")
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def _figures(shape: Shape, policy: Policy, results: list[Result]) -> dict[str, Any]:
    names = [klass.name for klass in shape.classes]
    return {
        "attainment": {
            name: mean(result.classes[name].attainment for result in results) for name in names
        },
        "completed": {
            name: mean(
                result.classes[name].completed / result.classes[name].requests for result in results
            )
            for name in names
        },
        "good_tokens": mean(result.good_tokens for result in results),
        "wasted_share": mean(result.wasted_share for result in results),
        "equal_team_spread": mean(_spread(result) for result in results),
    }


def _spread(result: Result) -> float:
    """Return how far the tokens of equal small teams lie apart, over their mean."""
    small = [result.team_tokens.get(f"team-{index}", 0) for index in range(4, 10)]
    return (max(small) - min(small)) / mean(small) if any(small) else 0.0
