"""A gateway's part in the duties of the fleet: its request counts and its candidacy as holder."""

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

_RANK_KEY = "duties"
_MAX_RANKED_GATEWAYS = 10_000
_POLL_INTERVAL_SECONDS = 0.05


@dataclass(frozen=True)
class DutyDependencies:
    """Components of a running gateway that its duties use."""

    is_ready: Callable[[], bool]
    views: StoreViews
    peers: Peers
    fleet: Fleet
    limits: StatedLimits
    store: ObjectStore
    log: EventLog


class FleetDuties:
    """Counts requests for the holder of the duties, and is a candidate if the settings say so."""

    def __init__(self, settings: GatewaySettings) -> None:
        """Create the request counter of the gateway that `settings` describe."""
        self._settings = settings
        self._time = TrueTime(time.time, clocks.now)
        window_seconds = (settings.duties or DutySettings("")).report_window_seconds
        self.request_counter = RequestCounter(settings.name, window_seconds, self._time, clocks.now)
        self._runner: DutyRunner | None = None

    async def run(self, dependencies: DutyDependencies) -> None:
        """Run as a candidate for the duties of the fleet, once this gateway is ready to serve."""
        while not dependencies.is_ready():
            await anyio.sleep(_POLL_INTERVAL_SECONDS)
        self._runner = self._new_runner(dependencies)
        try:
            await self._runner.run()
        finally:
            self._runner = None

    def work_pages(self, pull: WorkPull) -> Iterable[WorkPage]:
        """Return the counts of this gateway, and adopt the time that the requester computed."""
        self._time.set_time(pull.now)
        return self.request_counter.pages(pull.since)

    def receive(self, page: WorkPage) -> None:
        """Receive the counts of another gateway."""
        if self._runner is not None:
            self._runner.receive(page)

    async def hand_over(self) -> None:
        """Hand over the duties to another gateway, because this one shuts down."""
        if self._runner is not None:
            await self._runner.hand_over()

    def status(self) -> dict[str, object] | None:
        """Return the status of the duties for operators, None if this gateway does not run them."""
        return self._runner.status() if self._runner is not None else None

    def _new_runner(self, dependencies: DutyDependencies) -> DutyRunner:
        # Imported late because serving does not need these modules.
        from lotushill.duties.duty_runner import DutyRunner
        from lotushill.duties.ports import FleetAccess
        from lotushill.platform.duty_api import DutyApi

        settings = self._settings.duties
        assert settings is not None
        membership = dependencies.peers.membership
        fleet_access = FleetAccess(
            members=membership.live,
            reads_store=lambda: dependencies.views.contact() is StoreContact.READING,
            rank=lambda: _rank(membership),
            candidates=lambda: len(_candidates(membership)),
            services=lambda: _services(dependencies.views),
            upstreams=dependencies.views.upstreams,
            send_pull=dependencies.peers.send_message,
            request_rate_limit=dependencies.limits.rate,
            stream_seconds=lambda service: dependencies.fleet.pace(service).stream_seconds,
            own_pages=self.request_counter.pages,
        )
        return DutyRunner(
            self._settings.name,
            membership.own.incarnation,
            settings,
            dependencies.store,
            DutyApi(settings.address),
            fleet_access,
            self._time,
            dependencies.log,
            clocks.now,
        )


def _rank(membership: Membership) -> int:
    """Return the rank of this gateway among those that currently read the store."""
    own = membership.own.name
    return ranked(_RANK_KEY, _candidates(membership), _MAX_RANKED_GATEWAYS).index(own)


def _candidates(membership: Membership) -> set[str]:
    """Return the names of this gateway and of all others that currently read the store."""
    reader_names = {
        member.name for member in membership.live() if member.contact is StoreContact.READING
    }
    return {*reader_names, membership.own.name}


def _services(views: StoreViews) -> list[Service]:
    table = views.configuration.table
    return list(table.services.values()) if table is not None else []
