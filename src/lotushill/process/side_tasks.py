"""Tasks beside the request path: a fault in one of them must not end the serving of requests."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lotushill.event_log import EventLog

_FIRST_PAUSE_SECONDS = 0.2
_LONGEST_PAUSE_SECONDS = 10.0
_MOST_TRACE = 2000
"""Characters of a trace that are logged, the last ones."""


class SideTasks:
    """Runs tasks that start again after a fault, with a pause that grows."""

    def __init__(self, log: EventLog, rng: random.Random) -> None:
        self._log = log
        self._rng = rng
        self.failure_count = 0
        """Faults of all tasks so far."""

    async def run(self, name: str, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it returns, again after each fault."""
        pause = _FIRST_PAUSE_SECONDS
        while True:
            try:
                await task()
                return
            except Exception as error:
                self.failure_count += 1
                trace = "".join(traceback.format_exception(error))[-_MOST_TRACE:]
                self._log.note("task.failed", task=name, again_in=round(pause, 2), trace=trace)
            await anyio.sleep(pause * self._rng.uniform(0.7, 1.3))
            pause = min(_LONGEST_PAUSE_SECONDS, 2 * pause)
