"""How often a stream loses its upstream, from streams that this gateway relayed."""

from __future__ import annotations

_HALF_LIFE_SECONDS = 60.0
"""So that about a minute without a cut ends copying, and several cuts begin it for as long."""
_PRIOR_CUTS = 1.0
_PRIOR_SECONDS = 50.0
"""One cut in 50 s of streams is assumed at the start, about twice the rate from which a stream of
two seconds and a thousand tokens is worth its copy: so the first crash finds copies."""


class CutRate:
    """Cuts for each second that streams ran, earlier ones counting less and less."""

    def __init__(self) -> None:
        self._cuts = 0.0
        self._seconds = 0.0
        self._at = 0.0

    def note(self, seconds: float, cut: bool, now: float) -> None:
        """Note a stream that ran for some seconds, and whether its upstream was lost."""
        faded = 0.5 ** (max(0.0, now - self._at) / _HALF_LIFE_SECONDS)
        self._cuts = self._cuts * faded + cut
        self._seconds = self._seconds * faded + seconds
        self._at = max(self._at, now)

    @property
    def rate(self) -> float:
        """Return the likely number of cuts in a second of one stream."""
        return (self._cuts + _PRIOR_CUTS) / (self._seconds + _PRIOR_SECONDS)
