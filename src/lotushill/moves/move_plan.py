"""Whether a run is worth moving to another upstream with its memory, and which one goes first.

Answers three loads: upstreams that leave with a notice shorter than what runs there (a reclaim of
a hall's engines ends some ten runs on each), an upstream at whose pace a run does not end within
its time, and one that lets a run stand still. A move is priced by the tokens that are copied, and
makes one pause longer; it is made where what the run would lose, by how likely it would, is more.
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

_CUT_LOSS = 0.9
"""What a stream loses that is cut off and cannot go on."""
_RESUMED_LOSS = 0.5
"""What one loses that can: a pause that is too long, and its prompt read once more."""
_COPIED_LOSS = 0.2
"""What one loses of which a copy is kept: what had not arrived is read again, if the copy holds."""
_GAP_LOSS = 0.6
"""What a stream loses by one pause that is too long."""
_WAY_LOSS = 0.05
"""What a move costs beside its memory: a repeat of the few that are left, and the chance that the
run does not go on."""
_LENGTH_SPREAD = 3.0
"""Steepness of the spread of lengths around the likely one: at half of it one run in nine has
ended, at twice of it eight in nine."""
_LEAST_REST_SHARE = 0.3
"""Of the events made: what is still to come of a run that is longer than was likely."""
_FARTHER = 2.0
"""How many times longer memory takes to another hall."""
_CALL_SECONDS = 0.02
"""Around the copy itself: a round trip to the source, one to the target, and a step there."""
_SLOW_RATIO = 2.0
"""Times the usual pause, below which an upstream is as slow as others may be at times."""


class Cause(Enum):
    """Why a run is moved."""

    LEAVING = "leaving"
    """Its upstream ends before it does."""
    STALLED = "stalled"
    """Its upstream makes none of its events."""
    SLOW = "slow"
    """At its upstream's pace it does not end within its time."""


@dataclass(frozen=True)
class RunState:
    """What is known of a run that streams; times are seconds."""

    tokens: int
    """In memory: those of the prompt and those made."""
    made: int
    """Events so far."""
    expected: float
    """Events that it is likely to have in the end."""
    pause: float
    """Between its events so far, in the mean."""
    usual_pause: float
    """Between the events of its service's streams."""
    time_left: float
    """Until its client or its route no longer waits."""
    gap: float
    """Longest pause that is in time, 0 for none."""
    repeatable: bool
    """Whether it may go on elsewhere without its memory."""
    copied: bool = False
    """Whether a copy of its memory grows elsewhere."""
    leaves_in: float | None = None
    """Until its upstream ends, None if it stays.

    At 0 nothing is moved any more: a run that is not taken elsewhere could not go back, since an
    upstream takes no requests so long after its notice.
    """
    stalled: bool = False


@dataclass(frozen=True)
class Move:
    """A run that is worth moving."""

    cause: Cause
    worth: float
    """What the move saves beyond its price, as a share of the request's credit."""
    time_limit: float
    """Seconds in which the copy has to be done."""


def plan_move(run: RunState, engine: EngineProfile) -> Move | None:
    """Return why and by when a run is to be moved, None where it is better off as it is."""
    cause, bound = _cause(run)
    copying = copy_seconds(run.tokens, engine, near=False)
    slower = run.pause >= _SLOW_RATIO * run.usual_pause
    if copying > bound or (cause is Cause.SLOW and not slower):
        return None
    rest = _rest_events(run)
    here = 1.0 if cause is Cause.STALLED else outlast_probability(rest * run.pause, bound)
    there = outlast_probability(rest * run.usual_pause + copying, run.time_left)
    worth = (here - there) * _loss(run, cause) - _price(run, copying)
    return Move(cause, worth, bound) if worth > 0.0 else None


def _cause(run: RunState) -> tuple[Cause, float]:
    """Return what threatens a run most, and in how many seconds."""
    if run.leaves_in is not None and run.leaves_in < run.time_left:
        return Cause.LEAVING, run.leaves_in
    return (Cause.STALLED if run.stalled else Cause.SLOW), run.time_left


def _loss(run: RunState, cause: Cause) -> float:
    """Return what a run loses that is not moved and does not end."""
    if cause is not Cause.SLOW and run.copied:
        return _COPIED_LOSS
    if cause is not Cause.SLOW and run.repeatable:
        return _RESUMED_LOSS
    return _CUT_LOSS


def _rest_events(run: RunState) -> float:
    return max(run.expected - run.made, _LEAST_REST_SHARE * run.made, 1.0)


def _price(run: RunState, copying: float) -> float:
    """Return what the move itself costs: the memory, and a pause that may be too long."""
    price = _WAY_LOSS + COPY_LOSS_PER_TOKEN * run.tokens
    if run.gap > 0.0 and not run.stalled:
        price += _GAP_LOSS * exceed_probability(run.usual_pause + copying, run.gap)
    return price


def outlast_probability(rest: float, left: float) -> float:
    """Return how likely a run with `rest` likely seconds to go is not over in `left` seconds."""
    if left <= 0.0:
        return 1.0
    if rest <= 0.0:
        return 0.0
    return 1.0 / (1.0 + math.pow(left / rest, _LENGTH_SPREAD))


def copy_seconds(tokens: int, engine: EngineProfile, near: bool) -> float:
    """Return how long a move of so many tokens takes; `near` is within one hall."""
    if engine.link_rate <= 0.0:
        return math.inf
    way = 1.0 if near else _FARTHER
    return _CALL_SECONDS + way * tokens * engine.token_bytes / engine.link_rate


def sort_by_urgency(moves: Iterable[tuple[str, Move]]) -> list[tuple[str, Move]]:
    """Return named moves with the most urgent first: what is worth most where the time is equal.

    Runs of upstreams that leave compete for the time that is left, and go before others.
    """
    return sorted(moves, key=_rank)


def _rank(named: tuple[str, Move]) -> tuple[bool, float, str]:
    name, move = named
    return move.cause is not Cause.LEAVING, -move.worth, name
