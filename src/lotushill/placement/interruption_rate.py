"""Rate at which streams lose their upstream, measured on the streams relayed by this gateway."""

from __future__ import annotations

_HALF_LIFE_SECONDS = 60.0
"""Half-life of the samples. About a minute without a lost stream stops copying, and several losses
start it for about as long."""
_PRIOR_INTERRUPTIONS = 1.0
_PRIOR_SECONDS = 50.0
"""The initial rate is one loss per 50 s of streams, about twice the rate from which a stream of two
seconds and a thousand tokens is worth its copy, so copies exist when the first upstream crashes."""


class InterruptionRate:
    """Lost streams per second of stream time, with exponential decay of older samples."""

    def __init__(self) -> None:
        self._interruptions = 0.0
        self._seconds = 0.0
        self._updated_at = 0.0

    def note(self, seconds: float, interrupted: bool, now: float) -> None:
        """Record a stream that ran for `seconds`, and whether its upstream was lost."""
        decay = 0.5 ** (max(0.0, now - self._updated_at) / _HALF_LIFE_SECONDS)
        self._interruptions = self._interruptions * decay + interrupted
        self._seconds = self._seconds * decay + seconds
        self._updated_at = max(self._updated_at, now)

    @property
    def rate(self) -> float:
        """Return the expected number of losses per second of one stream."""
        return (self._interruptions + _PRIOR_INTERRUPTIONS) / (self._seconds + _PRIOR_SECONDS)
