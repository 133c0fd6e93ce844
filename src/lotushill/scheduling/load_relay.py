"""Distributes load updates to all schedulers, in batches.

A scheduler sends the other schedulers the load updates that it makes and receives. Any other
gateway sends its updates to one scheduler of its hall, which forwards them. So only schedulers
receive the load of all gateways, and each of them receives a bounded number of datagrams, however
many gateways there are.
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
"""Interval between two batches in a small fleet."""
_LARGE_FLEET_BATCH_INTERVAL_SECONDS = 0.02
"""Interval between two batches in a large fleet: about the time between two requests of a
scheduler, and half the frames."""
_KEEPALIVE_SECONDS = 0.25
"""Time without a batch after which a scheduler of a large fleet sends an empty one, so that halls
can detect each other's loss."""
_MAX_BATCH_BYTES = 1100
"""Maximum size of one batch, so that it fits in a datagram."""


class LoadRelay:
    """Collects and forwards load updates; the clock is passed in, and `send` takes the packets."""

    def __init__(
        self,
        own: str,
        schedulers: Schedulers,
        send: Callable[[LoadNews | LoadBatch, str], None],
    ) -> None:
        """Create the relay of the gateway `own`; `send` sends a message to an address."""
        self._own = own
        self._schedulers = schedulers
        self._send = send
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._next_flush = 0.0
        self._flushed_at = float("-inf")
        self._has_pending = asyncio.Event()

    async def wait_for_pending(self) -> None:
        """Return when there are updates to forward."""
        await self._has_pending.wait()

    def publish(self, records: bytes, request_number: int, now: float) -> None:
        """Send records to all schedulers, through one of them if this gateway is not a scheduler.

        The updates on the request `request_number` go to the scheduler that was asked to place it.
        """
        if self._schedulers.is_scheduler():
            self.collect(records, now)
            return
        order = self._schedulers.query_order(now, request_number)
        if order:
            self._send(LoadNews(records), order[0].address)

    def collect(self, records: bytes, now: float) -> None:
        """Collect records to forward: at once under low load, otherwise in a batch with others."""
        if self._pending and self._pending_bytes + len(records) > _MAX_BATCH_BYTES:
            self._flush(now)
        self._pending.append(records)
        self._pending_bytes += len(records)
        self._has_pending.set()
        self.flush_due(now)

    def flush_due(self, now: float) -> None:
        """Send the collected records if the batch interval has passed."""
        if self._pending and now >= self._next_flush:
            self._flush(now)

    def send_keepalive(self, now: float) -> None:
        """Send an empty batch if this gateway schedules for a hall and has long sent none."""
        schedulers = self._schedulers
        if schedulers.is_small_fleet() or not schedulers.is_scheduler():
            return
        if now - self._flushed_at >= _KEEPALIVE_SECONDS:
            self._flush(now)

    def _flush(self, now: float) -> None:
        batch = LoadBatch(self._own, b"".join(self._pending))
        self._pending = []
        self._pending_bytes = 0
        self._has_pending.clear()
        is_small = self._schedulers.is_small_fleet()
        self._next_flush = now + (
            BATCH_INTERVAL_SECONDS if is_small else _LARGE_FLEET_BATCH_INTERVAL_SECONDS
        )
        self._flushed_at = now
        for scheduler in self._schedulers.others():
            self._send(batch, scheduler.address)
