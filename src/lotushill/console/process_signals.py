"""Handles signals while no event loop does: before it runs, and after it has ended."""

from __future__ import annotations

import json
import os
import signal
import time
from typing import TYPE_CHECKING

from lotushill.process.exit_status import EXIT_OK
from lotushill.process.exit_status import PROCESS_STOPPED

if TYPE_CHECKING:
    from types import FrameType

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
IGNORED_SIGNALS = (
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGIO,
    signal.SIGPWR,
)
"""Signals that mean nothing to this program, and that end a process that does not handle them."""
_STANDARD_OUTPUT = 1


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
        for number in _STOP_SIGNALS:
            signal.signal(number, self._exit_at_once)
        for number in IGNORED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def block(self) -> None:
        """Block signals, because the process is about to exit by itself.

        Ignoring them would not suffice: the event loop restores the default actions at its end.
        """
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, *_STOP_SIGNALS, *IGNORED_SIGNALS))

    def _request_reload(self, number: int, frame: FrameType | None) -> None:
        self.is_reload_requested = True

    def _exit_at_once(self, number: int, frame: FrameType | None) -> None:
        # Exits at once, since there are no requests in progress yet. An exception raised here would
        # be lost if the signal arrives during a callback of the import system.
        _write_last_line(signal.Signals(number).name)
        os._exit(EXIT_OK)


def _write_last_line(why: str) -> None:
    """Write the last log line; the log itself may not be imported yet."""
    line = {
        "t": round(time.clock_gettime(time.CLOCK_BOOTTIME), 3),
        "node": os.uname().nodename,
        "event": PROCESS_STOPPED,
        "why": why,
        "status": EXIT_OK,
    }
    try:
        os.set_blocking(_STANDARD_OUTPUT, False)
        os.write(_STANDARD_OUTPUT, json.dumps(line, separators=(",", ":")).encode() + b"\n")
    except OSError:
        # Standard output is closed or its reader is stuck, and nothing else can tell the operator.
        pass
