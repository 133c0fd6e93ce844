"""Faults of the calls that move memory, and of requests that continue a run from memory."""

from __future__ import annotations

import time
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

_CALL_FAULT_PROBABILITY = 0.6
_HANDLE_FAULT_PROBABILITY = 0.8


class CallFault(Enum):
    """What an engine does with a call for a copy instead of executing and answering it at once."""

    REFUSED = "refused without stopping the run"
    KEPT = "stopped the run and kept its memory here"
    BUSY = "answered that another call is in progress"
    IGNORED = "neither executed nor answered"
    UNANSWERED = "executed and not answered"
    LOST = "executed, and the connection reset"
    LATE = "executed and answered after a moment"
    SLOW = "executed long after the timeout of the call, and known to be in progress until then"
    TOO_LATE = "arrived at the run long after the timeout of the call"
    END_HIDDEN = "executed, but the end of the stream arrived late"


class HandleFault(Enum):
    """What an engine does with the first request with a handle, which stays usable."""

    REJECTED = "rejected as not executed"
    FAILED = "failed"
    RESET = "connection reset"


class FaultWindow:
    """Draws the faults of one engine while a planned period of faults lasts."""

    def __init__(self, rng: random.Random, late_stops: bool) -> None:
        self._rng = rng
        self._call_faults = [
            fault for fault in CallFault if late_stops or fault is not CallFault.TOO_LATE
        ]
        self._calls_until = 0.0
        self._handles_until = 0.0
        self._disturbed_handles: set[str] = set()

    def disturb_calls(self, seconds: float) -> None:
        """Disturb calls for some seconds."""
        self._calls_until = time.monotonic() + seconds

    def disturb_handles(self, seconds: float) -> None:
        """Disturb requests with a handle for some seconds."""
        self._handles_until = time.monotonic() + seconds

    def draw_call_fault(self) -> CallFault | None:
        """Return the fault of the next call, None if it has none."""
        if time.monotonic() > self._calls_until or self._rng.random() > _CALL_FAULT_PROBABILITY:
            return None
        return self._rng.choice(self._call_faults)

    def draw_handle_fault(self, handle: str) -> HandleFault | None:
        """Return the fault of a request with a handle, None if it has none or is not the first."""
        if time.monotonic() > self._handles_until or handle in self._disturbed_handles:
            return None
        self._disturbed_handles.add(handle)
        if self._rng.random() > _HANDLE_FAULT_PROBABILITY:
            return None
        return self._rng.choice(list(HandleFault))
