"""The clock of all timing except the event loop's own timers."""

from __future__ import annotations

import time


def now() -> float:
    """Return the seconds of a clock that is never set and continues while the host is suspended.

    The monotonic clock of the loop's timers stops during a suspension: a lease holder suspended for
    ten seconds would consider its lease valid, and a request would outlive its deadline.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
