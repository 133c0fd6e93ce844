"""Model of the pauses between a stream's events, measured on relayed events.

An engine processes prompts in chunks, one chunk per step, between the tokens of the running
streams. During prefill a pause therefore grows with the queued prompt tokens only until each step
within it carries a full chunk: more queued prompts do not lengthen it further. Performs no I/O.
"""

from __future__ import annotations

import math

from lotushill.placement.baseline_pause import BaselinePause

_FULL_QUEUE_FACTOR = 1.5
"""Multiple of the bound that must have been queued, as far as is known, for a pause to be at its
bound."""
_BOUND_STEP = 0.1
"""Fraction of the bound by which one pause moves it."""
_BOUND_QUANTILE = 0.5
"""Quantile of the pauses at their bound. Some are shorter, since prompts that seemed to be queued
were already processed."""
_MAX_TYPICAL_FACTOR = 3.0
"""Multiple of the typical pause above which a pause was disturbed by something that is not observed
here."""
_MISS_MIDPOINT = 0.95
"""Fraction of the longest allowed pause at which a miss has probability one half. A prefill that
spans several pauses may miss in each."""
_MISS_STEEPNESS = 10.0
"""Steepness of the miss probability: pauses vary by about a twelfth around the prediction."""
_MIN_ALLOWED_SECONDS = 0.001


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

    def note(
        self, pause: float, queued_seconds: float, running: int, slowness: float
    ) -> float | None:
        """Update the model from a pause; `queued_seconds` of prefill were queued at its start.

        Return the ratio of the pause to the typical one, None if prefill was queued.
        """
        typical = self.baseline.at(running)
        if queued_seconds <= 0.0:
            if pause < _MAX_TYPICAL_FACTOR * typical:
                self.baseline.note(running, pause / slowness)
            return pause / typical
        extra = pause / slowness - typical
        if extra > typical:
            self._update_bound(extra, queued_seconds / slowness)
        return None

    def _update_bound(self, extra: float, queued_seconds: float) -> None:
        """Track a quantile of the pauses that are at their bound."""
        if not self.bound_known:
            if queued_seconds > _FULL_QUEUE_FACTOR * extra:
                self.bound = extra
        elif queued_seconds > _FULL_QUEUE_FACTOR * self.bound:
            quantile = _BOUND_QUANTILE if extra > self.bound else _BOUND_QUANTILE - 1.0
            self.bound *= 1.0 + _BOUND_STEP * quantile

    def during_prefill(self, queued_seconds: float, running: int, slowness: float) -> float:
        """Return the pause of a stream while `queued_seconds` of prefill are queued."""
        return self.on_upstream(running, slowness).during_prefill(queued_seconds)

    def exceed_probability(
        self, queued_seconds: float, running: int, slowness: float, longest: float
    ) -> float:
        """Return the probability that a pause exceeds `longest` seconds.

        During the pause `queued_seconds` of prefill are queued.
        """
        return exceed_probability(self.during_prefill(queued_seconds, running, slowness), longest)

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

    def during_prefill(self, queued_seconds: float) -> float:
        """Return the pause while `queued_seconds` of prefill are queued."""
        return self.quiet + (queued_seconds if queued_seconds < self._bound else self._bound)


def exceed_probability(predicted: float, longest: float) -> float:
    """Return the probability that a pause predicted as `predicted` seconds exceeds `longest`."""
    ratio = predicted / max(_MIN_ALLOWED_SECONDS, longest)
    return logistic(_MISS_STEEPNESS * (ratio - _MISS_MIDPOINT))


_MAX_ARGUMENT = 40.0
"""Argument beyond which the logistic function is 1 in floating-point precision."""


def logistic(value: float) -> float:
    """Return the logistic function, without overflow."""
    if value > _MAX_ARGUMENT:
        return 1.0
    if value < -_MAX_ARGUMENT:
        return 0.0
    return 1.0 / (1.0 + math.exp(-value))
