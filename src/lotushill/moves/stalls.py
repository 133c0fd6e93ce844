"""Pause after which a stream counts as stalled, by the pauses observed for its service.

Load case: upstreams that stop responding or hold a run back without an error, between two events or
between the head of the answer and its first event. The client would wait until its deadline,
although the run can resume elsewhere. A pause during the prefill of long prompts, or of an upstream
that is slow for a moment, is among the observed ones and is waited out.
"""

from __future__ import annotations

import math
from collections import Counter

_QUANTILE = 0.99
_STEP_FRACTION = 0.1
"""Fraction by which a pause above the estimated quantile raises the estimate; a shorter pause
lowers it by a hundredth of that."""
_MEAN_WEIGHT = 0.01
_INITIAL_LONG_PAUSE_SECONDS = 0.3
"""Long pause assumed before any pause was observed."""
_MIN_PAUSES = 100
"""Number of pauses from which the long pause is known: one of them is expected to be long."""
_MIN_LONG_PAUSE_SECONDS = 0.02
_LONG_PAUSE_FACTOR = 4.0
"""Multiple of the long pause that counts as a stall: one stream in some thousands pauses for that
long and goes on by itself."""
MIN_THRESHOLD_SECONDS = 0.5
"""Shortest threshold. Upstreams recover from shorter disturbances, and resuming elsewhere takes as
long."""
_MAX_GAP_FACTOR = 4.0
"""Multiple of the longest pause that is in time, beyond which waiting any longer is of no use."""
_MAX_THRESHOLD_WITHOUT_GAP_SECONDS = 0.8
"""Longest threshold if a route sets no longest pause that is in time."""


class StallThresholds:
    """Long pause of each service, estimated from the pauses of this gateway's own streams."""

    def __init__(self) -> None:
        self._long_pauses: dict[str, float] = {}
        self._typical_pauses: dict[str, float] = {}
        self._pause_counts: Counter[str] = Counter()

    def note(self, service: str, pause: float) -> None:
        """Update the estimates with a pause between two events of a stream, in seconds."""
        if not 0.0 < pause < math.inf:
            return
        long = self._long_pauses.get(service, _INITIAL_LONG_PAUSE_SECONDS)
        typical = self._typical_pauses.get(service, pause)
        self._typical_pauses[service] = typical + _MEAN_WEIGHT * (min(long, pause) - typical)
        self._pause_counts[service] += 1
        step = _STEP_FRACTION * (_QUANTILE if pause > long else _QUANTILE - 1.0)
        self._long_pauses[service] = max(_MIN_LONG_PAUSE_SECONDS, long * math.exp(step))

    def typical_pause(self, service: str) -> float | None:
        """Return the mean pause in seconds with long ones capped, None before the first one."""
        return self._typical_pauses.get(service)

    def long_pause(self, service: str) -> float:
        """Return the pause that one event in a hundred exceeds, in seconds."""
        return self._long_pauses.get(service, _INITIAL_LONG_PAUSE_SECONDS)

    def long_pauses_ms(self) -> dict[str, float]:
        """Return the long pause of each service, in milliseconds."""
        return {service: round(1000 * long, 1) for service, long in self._long_pauses.items()}

    def threshold(self, service: str, target_gap: float) -> float:
        """Return the seconds after which a stream counts as stalled; `gap` is the pause in time."""
        return min(max_threshold(target_gap), self._service_threshold(service))

    def threshold_if_known(self, service: str) -> float | None:
        """Return the threshold if no pause counts as in time, None until enough were observed."""
        return (
            self._service_threshold(service) if self._pause_counts[service] >= _MIN_PAUSES else None
        )

    def _service_threshold(self, service: str) -> float:
        return max(MIN_THRESHOLD_SECONDS, _LONG_PAUSE_FACTOR * self.long_pause(service))


def max_threshold(target_gap: float) -> float:
    """Return the longest pause, in seconds, to wait for any stream that can resume elsewhere."""
    return max(_MAX_THRESHOLD_WITHOUT_GAP_SECONDS, _MAX_GAP_FACTOR * target_gap)
