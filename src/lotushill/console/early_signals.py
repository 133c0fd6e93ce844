"""Signals that come while a program starts, before its loop can take them."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType


class EarlySignals:
    """Without it each of these signals ends a process that is still loading.

    A start takes some 0.3 s of processor time; where all hosts come back at once that is seconds.
    """

    def __init__(self) -> None:
        self.reload_asked = False
        """Whether the settings are to be read again once the program runs."""

    def install(self) -> None:
        """Take signals from now on, until the loop does."""
        signal.signal(signal.SIGHUP, self._note_reload)
        signal.signal(signal.SIGTERM, self._stop)

    def _note_reload(self, number: int, frame: FrameType | None) -> None:
        self.reload_asked = True

    def _stop(self, number: int, frame: FrameType | None) -> None:
        # Nothing was taken on yet that would have to be finished.
        raise SystemExit(0)
