"""Detects that the host was suspended, so that views from before are confirmed before their use."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

_MIN_SUSPENSION_SECONDS = 0.25
"""Shortest suspension that is handled; connections and views survive shorter ones."""
_SETTLE_TIMEOUT_SECONDS = 0.3
"""Longest wait of requests for the changes since a suspension from the store or from peers."""
_POLL_INTERVAL_SECONDS = 0.02


class SuspensionWatch:
    """Detects suspensions by comparing a clock that advances during them with one that does not."""

    def __init__(
        self,
        clock: Callable[[], float],
        steady: Callable[[], float],
        on_suspension: Callable[[float], None],
        is_confirmed: Callable[[float], bool],
    ) -> None:
        """Call `on_suspension` after each suspension, with its length in seconds.

        `clock` advances during a suspension, `steady` does not. `is_confirmed` returns whether the
        views were confirmed since a time on `clock`.
        """
        self._clock = clock
        self._steady = steady
        self._on_suspension = on_suspension
        self._is_confirmed = is_confirmed
        self._clock_offset = clock() - steady()
        self._suspension_end = float("-inf")
        self.suspension_count = 0
        """Number of suspensions detected so far."""

    def check(self) -> None:
        """Detect a suspension since the last call; cheap enough to be called at each step."""
        clock_offset = self._clock() - self._steady()
        gap = clock_offset - self._clock_offset
        self._clock_offset = clock_offset
        if gap >= _MIN_SUSPENSION_SECONDS:
            self.suspension_count += 1
            self._suspension_end = self._clock()
            self._on_suspension(gap)

    @property
    def is_settled(self) -> bool:
        """Whether the views were confirmed since the last suspension or the wait timed out."""
        waited = self._clock() - self._suspension_end
        return waited >= _SETTLE_TIMEOUT_SECONDS or self._is_confirmed(self._suspension_end)

    async def wait_until_settled(self) -> None:
        """Wait, for a bounded time, until the views were confirmed since the last suspension."""
        self.check()
        while not self.is_settled:
            await anyio.sleep(_POLL_INTERVAL_SECONDS)
            self.check()
