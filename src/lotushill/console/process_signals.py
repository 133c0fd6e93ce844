"""Handles signals while no event loop does: before it runs, and after it has ended."""

from __future__ import annotations

import os
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType


class ProcessSignals:
    """Signal handlers for the start and the end of a process.

    Without them, SIGHUP and SIGTERM kill a process that is still importing modules. A start takes
    about 0.3 s of processor time, which is several seconds when all hosts restart at once.
    """

    def __init__(self) -> None:
        self.is_reload_requested = False
        """Whether a reload of the settings was requested, to be done once the program runs."""

    def install(self) -> None:
        """Install handlers for the time until the event loop receives signals."""
        signal.signal(signal.SIGHUP, self._request_reload)
        signal.signal(signal.SIGTERM, self._exit_at_once)

    def ignore(self) -> None:
        """Ignore signals, because the process is about to exit by itself."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)

    def _request_reload(self, number: int, frame: FrameType | None) -> None:
        self.is_reload_requested = True

    def _exit_at_once(self, number: int, frame: FrameType | None) -> None:
        # Exits at once, since there are no requests in progress yet. An exception raised here would
        # be lost if the signal arrives during a callback of the import system.
        os._exit(0)
