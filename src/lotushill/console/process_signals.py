"""Signals that come while no loop takes them: before it runs, and once it has ended."""

from __future__ import annotations

import os
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType


class ProcessSignals:
    """Without it each of these signals ends a process that is still loading.

    A start takes some 0.3 s of processor time; where all hosts come back at once that is seconds.
    """

    def __init__(self) -> None:
        self.is_reload_requested = False
        """Whether the settings are to be read again once the program runs."""

    def install(self) -> None:
        """Take signals from now on, until the loop does."""
        signal.signal(signal.SIGHUP, self._note_reload)
        signal.signal(signal.SIGTERM, self._stop)

    def ignore(self) -> None:
        """Let signals change nothing any more, since the process ends by itself."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)

    def _note_reload(self, number: int, frame: FrameType | None) -> None:
        self.is_reload_requested = True

    def _stop(self, number: int, frame: FrameType | None) -> None:
        # At once, since nothing was taken on yet that would have to be finished: an error that is
        # raised here would be lost where it comes in a callback of the import system.
        os._exit(0)
