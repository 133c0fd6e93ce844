"""How news of load reaches all schedulers, in batches.

A scheduler tells the others what it places and hears. Any other gateway tells its news to one
scheduler of its hall, which passes them on. So only schedulers hear of what all others run, and
what one of them hears is a bounded number of datagrams, however many gateways there are.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lotushill.links.messages import LoadBatch
from lotushill.links.messages import LoadNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.membership.schedulers import Schedulers

BATCH_INTERVAL_SECONDS = 0.01
"""Between two batches in a small fleet."""
_LARGE_BATCH_SECONDS = 0.02
"""In a large one: about the time between two requests of a scheduler, and half the frames."""
_STILL_SECONDS = 0.25
"""A scheduler of a large fleet that has nothing to tell says so, so that halls hear each other."""
_MOST_BYTES = 1100
"""Of one batch, so that it fits a datagram."""


class LoadRelay:
    """Collects and passes on news, with the clock passed in and packets given out."""

    def __init__(
        self,
        own: str,
        schedulers: Schedulers,
        send: Callable[[LoadNews | LoadBatch, str], None],
    ) -> None:
        """Serve the gateway `own`; `send` sends a message to an address."""
        self._own = own
        self._schedulers = schedulers
        self._send = send
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._next_flush = 0.0
        self._flushed_at = float("-inf")
        self._something = asyncio.Event()

    async def wait_for_pending(self) -> None:
        """Return when something waits to be passed on."""
        await self._something.wait()

    def publish(self, records: bytes, turn: int, now: float) -> None:
        """Tell all schedulers, through one of them where this gateway is none.

        `turn` is the number of the request: its news go to the scheduler that was asked for it.
        """
        if self._schedulers.is_scheduler():
            self.collect(records, now)
            return
        order = self._schedulers.query_order(now, turn)
        if order:
            self._send(LoadNews(records), order[0].address)

    def collect(self, records: bytes, now: float) -> None:
        """Take news to pass on: at once in calm times, else with others."""
        if self._held and self._held_bytes + len(records) > _MOST_BYTES:
            self._flush(now)
        self._held.append(records)
        self._held_bytes += len(records)
        self._something.set()
        self.flush_due(now)

    def flush_due(self, now: float) -> None:
        """Pass on what waits, if the last batch is long enough ago."""
        if self._held and now >= self._next_flush:
            self._flush(now)

    def send_keepalive(self, now: float) -> None:
        """Send an empty batch if this gateway schedules for a hall and has long told nothing."""
        schedulers = self._schedulers
        if schedulers.is_small_fleet() or not schedulers.is_scheduler():
            return
        if now - self._flushed_at >= _STILL_SECONDS:
            self._flush(now)

    def _flush(self, now: float) -> None:
        batch = LoadBatch(self._own, b"".join(self._held))
        self._held = []
        self._held_bytes = 0
        self._something.clear()
        small = self._schedulers.is_small_fleet()
        self._next_flush = now + (BATCH_INTERVAL_SECONDS if small else _LARGE_BATCH_SECONDS)
        self._flushed_at = now
        for scheduler in self._schedulers.others():
            self._send(batch, scheduler.address)
