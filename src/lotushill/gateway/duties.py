"""A gateway's part in the duties of the fleet: its counts, and the keeper where there is one."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from lotushill import clock as clocks
from lotushill.duties.request_counter import RequestCounter
from lotushill.duties.true_time import TrueTime
from lotushill.links.messages import StoreContact
from lotushill.process.settings import DutySettings
from lotushill.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from lotushill.availability.stated_limits import StatedLimits
    from lotushill.duties.duty_runner import DutyRunner
    from lotushill.event_log import EventLog
    from lotushill.gateway.store_views import StoreViews
    from lotushill.links.messages import WorkPage
    from lotushill.links.messages import WorkPull
    from lotushill.membership.membership import Membership
    from lotushill.peering.peers import Peers
    from lotushill.placement.fleet import Fleet
    from lotushill.platform.object_store import ObjectStore
    from lotushill.process.settings import GatewaySettings
    from lotushill.routing.service import Service

_KEY = "duties"
_MOST_RANKED = 10_000
_TICK_SECONDS = 0.05


@dataclass(frozen=True)
class DutyDependencies:
    """The parts of a running gateway that its duties use."""

    is_ready: Callable[[], bool]
    views: StoreViews
    peers: Peers
    fleet: Fleet
    limits: StatedLimits
    store: ObjectStore
    log: EventLog


class FleetDuties:
    """Counts for the holder of the duties, and may be the holder where the settings ask for it."""

    def __init__(self, settings: GatewaySettings) -> None:
        """Count for the gateway of `settings`."""
        self._settings = settings
        self._time = TrueTime(time.time, clocks.now)
        window_seconds = (settings.duties or DutySettings("")).report_window_seconds
        self.request_counter = RequestCounter(settings.name, window_seconds, self._time, clocks.now)
        self._keeper: DutyRunner | None = None

    async def run(self, parts: DutyDependencies) -> None:
        """Do what falls to this gateway for the whole fleet, once it can serve."""
        while not parts.is_ready():
            await anyio.sleep(_TICK_SECONDS)
        self._keeper = self._new_keeper(parts)
        try:
            await self._keeper.run()
        finally:
            self._keeper = None

    def work_pages(self, pull: WorkPull) -> Iterable[WorkPage]:
        """Return what this gateway counted, and take over the time that the asker worked out."""
        self._time.set_time(pull.now)
        return self.request_counter.pages(pull.since)

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

    def _new_keeper(self, parts: DutyDependencies) -> DutyRunner:
        # Loaded late: nothing of it is needed to serve.
        from lotushill.duties.duty_runner import DutyRunner
        from lotushill.duties.ports import FleetAccess
        from lotushill.platform.duty_api import DutyApi

        settings = self._settings.duties
        assert settings is not None
        membership = parts.peers.membership
        sight = FleetAccess(
            members=membership.live,
            reads_store=lambda: parts.views.contact() is StoreContact.READING,
            rank=lambda: _rank(membership),
            services=lambda: _services(parts.views),
            upstreams=parts.views.upstreams,
            send_pull=parts.peers.send_message,
            request_rate_limit=parts.limits.rate,
            stream_seconds=lambda service: parts.fleet.pace(service).stream_seconds,
            own_pages=self.request_counter.pages,
        )
        return DutyRunner(
            self._settings.name,
            membership.own.incarnation,
            settings,
            parts.store,
            DutyApi(settings.address),
            sight,
            self._time,
            parts.log,
            clocks.now,
        )


def _rank(membership: Membership) -> int:
    """Return the place of this gateway among those that the store serves now."""
    own = membership.own.name
    reading = {
        member.name for member in membership.live() if member.contact is StoreContact.READING
    }
    return ranked(_KEY, {*reading, own}, _MOST_RANKED).index(own)


def _services(views: StoreViews) -> list[Service]:
    table = views.configuration.table
    return list(table.services.values()) if table is not None else []
