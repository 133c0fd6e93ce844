"""Model of the pauses between a stream's events, measured on relayed events.

An engine processes prompts in chunks, one chunk per step, between the tokens of the running
streams. During prefill a pause therefore grows with the queued prompt tokens only until each step
within it carries a full chunk: more queued prompts do not lengthen it further. Performs no I/O.
"""

from __future__ import annotations

import math

from lotushill.placement.baseline_pause import BaselinePause

_FULL_SHARE = 1.5
"""Multiple of the bound that must have been queued, as far as is known, for a pause to be at its
bound."""
_BOUND_STEP = 0.1
"""Fraction of the bound by which one pause moves it."""
_BOUND_QUANTILE = 0.5
"""Quantile of the pauses at their bound. Some are shorter, since prompts that seemed to be queued
were already processed."""
_LIKELY = 3.0
"""Multiple of the typical pause above which a pause was disturbed by something that is not observed
here."""
_MISS_MIDDLE = 0.95
"""Fraction of the longest allowed pause at which a miss has probability one half. A prefill that
spans several pauses may miss in each."""
_MISS_STEEPNESS = 10.0
"""Steepness of the miss probability: pauses vary by about a twelfth around the prediction."""
_LEAST_ALLOWED_SECONDS = 0.001


class Pauses:
    """Pauses of one service's streams, in seconds.

    `slowness` is the ratio of an upstream's pauses to those of a typical one.
    """

    def __init__(self) -> None:
        self.baseline = BaselinePause()
        """Pauses without concurrent prefill, on a typical upstream."""
        self.bound = math.inf
        """Maximum extra length of a pause during prefill; infinite until a pause at its bound was
        observed."""

    @property
    def bound_known(self) -> bool:
        """Return whether a pause at its bound was observed."""
        return math.isfinite(self.bound)

    def note(self, pause: float, waiting: float, running: int, slowness: float) -> float | None:
        """Update the model from a pause; at its start, `waiting` seconds of prefill were queued.

        Return the ratio of the pause to the typical one, None if prefill was queued.
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
        """Track a quantile of the pauses that are at their bound."""
        if not self.bound_known:
            if waiting > _FULL_SHARE * grown:
                self.bound = grown
        elif waiting > _FULL_SHARE * self.bound:
            quantile = _BOUND_QUANTILE if grown > self.bound else _BOUND_QUANTILE - 1.0
            self.bound *= 1.0 + _BOUND_STEP * quantile

    def during_prefill(self, waiting: float, running: int, slowness: float) -> float:
        """Return the pause of a stream while `waiting` seconds of prefill are queued."""
        return self.on_upstream(running, slowness).during_prefill(waiting)

    def exceed_probability(
        self, waiting: float, running: int, slowness: float, longest: float
    ) -> float:
        """Return the probability that a pause exceeds `longest` seconds.

        During the pause `waiting` seconds of prefill are queued.
        """
        return exceed_probability(self.during_prefill(waiting, running, slowness), longest)

    def on_upstream(self, running: int, slowness: float) -> UpstreamPauses:
        """Return the pauses on one upstream that runs `running` requests."""
        return UpstreamPauses(self.baseline.at(running) * slowness, self.bound * slowness)


class UpstreamPauses:
    """Pauses on one upstream at one moment, computed once for all queries."""

    __slots__ = ("_bound", "quiet")

    def __init__(self, quiet: float, bound: float) -> None:
        self.quiet = quiet
        """Pause in seconds without concurrent prefill."""
        self._bound = bound

    def during_prefill(self, waiting: float) -> float:
        """Return the pause while `waiting` seconds of prefill are queued."""
        return self.quiet + (waiting if waiting < self._bound else self._bound)


def exceed_probability(likely: float, longest: float) -> float:
    """Return the probability that a pause predicted to last `likely` seconds exceeds `longest`."""
    share = likely / max(_LEAST_ALLOWED_SECONDS, longest)
    return logistic(_MISS_STEEPNESS * (share - _MISS_MIDDLE))


_CERTAIN = 40.0
"""Argument beyond which the logistic function is 1 in floating-point precision."""


def logistic(value: float) -> float:
    """Return the logistic function, without overflow."""
    if value > _CERTAIN:
        return 1.0
    if value < -_CERTAIN:
        return 0.0
    return 1.0 / (1.0 + math.exp(-value))
