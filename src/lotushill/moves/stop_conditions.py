"""Decides whether a run whose memory was copied may be stopped, to continue at the copy's upstream.

A stop cannot be undone, so retries for the way to the target and for the way back are needed. Of a
run that would be interrupted at its source anyway, only the target must accept requests.
"""

from __future__ import annotations

from dataclasses import dataclass

from lotushill.moves.move_plan import Cause

RETRIES_PER_STOP = 2
"""Retries reserved before a run is stopped: one to its target and one back to its source."""
_MAX_FAILURE_RATE = 0.05
"""Failure rate from which an upstream may refuse a stopped run; any failure in the last seconds
exceeds it."""


@dataclass(frozen=True)
class StopConditions:
    """State of a run, its source and the target that holds a copy of its memory."""

    cause: Cause
    """Reason why the run is moved."""
    run_ended: bool
    target_accepts: bool
    """Whether the target accepts requests: it is not leaving and not in cooldown."""
    target_failure_rate: float
    """Fraction of the latest requests to the target that failed."""
    source_accepts: bool
    source_failure_rate: float
    source_limited: bool
    """Whether the source has a rate limit, whose permits are given for requests of clients only."""


def stop_obstacle(conditions: StopConditions) -> str:
    """Return why the run must not be stopped now, empty if it may be."""
    if conditions.run_ended:
        return "run has ended"
    if not conditions.target_accepts:
        return "target accepts no requests"
    if conditions.cause is Cause.LEAVING:
        return ""
    if conditions.target_failure_rate >= _MAX_FAILURE_RATE:
        return "target fails requests"
    if conditions.cause is Cause.STALLED:
        return ""
    if not conditions.source_accepts:
        return "source accepts no requests"
    if conditions.source_failure_rate >= _MAX_FAILURE_RATE:
        return "source fails requests"
    return "source has a rate limit" if conditions.source_limited else ""
