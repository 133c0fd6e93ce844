"""Assembles the components of one `lotushill-gateway` process, and starts and stops them."""

from __future__ import annotations

import asyncio
import functools
import os
import random
import signal
import time
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from lotushill import clock as clocks
from lotushill.availability.cooldowns import Cooldowns
from lotushill.availability.stated_limits import StatedLimits
from lotushill.contracts.exceptions import SettingsError
from lotushill.event_log import EventLog
from lotushill.gateway.client_bounds import client_bounds
from lotushill.gateway.client_bounds import status_bounds
from lotushill.gateway.duties import DutyDependencies
from lotushill.gateway.duties import FleetDuties
from lotushill.gateway.fleet_quarantine import FleetQuarantine
from lotushill.gateway.status_app import StatusApp
from lotushill.gateway.status_report import add_gauges
from lotushill.gateway.status_report import status
from lotushill.gateway.store_views import StoreViews
from lotushill.journal import Journal
from lotushill.limits.barred_upstreams import BarredUpstreams
from lotushill.limits.fleet_limits import FleetLimits
from lotushill.limits.fleet_slots import FleetSlots
from lotushill.limits.limit_owners import LimitOwners
from lotushill.limits.permit_rank import PermitRanks
from lotushill.limits.team_limits import TeamLimits
from lotushill.links.binder import Binder
from lotushill.links.http_server import HttpServer
from lotushill.links.messages import ViewKind
from lotushill.membership.schedulers import MAX_SMALL_FLEET_GATEWAYS
from lotushill.peering.leaving_gossip import LeavingGossip
from lotushill.peering.peers import PeerHooks
from lotushill.peering.peers import Peers
from lotushill.peering.reader_role import ReaderRole
from lotushill.peering.registration import Registration
from lotushill.peering.return_gossip import ReturnGossip
from lotushill.placement.fleet import Fleet
from lotushill.platform import request_head
from lotushill.platform.object_store import ObjectStore
from lotushill.process.metrics import Metrics
from lotushill.process.supervisor import Supervisor
from lotushill.process.suspension import SuspensionWatch
from lotushill.relaying.relay_server import RelayServer
from lotushill.requests.client_application import ClientApplication
from lotushill.requests.client_protocol import ClientProtocol
from lotushill.requests.engine_memory_client import EngineMemoryClient
from lotushill.requests.gateway_components import GatewayComponents
from lotushill.requests.idle_connections import idle_connection_limit
from lotushill.requests.isolation_policy import IsolationPolicy
from lotushill.requests.mover import Mover
from lotushill.requests.retry_budgets import RetryBudgets
from lotushill.requests.unread_limit import UnreadLimit
from lotushill.requests.upstream_dialer import UpstreamDialer
from lotushill.requests.upstream_gate import UpstreamGate
from lotushill.requests.upstream_pool import UpstreamPool
from lotushill.routing.limits import ClientLimits
from lotushill.scheduling.placement_responder import PlacementResponder
from lotushill.scheduling.placer import Placer
from lotushill.scheduling.queue_runner import QueueRunner
from lotushill.scheduling.shared_load import SharedLoad
from lotushill.starting.startup_phase import StartupPhase
from lotushill.versions.ended_incarnations import EndedIncarnations
from lotushill.versions.stored_origins import StoredOrigins
from lotushill.versions.stream_origins import StreamOrigins
from lotushill.waiting.admission_queue import AdmissionQueue
from lotushill.waiting.slot_turns import RemoteQueues

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from lotushill.clients.bounds import ClientBounds
    from lotushill.links.limit_messages import LimitNews
    from lotushill.links.limit_messages import PermitAnswer
    from lotushill.links.limit_messages import PermitAsk
    from lotushill.process.settings import GatewaySettings
    from lotushill.routing.service import Service
    from lotushill.routing.upstream import Upstream

_SWEEP_INTERVAL_SECONDS = 0.5
_EXIT_RESERVE_SECONDS = 1.0
"""Part of the grace time reserved at its end, so that the process exits before it is killed."""
_DRAIN_POLL_INTERVAL_SECONDS = 0.05
_MAX_UNCONFIRMED_SECONDS = 3.0
"""Time without an answer of the store by which the view of upstreams counts as confirmed; longer
than a watch lasts."""
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_FIXED_SETTINGS = (
    "name",
    "hall",
    "region",
    "clients",
    "readiness",
    "peers",
    "store",
    "memory_mb",
    "descriptors",
    "duties",
)
"""Settings whose change requires a restart of the process."""


