"""How long the pauses between a stream's events are, learned from events that were relayed.

An engine reads prompts in pieces, one piece a step, between the tokens of the streams that run. A
pause beside a reading therefore grows with what waits to be read only until each step within it
carries a full piece: however many prompts wait, it gets no longer. Pure.
"""

from __future__ import annotations

import math

from lotushill.placement.baseline_pause import BaselinePause

_FULL_SHARE = 1.5
"""So many times the bound must have waited, as far as is known, for a pause to be at its bound."""
_BOUND_STEP = 0.1
"""Share of the bound by which one pause moves it."""
_BOUND_QUANTILE = 0.5
"""Of the pauses at their bound: some are shorter, since what seemed to wait had been read."""
_LIKELY = 3.0
"""A pause so many times the usual was disturbed by something that is not seen here."""
_MISS_MIDDLE = 0.95
"""Of the longest pause allowed; a reading that goes on for several pauses may miss in each."""
_MISS_STEEPNESS = 10.0
"""Pauses spread by about a twelfth around what is predicted."""
_LEAST_ALLOWED_SECONDS = 0.001


class Pauses:
    """The pauses of one service's streams, in seconds.

    `slowness` tells how many times slower than its like an upstream is.
    """

    def __init__(self) -> None:
        self.baseline = BaselinePause()
        """Pauses while nothing is read beside the stream, on an upstream like most."""
        self.bound = math.inf
        """The longest that a pause grows by readings; infinite until one was seen at its bound."""

    @property
    def bound_known(self) -> bool:
        """Return whether a pause at its bound was seen."""
        return math.isfinite(self.bound)

    def note(self, pause: float, waiting: float, running: int, slowness: float) -> float | None:
        """Learn from a pause at whose start readings of `waiting` seconds were due.

        Return how many times longer than usual it was, None where readings were due.
        """
        usual = self.baseline.at(running)
        if waiting <= 0.0:
            if pause < _LIKELY * usual:
                self.baseline.note(running, pause / slowness)
            return pause / usual
        grown = pause / slowness - usual
        if grown > usual:
            self._note_grown(grown, waiting / slowness)
        return None

    def _note_grown(self, grown: float, waiting: float) -> None:
        """Follow a quantile of the pauses that are at their bound."""
        if not self.bound_known:
            if waiting > _FULL_SHARE * grown:
                self.bound = grown
        elif waiting > _FULL_SHARE * self.bound:
            quantile = _BOUND_QUANTILE if grown > self.bound else _BOUND_QUANTILE - 1.0
            self.bound *= 1.0 + _BOUND_STEP * quantile

    def during_prefill(self, waiting: float, running: int, slowness: float) -> float:
        """Return the pause of a stream beside readings of `waiting` seconds."""
        return self.on_upstream(running, slowness).during_prefill(waiting)

    def exceed_probability(
        self, waiting: float, running: int, slowness: float, longest: float
    ) -> float:
        """Return how likely a pause beside readings of `waiting` seconds exceeds `longest`."""
        return exceed_probability(self.during_prefill(waiting, running, slowness), longest)

    def on_upstream(self, running: int, slowness: float) -> UpstreamPauses:
        """Return the pauses on one upstream, where so many requests run."""
        return UpstreamPauses(self.baseline.at(running) * slowness, self.bound * slowness)


class UpstreamPauses:
    """The pauses on one upstream at one moment, worked out once for all that is asked of them."""

    __slots__ = ("_bound", "quiet")

    def __init__(self, quiet: float, bound: float) -> None:
        self.quiet = quiet
        """Seconds, while nothing is read."""
        self._bound = bound

    def during_prefill(self, waiting: float) -> float:
        """Return the pause beside readings of `waiting` seconds."""
        return self.quiet + (waiting if waiting < self._bound else self._bound)


def exceed_probability(likely: float, longest: float) -> float:
    """Return how likely a pause that is likely so long exceeds `longest`."""
    share = likely / max(_LEAST_ALLOWED_SECONDS, longest)
    return logistic(_MISS_STEEPNESS * (share - _MISS_MIDDLE))


_CERTAIN = 40.0
"""Beyond it the logistic function is 1 as far as numbers go."""


def logistic(value: float) -> float:
    """Return the logistic function, without overflow."""
    if value > _CERTAIN:
        return 1.0
    if value < -_CERTAIN:
        return 0.0
    return 1.0 / (1.0 + math.exp(-value))
