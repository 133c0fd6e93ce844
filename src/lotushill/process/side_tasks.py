"""Background tasks: an exception in one of them must not stop the gateway from serving requests."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lotushill.event_log import EventLog

_INITIAL_BACKOFF_SECONDS = 0.2
_MAX_BACKOFF_SECONDS = 10.0
_MAX_TRACE_CHARACTERS = 2000
"""Number of characters logged from the end of a stack trace."""


class SideTasks:
    """Runs background tasks and restarts them after an exception, with exponential back-off."""

    def __init__(self, log: EventLog, rng: random.Random) -> None:
        self._log = log
        self._rng = rng
        self.failure_count = 0
        """Number of exceptions raised by all tasks so far."""

    async def run(self, name: str, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it returns; restart it after each exception."""
        backoff = _INITIAL_BACKOFF_SECONDS
        while True:
            try:
                await task()
                return
            except Exception as error:
                self.failure_count += 1
                trace = "".join(traceback.format_exception(error))[-_MAX_TRACE_CHARACTERS:]
                self._log.note("task.failed", task=name, again_in=round(backoff, 2), trace=trace)
            await anyio.sleep(backoff * self._rng.uniform(0.7, 1.3))
            backoff = min(_MAX_BACKOFF_SECONDS, 2 * backoff)
