"""After which pause a stream is taken to have stopped, by the pauses that its service shows.

Answers the load of upstreams that go dark or hold a run back without a word, between two events or
between the head of the answer and its first one: its client would wait to its deadline, though the
run can go on elsewhere. A pause beside the reading of long prompts, or
of an upstream that is slow for a moment, is among the observed ones and is waited out.
"""

from __future__ import annotations

import math
from collections import Counter

_QUANTILE = 0.99
_STEP = 0.1
"""Share by which a pause over the quantile raises it; it falls by a hundredth of that."""
_USUAL_WEIGHT = 0.01
_FIRST_SECONDS = 0.3
"""Taken for a long pause before any was seen."""
_KNOWN_FROM = 100
"""Pauses, of which one is expected to be a long one."""
_LEAST_LONG_SECONDS = 0.02
_MULTIPLE = 4.0
"""Of a long pause: one stream in some thousands pauses for so long and goes on by itself."""
MIN_THRESHOLD_SECONDS = 0.5
"""Less is a disturbance that upstreams get over, and going on elsewhere takes as long."""
_MOST_PAUSES_ALLOWED = 4.0
"""Of the pause that is in time, after which waiting any longer serves nobody."""
_MOST_SECONDS = 0.8
"""The same where a route names no such pause."""


class StallThresholds:
    """A long pause of each service, from the pauses of this gateway's own streams."""

    def __init__(self) -> None:
        self._long: dict[str, float] = {}
        self._usual: dict[str, float] = {}
        self._seen: Counter[str] = Counter()

    def note(self, service: str, pause: float) -> None:
        """Learn from a pause between two events of a stream, in seconds."""
        if not 0.0 < pause < math.inf:
            return
        long = self._long.get(service, _FIRST_SECONDS)
        usual = self._usual.get(service, pause)
        self._usual[service] = usual + _USUAL_WEIGHT * (min(long, pause) - usual)
        self._seen[service] += 1
        step = _STEP * (_QUANTILE if pause > long else _QUANTILE - 1.0)
        self._long[service] = max(_LEAST_LONG_SECONDS, long * math.exp(step))

    def usual_pause(self, service: str) -> float | None:
        """Return the mean pause in seconds, long ones cut, None while none was seen."""
        return self._usual.get(service)

    def long_pause(self, service: str) -> float:
        """Return the pause that one event in a hundred exceeds, in seconds."""
        return self._long.get(service, _FIRST_SECONDS)

    def long_pauses_ms(self) -> dict[str, float]:
        """Return the long pause of each service, in milliseconds."""
        return {service: round(1000 * long, 1) for service, long in self._long.items()}

    def threshold(self, service: str, gap: float) -> float:
        """Return after how many seconds a stream has stopped; `gap` is the pause in time."""
        return min(max_threshold(gap), self._bound(service))

    def threshold_if_known(self, service: str) -> float | None:
        """Return the same where no pause is in time, None until enough were seen."""
        return self._bound(service) if self._seen[service] >= _KNOWN_FROM else None

    def _bound(self, service: str) -> float:
        return max(MIN_THRESHOLD_SECONDS, _MULTIPLE * self.long_pause(service))


def max_threshold(gap: float) -> float:
    """Return the longest pause, in seconds, that any stream is waited for that can go on."""
    return max(_MOST_SECONDS, _MOST_PAUSES_ALLOWED * gap)
