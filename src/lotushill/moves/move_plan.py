"""Decides whether a run is worth moving to another upstream with its memory, and in which order.

Three load cases: upstreams that leave with a notice shorter than the runs there (a reclaim of a
hall's engines ends some ten runs on each), an upstream too slow for a run to end within its time,
and an upstream at which a run stalls. The cost of a move is the price of the copied tokens and one
longer pause. A run is moved if its expected loss, weighted by probability, exceeds that cost.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from lotushill.placement.backup import COPY_LOSS_PER_TOKEN
from lotushill.placement.pauses import exceed_probability

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.routing.service import EngineProfile

_INTERRUPTED_LOSS = 0.9
"""Fraction of its credit that a stream loses if it is interrupted and cannot resume."""
_RESUMED_LOSS = 0.5
"""Fraction of its credit that a stream loses if it is interrupted and resumes elsewhere: a pause
that is too long, and a second prefill of its prompt."""
_BACKED_UP_LOSS = 0.2
"""Fraction of its credit that a stream loses if a copy of its memory exists: tokens not yet copied
are prefilled again, provided that the copy is still there."""
_GAP_LOSS = 0.6
"""Fraction of its credit that a stream loses by one pause that is too long."""
_MOVE_OVERHEAD_LOSS = 0.05
"""Cost of a move in addition to its memory: one of the few retries left, and the chance that the
run does not resume."""
_LENGTH_STEEPNESS = 3.0
"""Steepness of the distribution of run lengths around the expected one: at half of the expected
length one run in nine has ended, at twice of it eight in nine."""
_MIN_REMAINING_FRACTION = 0.3
"""Fraction of the events produced that is expected to remain of a run longer than its estimate."""
_OTHER_HALL_FACTOR = 2.0
"""Factor by which a copy to another hall takes longer."""
_CALL_OVERHEAD_SECONDS = 0.02
"""Overhead of a move beyond the copy: a round trip to the source, one to the target, and one decode
step there."""
_SLOW_RATIO = 2.0
"""Ratio of a run's mean pause to the typical one from which its upstream counts as slow; below it
other upstreams may at times be as slow."""


class Cause(Enum):
    """Reason why a run is moved."""

    LEAVING = "leaving"
    """The upstream shuts down before the run ends."""
    STALLED = "stalled"
    """The upstream produces no events for the run."""
    SLOW = "slow"
    """The upstream is too slow for the run to end within its time."""


@dataclass(frozen=True)
class RunState:
    """State of a streaming run; times are in seconds."""

    tokens: int
    """Tokens in memory: those of the prompt and those generated."""
    events_produced: int
    """Events produced so far."""
    expected_events: float
    """Events expected in total when the run ends."""
    mean_pause: float
    """Mean pause between the events of this run so far."""
    typical_pause: float
    """Mean pause between the events of all streams of its service."""
    time_left: float
    """Time until its client or its route stops waiting."""
    target_gap: float
    """Longest pause that counts as in time, 0 if the route sets none."""
    repeatable: bool
    """Whether the run may resume elsewhere without its memory."""
    has_backup: bool = False
    """Whether a backup copy of its memory is kept up to date at another upstream."""
    leaves_in: float | None = None
    """Time until its upstream shuts down, None if it does not leave.

    At 0 the run is not moved: if no other upstream accepted it, it could not return, since an
    upstream accepts no requests that long after its notice.
    """
    stalled: bool = False
    was_moved: bool = False
    """Whether the run was moved to its upstream before, instead of started there."""


@dataclass(frozen=True)
class Move:
    """Decision that a run is worth moving."""

    cause: Cause
    worth: float
    """Credit that the move saves beyond its cost, as a fraction of the request's credit."""
    time_limit: float
    """Seconds within which the copy has to be done."""


def plan_move(run: RunState, engine: EngineProfile) -> Move | None:
    """Return why and within which time to move a run, None if it is better not moved."""
    cause, time_limit = _most_urgent_cause(run)
    move_seconds = copy_seconds(run.tokens, engine, same_hall=False)
    is_slow = run.mean_pause >= _SLOW_RATIO * run.typical_pause
    if move_seconds > time_limit or (cause is Cause.SLOW and (run.was_moved or not is_slow)):
        return None
    events_left = _remaining_events(run)
    risk_here = (
        1.0
        if cause is Cause.STALLED
        else outlast_probability(events_left * run.mean_pause, time_limit)
    )
    risk_elsewhere = outlast_probability(
        events_left * run.typical_pause + move_seconds, run.time_left
    )
    worth = (risk_here - risk_elsewhere) * _loss(run, cause) - _move_cost(run, move_seconds)
    return Move(cause, worth, time_limit) if worth > 0.0 else None


def _most_urgent_cause(run: RunState) -> tuple[Cause, float]:
    """Return the most urgent threat to a run, and the seconds until it takes effect."""
    if run.leaves_in is not None and run.leaves_in < run.time_left:
        return Cause.LEAVING, run.leaves_in
    return (Cause.STALLED if run.stalled else Cause.SLOW), run.time_left


def _loss(run: RunState, cause: Cause) -> float:
    """Return the loss of a run that is not moved and does not end in time."""
    if cause is not Cause.SLOW and run.has_backup:
        return _BACKED_UP_LOSS
    if cause is not Cause.SLOW and run.repeatable:
        return _RESUMED_LOSS
    return _INTERRUPTED_LOSS


def _remaining_events(run: RunState) -> float:
    return max(
        run.expected_events - run.events_produced,
        _MIN_REMAINING_FRACTION * run.events_produced,
        1.0,
    )


def _move_cost(run: RunState, move_seconds: float) -> float:
    """Return the cost of the move itself: the memory, and a pause that may be too long."""
    cost = _MOVE_OVERHEAD_LOSS + COPY_LOSS_PER_TOKEN * run.tokens
    if run.target_gap > 0.0 and not run.stalled:
        cost += _GAP_LOSS * exceed_probability(run.typical_pause + move_seconds, run.target_gap)
    return cost


def outlast_probability(expected_seconds: float, seconds_left: float) -> float:
    """Return the probability that a run is not over in `seconds_left`.

    `expected_seconds` is the time for which it is expected to go on.
    """
    if seconds_left <= 0.0:
        return 1.0
    if expected_seconds <= 0.0:
        return 0.0
    return 1.0 / (1.0 + math.pow(seconds_left / expected_seconds, _LENGTH_STEEPNESS))


def copy_seconds(tokens: int, engine: EngineProfile, same_hall: bool) -> float:
    """Return the seconds for moving `tokens` tokens; `same_hall` means within one hall."""
    if engine.link_rate <= 0.0:
        return math.inf
    factor = 1.0 if same_hall else _OTHER_HALL_FACTOR
    return _CALL_OVERHEAD_SECONDS + factor * tokens * engine.token_bytes / engine.link_rate


def sort_by_urgency(moves: Iterable[tuple[str, Move]]) -> list[tuple[str, Move]]:
    """Return named moves with the most urgent first, and the most worth first among equals.

    Runs at leaving upstreams compete for the time left there, and go before others.
    """
    return sorted(moves, key=_urgency)


def _urgency(named: tuple[str, Move]) -> tuple[bool, float, str]:
    name, move = named
    return move.cause is not Cause.LEAVING, -move.worth, name
