"""Notices that the host was suspended, and has what was believed before confirmed first."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

_LEAST_SECONDS = 0.25
"""A suspension that is shorter changes nothing: connections and views outlast more."""
_SETTLE_SECONDS = 0.3
"""Requests wait so long at most, until the store or peers have told what has changed meanwhile."""
_POLL_SECONDS = 0.02


class SuspensionWatch:
    """Compares a clock that goes on in a suspension with one that does not."""

    def __init__(
        self,
        clock: Callable[[], float],
        steady: Callable[[], float],
        on_suspension: Callable[[float], None],
        is_confirmed: Callable[[float], bool],
    ) -> None:
        """Tell `on_woke` for how many seconds the host was suspended.

        `is_confirmed` tells whether the views were confirmed since a time on `clock`.
        """
        self._clock = clock
        self._steady = steady
        self._on_woke = on_suspension
        self._is_confirmed = is_confirmed
        self._apart = clock() - steady()
        self._woke_at = float("-inf")
        self.suspension_count = 0
        """How often the host was suspended so far."""

    def check(self) -> None:
        """Notice a suspension since the last look; cheap enough to be called at each step."""
        apart = self._clock() - self._steady()
        gap = apart - self._apart
        self._apart = apart
        if gap >= _LEAST_SECONDS:
            self.suspension_count += 1
            self._woke_at = self._clock()
            self._on_woke(gap)

    @property
    def is_settled(self) -> bool:
        """Return whether what is believed is no older than the last suspension."""
        waited = self._clock() - self._woke_at
        return waited >= _SETTLE_SECONDS or self._is_confirmed(self._woke_at)

    async def wait_until_settled(self) -> None:
        """Wait until what is believed has been confirmed, for a bounded time."""
        self.check()
        while not self.is_settled:
            await anyio.sleep(_POLL_SECONDS)
            self.check()
