"""Performs the duties while this gateway holds them, and takes them over if no gateway does."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from lotushill.duties.call_health import CallHealth
from lotushill.duties.duty_record import DutyRecord
from lotushill.duties.lease import Lease
from lotushill.duties.lease import LeaseOptions
from lotushill.duties.order_duty import OrderDuty
from lotushill.duties.ownership import Ownership
from lotushill.duties.usage_duty import UsageDuty

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.duties.ports import FleetAccess
    from lotushill.duties.ports import Platform
    from lotushill.duties.ports import Store
    from lotushill.duties.true_time import TrueTime
    from lotushill.event_log import EventLog
    from lotushill.links.messages import WorkPage
    from lotushill.process.settings import DutySettings


class DutyRunner:
    """Performs the part of one gateway in the duties."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        settings: DutySettings,
        store: Store,
        platform: Platform,
        fleet: FleetAccess,
        time: TrueTime,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        """Create the part of process `incarnation` of the gateway `name`."""
        self._settings = settings
        self._clock = clock
        options = LeaseOptions(settings.lease_seconds, settings.fenced)
        self.lease = Lease(name, incarnation, options, clock())
        health = CallHealth()
        self._ownership = Ownership(
            self.lease, store, fleet, health, log, clock, settings.lease_seconds
        )
        self.usage = UsageDuty(settings, self._ownership, platform, fleet, time, health, log, clock)
        self._orders = OrderDuty(self._ownership, platform, fleet, health, log, clock)

    async def run(self) -> None:
        """Perform the duties of this gateway until cancelled.

        Several loops run side by side, so that an unresponsive store or platform delays only its
        own loop.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._ownership.serve,
                self._first_record,
                self._begin,
                self._next_record,
                self.usage.has_unrecorded,
            )
            group.start_soon(self.usage.collect)
            group.start_soon(self.usage.report)
            if self._settings.orders_engines:
                group.start_soon(self._orders.run)

    async def hand_over(self) -> None:
        """Hand the duties over to another gateway because this one stops."""
        await self._ownership.retire()

    def receive(self, page: WorkPage) -> None:
        """Merge the request counts and the demand that a gateway reports."""
        self.usage.receive(page)
        self._orders.receive(page)

    def status(self) -> dict[str, object]:
        """Return the state of the duties for operators."""
        record = self._ownership.record
        return {
            "holder": record.holder if record else None,
            "held_here": self.lease.is_held,
            "token": self.lease.token,
            "seconds": round(self._clock() - self.lease.last_transition_at, 1),
            "settled_window": record.settled if record else None,
            "unreported": sorted(record.reports) if record else [],
            "orders": {
                place: {"ordinary": orders.ordinary, "reclaimable": orders.reclaimable}
                for place, orders in (record.orders if record else {}).items()
            },
        }

    def _first_record(self) -> DutyRecord:
        """Return the first record of a fleet, which counts the windows from now on."""
        return DutyRecord("", 0, settled=self.usage.newest_window() - 1)

    def _begin(self, former: DutyRecord) -> None:
        self.usage.begin(former)
        self._orders.begin(former)

    def _next_record(self, record: DutyRecord) -> DutyRecord:
        return replace(
            self._orders.add_to(self.usage.add_to(record)),
            beat=record.beat + 1,
        )
