"""Compares schemes that keep to a limit, over numbers of gateways and rates."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.load.limits.emulated_fleet import WINDOW_SECONDS
from lotushill.load.limits.emulated_fleet import EmulatedFleet
from lotushill.load.limits.emulated_fleet import Play
from lotushill.load.limits.emulated_fleet import max_requests_per_window
from lotushill.load.limits.schemes import SCHEMES

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.load.limits.emulated_fleet import Outcome

_MIN_PLAY_SECONDS = 20.0
_MIN_ALLOWED_REQUESTS = 12.0
"""Minimum number of requests that the limit allows over the duration of one play."""


@dataclass(frozen=True)
class Row:
    """The result of one play: one scheme with a number of gateways at one rate."""

    play: Play
    outcome: Outcome


def compare(gateways: Sequence[int], rates: Sequence[float], processes: int) -> list[Row]:
    """Play each scheme with each number of gateways and each rate, without faults."""
    plays = [
        Play(count, rate, scheme, seconds=max(_MIN_PLAY_SECONDS, _MIN_ALLOWED_REQUESTS / rate))
        for count in gateways
        for rate in rates
        for scheme in SCHEMES
    ]
    with ProcessPoolExecutor(processes) as pool:
        return [Row(play, outcome) for play, outcome in zip(plays, pool.map(_play, plays))]


def table(rows: Sequence[Row]) -> str:
    """Return a table of text with one line per play."""
    return "\n".join(
        f"{row.play.gateways:4} gateways  {row.play.rate:5g} a second  {row.play.scheme:8} "
        f"most in {WINDOW_SECONDS:g} s {row.outcome.max_in_window:4} "
        f"(promised {max_requests_per_window(row.play.rate):g})  "
        f"used {row.outcome.used_fraction:.2f}  "
        f"{row.outcome.datagrams_per_second:7.0f} datagrams a second  "
        f"{row.outcome.admit_ms:5.1f} ms a decision"
        for row in rows
    )


def _play(play: Play) -> Outcome:
    return EmulatedFleet(play).run()
