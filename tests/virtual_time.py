"""Event loop in virtual time, for tests of timeouts and pauses without sockets.

The time passes only while no callback is due, and then at once, so that the load of the machine
changes no result.
"""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

_Result = TypeVar("_Result")
_START_SECONDS = 1_000.0
"""Time of the loop at its start, so that times a little earlier are positive."""


class _Selector(selectors.DefaultSelector):
    """Selector that advances the time of its loop instead of waiting."""

    seconds = _START_SECONDS

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now, and advance the time if the loop would wait."""
        if timeout is None:
            raise RuntimeError("all tasks wait for something that never happens")
        self.seconds += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is not that of the machine."""

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.seconds


def run_virtually(work: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
