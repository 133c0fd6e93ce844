"""A gateway's part in the duties of the fleet: its counts, and the keeper where there is one."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio

from lotushill import clock as clocks
from lotushill.duties.true_time import TrueTime
from lotushill.duties.work_counts import WorkCounts
from lotushill.gateway.settings import DutySettings
from lotushill.links.messages import StoreContact
from lotushill.membership.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.duties.duty_keeper import DutyKeeper
    from lotushill.gateway.gateway import Gateway
    from lotushill.links.messages import WorkPage
    from lotushill.links.messages import WorkPull
    from lotushill.routing.service import Service

_KEY = "duties"
_MOST_RANKED = 10_000
_TICK_SECONDS = 0.05


class FleetDuties:
    """Counts for the holder of the duties, and may be the holder where the settings ask for it."""

    def __init__(self, gateway: Gateway) -> None:
        """Count for a gateway; its other parts are used once it runs."""
        settings = gateway.settings
        self._gateway = gateway
        self._time = TrueTime(time.time, clocks.now)
        window_seconds = (settings.duties or DutySettings("")).report_window_seconds
        self.work = WorkCounts(settings.name, window_seconds, self._time, clocks.now)
        self._keeper: DutyKeeper | None = None

    async def run(self) -> None:
        """Do what falls to this gateway for the whole fleet, once it can serve."""
        while not self._gateway.ready():
            await anyio.sleep(_TICK_SECONDS)
        self._keeper = self._new_keeper()
        try:
            await self._keeper.run()
        finally:
            self._keeper = None

    def pages(self, pull: WorkPull) -> Iterable[WorkPage]:
        """Return what this gateway counted, and take over the time that the asker worked out."""
        self._time.adopt(pull.now)
        return self.work.pages(pull.since)

    def receive(self, page: WorkPage) -> None:
        """Take in what another gateway counted."""
        if self._keeper is not None:
            self._keeper.receive(page)

    async def hand_over(self) -> None:
        """Let another gateway hold the duties, since this one stops."""
        if self._keeper is not None:
            await self._keeper.hand_over()

    def status(self) -> dict[str, object] | None:
        """Return what operators ask of the duties, None without any."""
        return self._keeper.status() if self._keeper is not None else None

    def _new_keeper(self) -> DutyKeeper:
        # Loaded late: nothing of it is needed to serve.
        from lotushill.duties.duty_keeper import DutyKeeper
        from lotushill.duties.ports import FleetSight
        from lotushill.platform.duty_api import DutyApi

        gateway = self._gateway
        settings = gateway.settings.duties
        assert settings is not None
        membership = gateway.peers.membership
        sight = FleetSight(
            members=membership.live,
            reads_store=self._reads_store,
            rank=self._rank,
            services=self._services,
            upstreams=gateway.views.upstreams,
            pull=gateway.peers.send_message,
            own_pages=self.work.pages,
        )
        return DutyKeeper(
            gateway.settings.name,
            membership.own.incarnation,
            settings,
            gateway.store,
            DutyApi(settings.address),
            sight,
            self._time,
            gateway.log,
            clocks.now,
        )

    def _reads_store(self) -> bool:
        return self._gateway.views.contact() is StoreContact.READING

    def _rank(self) -> int:
        """Return the place of this gateway among those that the store serves now."""
        membership = self._gateway.peers.membership
        own = membership.own.name
        reading = {
            member.name for member in membership.live() if member.contact is StoreContact.READING
        }
        return ranked(_KEY, {*reading, own}, _MOST_RANKED).index(own)

    def _services(self) -> Iterable[Service]:
        table = self._gateway.views.configuration.table
        return list(table.services.values()) if table is not None else []
