"""Runs the tasks of a gateway, so that an exception ends only the task in which it is raised.

A gateway ends only when it is told to stop or when its settings are unusable. Every task, every
connection from a peer and every callback of the event loop therefore runs under a supervisor.
"""

from __future__ import annotations

import traceback
from collections import Counter
from typing import TYPE_CHECKING

import anyio

from lotushill import clock as clocks

if TYPE_CHECKING:
    import asyncio
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable
    from typing import Any

    from lotushill.event_log import EventLog

_INITIAL_BACKOFF_SECONDS = 0.2
_MAX_BACKOFF_SECONDS = 10.0
_MAX_TRACE_CHARACTERS = 2000
"""Number of characters logged from the end of a stack trace."""
_LOG_INTERVAL_SECONDS = 1.0
"""Minimum interval between two log lines on one task: a step may fail many times a second."""
_CALLBACK = "callback"
"""Name under which the failures of callbacks of the event loop are counted."""


def trace_of(error: BaseException) -> str:
    """Return the end of the stack trace of an exception."""
    return "".join(traceback.format_exception(error))[-_MAX_TRACE_CHARACTERS:]


class Supervisor:
    """Logs and counts the exceptions of tasks, and restarts those that have to run forever."""

    def __init__(
        self, log: EventLog, rng: random.Random, clock: Callable[[], float] = clocks.now
    ) -> None:
        self._log = log
        self._rng = rng
        self._clock = clock
        self._logged_at: dict[str, float] = {}
        """Time of the last log line, by the name of the task."""
        self.failures: Counter[str] = Counter()
        """Number of exceptions so far, by the name of the task that raised them."""

    async def run(self, name: str, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it returns; restart it after each exception, with back-off."""
        backoff = _INITIAL_BACKOFF_SECONDS
        while True:
            try:
                await task()
                return
            except Exception as error:
                self.note(name, error, again_in=round(backoff, 2))
            await anyio.sleep(backoff * self._rng.uniform(0.7, 1.3))
            backoff = min(_MAX_BACKOFF_SECONDS, 2 * backoff)

    async def contain(
        self, name: str, task: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Run a task once, such as that of one connection; an exception ends only this task."""
        try:
            await task(*arguments)
        except Exception as error:
            self.note(name, error)

    def call(self, name: str, step: Callable[..., object], *arguments: object) -> None:
        """Run one step of a task; an exception ends only this step."""
        try:
            step(*arguments)
        except Exception as error:
            self.note(name, error)

    def handle_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Record an exception that reached the event loop; see `loop.set_exception_handler`."""
        error = context.get("exception")
        if isinstance(error, Exception):
            self.note(_CALLBACK, error, message=context.get("message"))
        else:
            loop.default_exception_handler(context)

    def note(self, name: str, error: Exception, **fields: object) -> None:
        """Count an exception of a task, and log it unless one was logged a moment ago."""
        self.failures[name] += 1
        now = self._clock()
        if now - self._logged_at.get(name, float("-inf")) < _LOG_INTERVAL_SECONDS:
            return
        self._logged_at[name] = now
        count = self.failures[name]
        self._log.note("task.failed", task=name, count=count, **fields, trace=trace_of(error))
