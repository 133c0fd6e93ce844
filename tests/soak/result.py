"""Outcome of a soak run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak.ledger import Ledger
    from tests.soak.version_streams import VersionCounts


@dataclass(frozen=True)
class Moves:
    """What became of the runs of long streams; all 0 in a run without moves."""

    runs: int
    stopped: int
    """Number of runs that were stopped by a call."""
    continued: int
    """Number of runs that were continued at another engine."""
    returned: int
    """Number of runs that were continued at the engine that had been asked to stop them."""
    truncated: Counter[str]
    """Number of truncated answers, by cause."""
    whole: int
    faults: Counter[str]
    """Faults of calls and of requests with a handle that occurred, by name."""


def count_moves(ledger: Ledger) -> Moves:
    """Return what became of the runs of long streams."""
    memories = ledger.memories
    answers = [item for item in ledger.answers if item.kind == "long" and item.status == 200]
    continued, returned = memories.continued_counts()
    return Moves(
        runs=len(memories.runs),
        stopped=memories.stopped_count(),
        continued=continued,
        returned=returned,
        truncated=ledger.truncation_causes(),
        whole=sum(item.whole for item in answers),
        faults=Counter(memories.call_faults),
    )


@dataclass(frozen=True)
class Result:
    """Outcome of a soak run."""

    faults: list[str]
    errors: list[str]
    late_sends: int
    engines_crashed: int
    """Number of engines crashed by the deadly request."""
    crashed_by_varying: int
    """Number of engines crashed by deadly requests with varying bodies."""
    crashed_by_parts: int
    """Number of engines crashed by requests with a deadly part in their prompts."""
    prompts_served: tuple[int, int]
    """Sound requests with the same other parts in the quiet time: number served, number sent."""
    cooldowns: int
    leaving_answers: int
    limited_runs: dict[str, int]
    """Requests run at each engine incarnation that ever stated a limit."""
    versions: VersionCounts
    broken_streams: int
    """Number of streams that engines broke off inside an event."""
    served: tuple[int, int]
    """Ordinary requests in the quiet time at the end: number served, number sent."""
    common_served: tuple[int, int]
    idle_engines: set[str]
    """Names of engines that received no requests in the quiet time."""
    sent_requests: int
    moves: Moves
    max_lag: float
    """Longest delay in seconds of the test process itself. Gateways lack processor time at the same
    moments, so that a late answer then shows no fault of theirs."""
    traces: dict[str, list[str]]
    """For each violation that names a request, what gateways and engines did with it, in order."""

    @property
    def served_fraction(self) -> float:
        """Return the fraction of ordinary and common requests that were served at the end."""
        served = self.served[0] + self.common_served[0]
        return served / max(1, self.served[1] + self.common_served[1])
