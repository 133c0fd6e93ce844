"""An event loop whose clock jumps to the next scheduled event."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Coroutine


class _JumpingSelector(selectors.SelectSelector):
    """Advances the clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs in virtual time; no task in it may wait for anything outside of the loop."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run_virtual(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