class Gateway:
    """All components of one gateway process."""

    def __init__(
        self, settings: GatewaySettings, read_settings: Callable[[], GatewaySettings]
    ) -> None:
        """Create and connect the components; `read_settings` is called for a reload."""
        self.settings = settings
        self._read_settings = read_settings
        self.journal = Journal()
        self.metrics = Metrics()
        self.log = EventLog(settings.name, journal=self.journal)
        rng = random.Random()
        self.duties = FleetDuties(settings)
        self.supervisor = Supervisor(self.log, rng)
        self.binder = Binder(self.log, rng)
        self.store = ObjectStore(settings.store)
        role = ReaderRole(lambda: self.peers.membership, clocks.now)
        self.views = StoreViews(
            self.store,
            rng,
            self.log,
            self._on_configuration,
            role,
            on_holds=lambda: self.quarantine.replace_stored(),
        )
        self.fleet = Fleet(
            settings.hall,
            settings.recent_seconds,
            lambda hall: self.peers.is_hall_unreachable(hall),
        )
        self.peers = Peers(settings, self.log, rng, self._hooks())
        self.shared_load = SharedLoad(
            settings.name,
            self.fleet,
            clocks.now,
            self._service_of,
            self.peers.publish_load,
            self.peers.is_same_hall,
        )
        self.return_gossip = ReturnGossip(
            settings.name,
            self.fleet.shedding.returns,
            self.peers.schedulers,
            self.peers.send_message,
            clocks.now,
        )
        self._startup_phase = StartupPhase(MAX_SMALL_FLEET_GATEWAYS, clocks.now())
        self.cooldowns = Cooldowns()
        stated_limits = StatedLimits()
        limit_owners = LimitOwners(
            self.peers.membership, self.peers.schedulers, lambda: self.registration.registered_count
        )
        self.limits = FleetLimits(
            self.views.upstreams,
            limit_owners,
            stated_limits,
            PermitRanks(self.fleet, stated_limits, self.views.upstreams.of),
            self.peers.send_message,
            self.peers.broadcast,
            self.log,
            rng,
            clocks.now,
        )
        self.slots = FleetSlots(
            self.views.upstreams,
            limit_owners,
            self.fleet.brittle,
            lambda upstream_id: len(self.fleet.load(upstream_id).running),
            self.peers.send_message,
            self.peers.broadcast,
            self.log,
            rng,
            clocks.now,
        )
        self.team_limits = TeamLimits(limit_owners, self.limits.client, rng, clocks.now)
        self.queue_runner = QueueRunner(
            settings.name,
            AdmissionQueue(
                self.fleet,
                RemoteQueues(settings.name),
                self.fleet.shares,
                self.fleet.shedding.returns,
            ),
            self._service_named,
            self.views.upstreams.of,
            self.peers.send_to_schedulers,
            clocks.now,
            self.log,
        )
        self.placement_responder = PlacementResponder(
            settings.name,
            self.fleet,
            self.shared_load,
            self._service_named,
            self.views.upstreams.of,
            self.peers.model_sync.is_ready,
            stated_limits,
            self.queue_runner,
            self.peers.send_to,
        )
        placer = Placer(
            settings.name,
            self.fleet,
            self.shared_load,
            self.views.upstreams,
            rng,
            clocks.now,
            BarredUpstreams(self.cooldowns, self.limits.denials),
            stated_limits,
            self.peers.schedulers,
            self.peers.client,
            self._has_full_model,
            self.queue_runner,
        )
        self.dialer = UpstreamDialer(
            request_head.answer_request_id, clocks.now, self.peers.relays(rng), self.log
        )
        self.pool = UpstreamPool(
            request_head.answer_request_id, self._max_idle_connections, dialer=self.dialer
        )
        self.relay_server = RelayServer(
            self._is_upstream_address, lambda: not self.dialer.reachability.is_partitioned_from_all
        )
        self.quarantine = FleetQuarantine(
            settings.name, self.views, self.pool, self.peers, self.store, self.log, rng
        )
        self.registration = Registration(settings, self.store, self.peers, self.log, rng)
        self.stream_origins = StreamOrigins(
            self.peers.membership,
            self.views.upstreams,
            self.peers.send_message,
            self._is_upstream_view_confirmed,
            clocks.now,
        )
        self.stored_origins = StoredOrigins(
            settings.name,
            self.store,
            self.stream_origins.records,
            self.log,
            clocks.now,
            time.time,
            self.stream_origins.is_small_fleet,
            self.stream_origins.has_several_versions,
        )
        self.stream_origins.on_begun = self.stored_origins.note
        self.ended_incarnations = EndedIncarnations(
            self.views.upstreams,
            self.peers.broadcast,
            self._is_upstream_view_confirmed,
            clocks.now,
            self.log,
        )
        self.pool.on_refused = self.ended_incarnations.note_refused
        self.suspension = SuspensionWatch(
            clocks.now, time.monotonic, self._on_suspension, self.views.is_confirmed_since
        )
        self.leaving_gossip = LeavingGossip(
            settings.name, self.views.upstreams, self.peers.broadcast, self.log, rng, clocks.now
        )
        self.upstream_gate = UpstreamGate(
            self.views.upstreams,
            self.cooldowns,
            self.limits,
            self.leaving_gossip.note_answer,
            self.log,
            clocks.now,
            self.slots,
        )
        self.retry_budgets = RetryBudgets(
            settings.retry, self._possible_gateway_count, clocks.now()
        )
        isolation_policy = IsolationPolicy(
            self.quarantine.isolation, self.views.upstreams, clocks.now
        )
        self.mover = Mover(
            EngineMemoryClient(),
            placer,
            self.shared_load,
            self.views.upstreams,
            isolation_policy,
            self.quarantine.gossip,
            self.retry_budgets,
            self.upstream_gate,
            self.pool,
            self.fleet,
            stated_limits.rate,
            self.metrics,
            self.log,
            clocks.now,
        )
        self.client_application = ClientApplication(
            GatewayComponents(
                name=settings.name,
                configuration=self.views.configuration,
                upstreams=self.views.upstreams,
                settings=self.views.settings,
                fleet=self.fleet,
                shared_load=self.shared_load,
                placer=placer,
                pool=self.pool,
                gate=self.upstream_gate,
                limits=self.limits,
                team_limits=self.team_limits,
                isolation_policy=isolation_policy,
                mover=self.mover,
                budgets=self.retry_budgets,
                quarantine=self.quarantine.gossip,
                stream_origins=self.stream_origins,
                ended_incarnations=self.ended_incarnations,
                work=self.duties.request_counter,
                log=self.log,
                metrics=self.metrics,
                rng=rng,
                clock=clocks.now,
                suspension=self.suspension,
                view_is_fresh=self.views.is_fresh,
                holds_are_known=self.views.holds_are_known,
            )
        )
        self.unread_limit = UnreadLimit(lambda: self.peers.count() > 1)
        self.client_bounds = client_bounds(settings)
        self.status_bounds = status_bounds(settings)
        protocol = functools.partial(
            ClientProtocol,
            limits=self._client_limits,
            admits=self.unread_limit.admits,
            bounds=self.client_bounds,
        )
        self.client_listener = HttpServer(
            self.client_application,
            settings.clients,
            protocol=protocol,
            bind=functools.partial(self.binder.bind, "clients"),
            bounds_buffers=True,
        )
        self.status_listener = HttpServer(
            StatusApp(
                self.is_ready, functools.partial(status, self), self.metrics.text, self.journal
            ),
            settings.readiness,
            protocol=functools.partial(ClientProtocol, bounds=self.status_bounds),
            bind=functools.partial(self.binder.bind, "readiness"),
            bounds_buffers=True,
        )
        add_gauges(self)
        self._tick_steps: dict[str, Callable[[], object]] = {
            "suspension": self.suspension.check,
            "leaving gossip": self.leaving_gossip.send_due,
            "limit gossip": self.limits.gossip.send_due,
            "slots": self.slots.process_due,
            "return gossip": self.return_gossip.send_due,
            "stream origins": self.stream_origins.observe_view,
            "ended incarnations": self.ended_incarnations.process_due,
            "moves": self.mover.start_due_handovers,
            "paths": self.pool.watch_paths,
        }
        """Steps of each tick by name; an exception in one of them must not skip the others."""
        self._stopping = False
        self._closed_unread_logged = 0
        """Number of connections closed unread that the log tells of."""

    def is_ready(self) -> bool:
        """Return whether the load balancer may send clients to this gateway."""
        if self._stopping or not self.client_listener.is_bound:
            return False
        has_views = self.views.configuration.table is not None and self.views.upstreams.is_loaded
        return has_views and self.views.holds_are_known()

    async def run(
        self,
        is_reload_requested: Callable[[], bool] = lambda: False,
        before_end: Callable[[], None] = lambda: None,
    ) -> signal.Signals:
        """Serve until a stop signal arrives, finish the requests in progress, return the signal.

        `is_reload_requested` returns whether a reload was requested during the start; `before_end`
        is called when this gateway has stopped, while it still handles signals.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.supervisor.handle_loop_error)
        # The receiver stays open until the end: a signal that arrives during the shutdown (a reload
        # or a second stop) would otherwise kill the process with all requests in progress.
        with anyio.open_signal_receiver(*_STOP_SIGNALS, signal.SIGHUP) as signals:
            async with anyio.create_task_group() as group:
                self._start(group)
                self.log.note("process.started", pid=os.getpid(), hall=self.settings.hall)
                stop_signal = await self._wait_for_stop(signals, is_reload_requested)
                # Runs concurrently with the drain: a store that does not answer must not use up the
                # time that requests in progress have to finish.
                group.start_soon(self.supervisor.run, "hand over", self.duties.hand_over)
                await self.supervisor.contain("drain", self._drain)
                group.cancel_scope.cancel()
                self.mover.close()
            before_end()
        return stop_signal

    def _start(self, group: TaskGroup) -> None:
        """Start all tasks, each of them supervised: an exception must not end the others."""
        for name, task in self._tasks(group).items():
            group.start_soon(self.supervisor.run, name, task)

    def _tasks(self, group: TaskGroup) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks of this gateway by name."""
        tasks: dict[str, Callable[[], Awaitable[None]]] = {
            "readiness listener": self.status_listener.serve,
            "client listener": self.client_listener.serve,
            **self.peers.tasks(group, self.supervisor, self.binder),
            **self.views.tasks(),
            "registration": self.registration.run,
            "waiting line": self.queue_runner.run,
            "sweep": self._sweep,
            "quarantine": self.quarantine.gossip.run,
            "holds": self.quarantine.run_hold_store,
            "stored origins": self.stored_origins.run,
        }
        if self.settings.duties is not None:
            dependencies = DutyDependencies(
                self.is_ready,
                self.views,
                self.peers,
                self.fleet,
                self.limits.stated,
                self.store,
                self.log,
            )
            tasks["duties"] = functools.partial(self.duties.run, dependencies)
        return tasks

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(_SWEEP_INTERVAL_SECONDS)
            known = {upstream.id for upstream in self.views.upstreams.all()}
            self.pool.close_expired(known)
            self.dialer.retain_only({upstream.address for upstream in self.views.upstreams.all()})
            self.fleet.evict_unused(known, clocks.now())
            self._log_pace_changes()
            self._log_ejections()
            self._log_closed_unread()
            self._log_bounds("clients", self.client_bounds)
            self._log_bounds("readiness", self.status_bounds)
            self.cooldowns.retain_only(known, clocks.now())
            self.limits.retain_only(known)
            self.slots.retain_only(known)
            self.team_limits.drop_idle()
            self.mover.retain_only(known)
            self.queue_runner.queue.engines.retain_only(known)
            self.shared_load.expire()
            self.views.expire()
            self.quarantine.gossip.process_pending()
            for load in self.shared_load.due_snapshots(self.peers.count()):
                self.peers.publish_load(load)

    def _log_closed_unread(self) -> None:
        """Log how many connections were closed unread since the last time, if any were."""
        count = self.unread_limit.closed_count - self._closed_unread_logged
        if count:
            self._closed_unread_logged += count
            self.log.note("connections.closed_unread", count=count)

    def _log_bounds(self, listener: str, bounds: ClientBounds) -> None:
        """Log how often clients met the bounds of a listener since the last time, if any did."""
        reached = bounds.take_unreported()
        if reached:
            self.log.note(
                "clients.bounded",
                listener=listener,
                reached=reached,
                memory_bytes=bounds.memory.used,
                connections=len(bounds.connections),
            )

    def _reload(self) -> None:
        """Read the settings file again; keep the values that cannot change in a running process."""
        try:
            settings = self._read_settings()
        except SettingsError as error:
            self.log.note("process.reload", outcome="rejected", error=str(error))
            return
        fixed_values = {name: getattr(self.settings, name) for name in _FIXED_SETTINGS}
        needs_restart = [
            name for name, value in fixed_values.items() if getattr(settings, name) != value
        ]
        self.settings = replace(settings, **fixed_values)
        self.retry_budgets.change(self.settings.retry)
        self.fleet.recent.seconds = self.settings.recent_seconds
        self.log.note("process.reload", outcome="in force", needs_restart=needs_restart)

    async def _wait_for_stop(
        self, signals: AsyncIterator[signal.Signals], is_reload_requested: Callable[[], bool]
    ) -> signal.Signals:
        """Return the signal by which the process is told to stop; reload on SIGHUP."""
        if is_reload_requested():
            self.supervisor.call("reload", self._reload)
        async for received in signals:
            if received in _STOP_SIGNALS:
                return received
            self.supervisor.call("reload", self._reload)
        raise AssertionError("the signal receiver is open until the process stops")

    async def _drain(self) -> None:
        """Wait until the load balancer sends no new clients, then finish requests in progress."""
        deadline = clocks.now() + self.settings.grace_seconds - _EXIT_RESERVE_SECONDS
        self._stopping = True
        self.client_application.closes_connections = True
        self.log.note("process.stopping", in_progress=self.client_application.in_progress)
        await anyio.sleep(self.settings.leave_seconds)
        self.client_application.accepts_requests = False
        self.relay_server.accepts_connections = False
        self.client_listener.stop()
        while self._has_unfinished_work() and clocks.now() < deadline:
            await anyio.sleep(_DRAIN_POLL_INTERVAL_SECONDS)
        self.peers.leave()
        if self._has_unfinished_work():
            self.log.note(
                "process.cut",
                in_progress=self.client_application.in_progress,
                connections=self.client_listener.connections(),
                relayed=self.relay_server.open_count,
            )

    def _has_unfinished_work(self) -> bool:
        """Return whether the end of this process would lose a part of an answer, or free no memory.

        The end of an answer may be written and not sent, so the connections of clients count, which
        close when all their data is sent. A handover may outlive its request, to free the memory
        that engines hold for it.
        """
        is_connected = self.client_listener.connections() > 0
        is_moving = self.mover.handovers_in_progress > 0
        is_relaying = self.relay_server.busy_count() > 0
        return self.client_application.in_progress > 0 or is_connected or is_moving or is_relaying

    def _hooks(self) -> PeerHooks:
        """Return the callbacks from peering into components that are created after it."""
        return PeerHooks(
            view_revision=self.views.revision,
            view_text=self.views.text,
            on_view=self.views.receive_from_peer,
            store_contact=self.views.contact,
            upstream_id=self.views.upstreams.id_by_number,
            on_load=lambda load: self.shared_load.receive(load),
            all_running=lambda: self.shared_load.all_running(),
            on_gateway_gone=self._on_gateway_gone,
            paces=lambda: self.shared_load.paces(),
            on_paces=lambda paces: self.shared_load.merge_paces(paces),
            answer_placement=lambda ask, now: self.placement_responder.answer(ask, now),
            on_late_placement=lambda request: self.shared_load.give_up(request),
            on_work_pull=self.duties.work_pages,
            on_work_page=self.duties.receive,
            on_suspects=lambda update: self.quarantine.gossip.receive(update),
            on_leaving=lambda update: self.leaving_gossip.receive(update),
            on_limits=self._on_limits,
            on_permit_ask=self._on_permit_ask,
            on_permit_answer=lambda answer: self.limits.client.receive(answer),
            on_slots=lambda message, address: self.slots.receive(message, address),
            on_returns=lambda update: self.return_gossip.receive(update),
            on_origin=lambda update: self.stream_origins.receive(update),
            on_origin_ask=lambda ask: self.stream_origins.answer(ask),
            on_origin_answer=lambda answer: self.stream_origins.inquiries.receive(answer),
            on_ended=lambda update: self.ended_incarnations.receive(update),
            on_tick=self._on_tick,
            serve_relay=lambda request, channel, stream: self.relay_server.serve(
                request, channel, stream
            ),
            on_queue_counts=lambda update: self.queue_runner.receive(update),
        )

    def _on_permit_ask(self, ask: PermitAsk) -> PermitAnswer:
        limits = self.team_limits if self.team_limits.is_team_limit(ask) else self.limits
        return limits.answer(ask)

    def _on_limits(self, update: LimitNews) -> None:
        gossip = self.slots.gossip if update.on_rejections else self.limits.gossip
        gossip.receive(update)

    def _on_gateway_gone(self, name: str) -> None:
        self.slots.drop_gateway(name)
        self.shared_load.drop_sender(name)
        self.queue_runner.drop_gateway(name)

    def _log_pace_changes(self) -> None:
        for item in self.fleet.engine_paces.take_changes():
            steps, reading = round(item.step_slowness, 2), round(item.prefill_slowness, 2)
            self.log.note("upstream.pace", upstream=item.upstream, steps=steps, reading=reading)

    def _log_ejections(self) -> None:
        for change in self.fleet.ejections.take_changes():
            self.log.note(
                "upstream.ejected" if change.is_ejected else "upstream.readmitted",
                upstream=change.upstream,
                failures=round(change.failures, 1),
            )

    def _on_tick(self) -> None:
        for name, step in self._tick_steps.items():
            self.supervisor.call(name, step)

    def _has_full_model(self) -> bool:
        """Return whether the own model covers the requests that the whole fleet runs."""
        now = clocks.now()
        if not self._startup_phase.is_new(now):
            return True
        live_count = len(self.peers.membership.live())
        has_model = self.peers.model_sync.is_ready()
        return self._startup_phase.has_usable_model(
            live_count, self.registration.registered_count, has_model, now
        )

    def _possible_gateway_count(self) -> int:
        """Return the possible number of gateways, 0 until it has been read from the store.

        The live members alone are not enough: they may be a single hall that is partitioned from
        the others.
        """
        registered_count = self.registration.registered_count
        return max(registered_count, self.peers.count()) if registered_count else 0

    def _is_upstream_view_confirmed(self) -> bool:
        """Return whether the view of upstreams is as new as the store's, within some seconds."""
        seconds = self.views.seconds_unconfirmed(ViewKind.UPSTREAMS)
        return self.views.is_fresh() and (seconds or 0.0) < _MAX_UNCONFIRMED_SECONDS

    def _is_upstream_address(self, address: str) -> bool:
        return any(item.address == address for item in self.views.upstreams.all())

    def _service_named(self, name: str) -> Service | None:
        table = self.views.configuration.table
        return table.services.get(name) if table is not None else None

    def _service_of(self, upstream_id: str) -> Service | None:
        upstream = self.views.upstreams.find(upstream_id)
        return self._service_named(upstream.service) if upstream is not None else None

    def _max_idle_connections(self, upstream: Upstream) -> int:
        """Return this gateway's part, kept idle at most, of the connections an upstream accepts."""
        service = self._service_of(upstream.id)
        if service is None:
            return 0
        return idle_connection_limit(
            service.max_connections, self.peers.count(), upstream.id, self.settings.name
        )

    def _client_limits(self) -> ClientLimits:
        table = self.views.configuration.table
        return table.limits if table is not None else ClientLimits()

    def _on_suspension(self, seconds: float) -> None:
        """Treat connections and views from before a suspension as stale."""
        self.log.note("process.woke", suspended=round(seconds, 2))
        self.client_application.note_suspension(seconds)
        self.pool.close_idle()
        self.views.relist()

    def _on_configuration(self) -> None:
        table = self.views.configuration.table
        if table is not None:
            self.client_listener.set_idle_seconds(table.limits.idle_seconds)
            self.client_bounds.adapt(table.limits)
