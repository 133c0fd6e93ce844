"""The clock that everything but the loop's own timers goes by."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds on a clock that is never set and goes on while the host is suspended.

    The steady clock, by which the loop's timers go, stands still in a suspension: a holder that
    slept ten seconds would believe its lease fresh, and a request would outlive its deadline.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
