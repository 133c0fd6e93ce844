"""Status report of a gateway for operators, and its gauges."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from lotushill import clock as clocks
from lotushill.clients.bounds import Bound
from lotushill.gateway.store_views import ESSENTIAL_KINDS
from lotushill.links.messages import ViewKind
from lotushill.routing.team import team_number

if TYPE_CHECKING:
    from lotushill.availability.cooldowns import Cooldowns
    from lotushill.clients.bounds import ClientBounds
    from lotushill.event_log import EventLog
    from lotushill.gateway.duties import FleetDuties
    from lotushill.gateway.fleet_quarantine import FleetQuarantine
    from lotushill.gateway.store_views import StoreViews
    from lotushill.limits.fleet_limits import FleetLimits
    from lotushill.limits.fleet_slots import FleetSlots
    from lotushill.limits.team_limits import TeamLimits
    from lotushill.links.binder import Binder
    from lotushill.peering.peers import Peers
    from lotushill.placement.fleet import Fleet
    from lotushill.platform.object_store import ObjectStore
    from lotushill.process.metrics import Metrics
    from lotushill.process.settings import GatewaySettings
    from lotushill.process.supervisor import Supervisor
    from lotushill.relaying.relay_server import RelayServer
    from lotushill.requests.client_application import ClientApplication
    from lotushill.requests.mover import Mover
    from lotushill.requests.unread_limit import UnreadLimit
    from lotushill.requests.upstream_dialer import UpstreamDialer
    from lotushill.requests.upstream_gate import UpstreamGate
    from lotushill.requests.upstream_pool import UpstreamPool
    from lotushill.scheduling.queue_runner import QueueRunner
    from lotushill.versions.stream_origins import StreamOrigins


class ReportedGateway(Protocol):
    """The components of a gateway that its status and gauges are read from."""

    settings: GatewaySettings
    metrics: Metrics
    log: EventLog
    duties: FleetDuties
    store: ObjectStore
    views: StoreViews
    peers: Peers
    cooldowns: Cooldowns
    limits: FleetLimits
    slots: FleetSlots
    team_limits: TeamLimits
    fleet: Fleet
    upstream_gate: UpstreamGate
    pool: UpstreamPool
    dialer: UpstreamDialer
    relay_server: RelayServer
    mover: Mover
    stream_origins: StreamOrigins
    quarantine: FleetQuarantine
    unread_limit: UnreadLimit
    binder: Binder
    supervisor: Supervisor
    client_application: ClientApplication
    client_bounds: ClientBounds
    status_bounds: ClientBounds
    queue_runner: QueueRunner

    def is_ready(self) -> bool:
        """Return whether the load balancer may send clients to this gateway."""


def add_gauges(gateway: ReportedGateway) -> None:
    """Add the gauges, which are read at each scrape."""
    add_gauge = gateway.metrics.add_gauge
    add_gauge("in_progress", "Requests in progress", lambda: gateway.client_application.in_progress)
    add_gauge(
        "store_calls", "Calls to the store since the start", lambda: gateway.store.client.calls
    )
    add_gauge(
        "peer_bytes",
        "Bytes of datagrams sent to peers since the start",
        lambda: gateway.peers.bytes_sent,
    )
    gateway.metrics.add_gauge_by(
        "streams",
        "Streams that have begun and not ended, by the software version of their upstreams",
        "version",
        lambda: gateway.stream_origins.running,
    )
    add_gauge(
        "stream_origins",
        "Streams whose version this gateway knows",
        lambda: len(gateway.stream_origins.records),
    )
    add_gauge(
        "streams_unknown",
        "Streams that were refused since the start, as nobody knew their version",
        lambda: gateway.stream_origins.unknown,
    )
    add_gauge("members", "Gateways that are alive", lambda: len(gateway.peers.membership.live()))
    add_gauge(
        "schedules",
        "1 if this gateway is a scheduler, which places by its own model",
        lambda: float(gateway.peers.schedulers.is_scheduler()),
    )
    add_gauge(
        "unanswered_asks",
        "Placement queries that were not answered",
        lambda: gateway.peers.client.unanswered,
    )
    admission_queue = gateway.queue_runner.queue
    add_gauge(
        "waiting",
        "Entries in the admission queue of this gateway",
        lambda: len(admission_queue.requests),
    )
    add_gauge(
        "waiting_bytes", "Estimated bytes of these entries", lambda: admission_queue.requests.bytes
    )
    add_gauge("waiting_held", "Requests queued here since the start", lambda: admission_queue.held)
    add_gauge(
        "waiting_placed",
        "Queued requests that were placed, since the start",
        lambda: admission_queue.placed,
    )
    add_gauge(
        "waiting_given_up",
        "Queued requests that were refused, since the start",
        lambda: admission_queue.given_up,
    )
    add_gauge(
        "waiting_full",
        "Requests that arrived while the admission queue was full",
        lambda: admission_queue.requests.overflows,
    )
    add_gauge(
        "waiting_elsewhere",
        "Requests of this gateway that are queued at schedulers",
        lambda: gateway.peers.client.waiting,
    )
    add_gauge("upstreams", "Known upstreams", lambda: len(gateway.views.upstreams.all()))
    add_gauge(
        "entries_ignored",
        "Entries of upstreams that are ignored because they cannot be parsed",
        lambda: len(gateway.views.upstream_faults.current),
    )
    add_gauge(
        "entry_faults",
        "Entries of upstreams that could not be parsed, since the start",
        lambda: gateway.views.upstream_faults.total_count,
    )
    add_gauge(
        "requests_held",
        "Requests, by caller, path and body, and parts of prompts that are held",
        lambda: len(gateway.quarantine.held_identities()),
    )
    add_gauge(
        "requests_suspected",
        "Requests and parts of prompts during which upstreams failed",
        lambda: len(gateway.quarantine.suspects),
    )
    add_gauge(
        "groups_isolated",
        "Groups of requests that are isolated because upstreams failed during them",
        lambda: len(gateway.quarantine.isolated_groups()),
    )
    add_gauge(
        "kept_back",
        "Arrivals of held requests that were sent to no upstream, since the start",
        lambda: gateway.quarantine.gossip.held_count,
    )
    add_gauge(
        "upstream_ends",
        "Upstream failures during requests of this gateway since the start, one for each request",
        lambda: gateway.quarantine.gossip.upstream_failures,
    )
    add_gauge(
        "connections_closed_unread",
        "Client connections closed unread since the start, as they had waited too long",
        lambda: gateway.unread_limit.closed_count,
    )
    add_gauge(
        "rests_asked",
        "Cooldowns that upstreams requested, since the start",
        lambda: gateway.cooldowns.requested_count,
    )
    add_gauge(
        "upstreams_resting",
        "Upstreams that currently accept no requests from this gateway",
        lambda: len(gateway.cooldowns.barred(clocks.now())),
    )
    add_gauge(
        "sends_barred",
        "Requests not sent because the chosen upstream accepts none, since the start",
        lambda: gateway.upstream_gate.blocked_sends,
    )
    add_gauge(
        "rests_unreadable",
        "Cooldown requests that could not be parsed, since the start",
        lambda: gateway.upstream_gate.unreadable_cooldowns,
    )
    add_gauge(
        "upstreams_limited",
        "Upstreams that state a limit for all gateways together",
        lambda: len(gateway.limits.stated.limited_rates()),
    )
    add_gauge(
        "sends_unpermitted",
        "Requests that got no permit for the chosen upstream, since the start",
        lambda: gateway.upstream_gate.requests_without_permit,
    )
    add_gauge(
        "permits_denied",
        "Permits that this gateway denied as the limit owner of an upstream, since the start",
        lambda: gateway.limits.denied,
    )
    add_gauge(
        "permits_unanswered",
        "Permit requests that were not answered, since the start",
        lambda: gateway.limits.client.unanswered,
    )
    add_gauge(
        "brittle_services",
        "Services whose upstreams state that they fall over if they reject many requests",
        lambda: len(gateway.fleet.brittle.services()),
    )
    add_gauge(
        "slots_denied",
        "Slots of brittle upstreams that this gateway denied as their owner, since the start",
        lambda: gateway.slots.owner.denied,
    )
    add_gauge(
        "slots_unanswered",
        "Requests for a slot of a brittle upstream that were not answered, since the start",
        lambda: gateway.slots.unanswered,
    )
    add_gauge(
        "limits_unreadable",
        "Limits that could not be parsed, since the start",
        lambda: gateway.upstream_gate.unreadable_limits,
    )
    returns = gateway.fleet.shedding.returns
    add_gauge(
        "places_kept", "Callers that hold a promise and have not returned yet", lambda: len(returns)
    )
    add_gauge(
        "places_promised", "Promises made here since the start", lambda: returns.promised_count
    )
    add_gauge(
        "returns_placed",
        "Returned requests placed here as promised, since the start",
        lambda: returns.placed_count,
    )
    add_gauge(
        "returns_early",
        "Requests of returning callers before their retry time, since the start",
        lambda: returns.early_count,
    )
    add_gauge(
        "moves_under_way",
        "Handovers of runs in progress",
        lambda: gateway.mover.handovers_in_progress,
    )
    add_gauge(
        "teams_over_share",
        "Services and tiers with a team over its share, which yields to others under overload",
        lambda: len(gateway.fleet.shares.teams_over_share(clocks.now())),
    )
    add_gauge(
        "team_limit_held_back",
        "Times that a request was delayed by the limit of its team, since the start",
        lambda: gateway.team_limits.delayed_count,
    )
    add_gauge(
        "waiting_for_start",
        "Requests that wait until this gateway is ready to serve",
        lambda: gateway.client_application.waiting_until_ready,
    )
    add_gauge(
        "upstreams_uneven",
        "Upstreams whose long-term pace, as known here, differs from the median of their service",
        lambda: len(gateway.fleet.engine_paces.deviating_paces()),
    )
    add_gauge(
        "connections_opened",
        "Connections to upstreams opened since the start",
        lambda: gateway.pool.opened,
    )
    add_gauge(
        "partitioned_upstreams",
        "Upstreams that other gateways reach and this one does not",
        lambda: gateway.dialer.reachability.partitioned_count,
    )
    add_gauge(
        "partitioned_from_all",
        "Whether this gateway reaches no upstream itself",
        lambda: gateway.dialer.reachability.is_partitioned_from_all,
    )
    add_gauge(
        "connections_through_others",
        "Connections to upstreams opened through other gateways since the start",
        lambda: gateway.dialer.opened["relayed"],
    )
    add_gauge(
        "connections_for_others",
        "Connections to upstreams open on behalf of other gateways",
        lambda: gateway.relay_server.open_count,
    )
    add_gauge(
        "peer_connections_dropped",
        "Connections of peers dropped for invalid frames since the start",
        lambda: gateway.peers.links.dropped,
    )
    add_gauge(
        "peer_messages_unreadable",
        "Messages of peers skipped since this version does not know them",
        lambda: gateway.peers.links.unreadable,
    )
    add_gauge(
        "addresses_unavailable",
        "Addresses of this gateway that are taken or not there yet",
        lambda: len(gateway.binder.unavailable),
    )
    add_gauge(
        "task_faults",
        "Exceptions in tasks, connections and callbacks since the start",
        lambda: gateway.supervisor.failures.total(),
    )
    gateway.metrics.add_gauge_by(
        "task_faults_by_task",
        "Exceptions since the start, by the task in which they were raised",
        "task",
        lambda: gateway.supervisor.failures,
    )
    add_gauge(
        "log_lines_left_out",
        "Log lines dropped by the rate limit",
        lambda: gateway.log.total_left_out,
    )
    add_gauge(
        "view_unconfirmed_seconds",
        "Longest time for which the store has not confirmed the configuration or the upstreams, if "
        "this gateway reads them there",
        lambda: max(gateway.views.seconds_unconfirmed(kind) or 0.0 for kind in ESSENTIAL_KINDS),
    )
    add_gauge(
        "view_behind_seconds",
        "Longest time for which another gateway has been known to have a newer view",
        lambda: max(gateway.peers.seconds_behind(kind) for kind in ViewKind),
    )
    add_gauge(
        "upstreams_ejected",
        "Upstreams that get no request but probes, as they answer nothing but failures",
        lambda: len(gateway.fleet.ejections.ejected()),
    )
    add_gauge(
        "client_memory_bytes",
        "Memory held for clients: heads, bodies, requests sent ahead and answers not taken",
        lambda: gateway.client_bounds.memory.used,
    )
    add_gauge(
        "client_memory_limit_bytes",
        "Memory that is held for clients at most",
        lambda: gateway.client_bounds.memory.limit,
    )
    add_gauge(
        "client_connections",
        "Open connections of clients",
        lambda: len(gateway.client_bounds.connections),
    )
    add_gauge(
        "client_connections_limit",
        "Connections that clients may have open",
        lambda: gateway.client_bounds.connections.limit,
    )
    gateway.metrics.add_gauge_by(
        "clients_bounded",
        "Times since the start that clients met a bound, by bound",
        "bound",
        lambda: {
            bound.value: gateway.client_bounds.reached[bound] + gateway.status_bounds.reached[bound]
            for bound in Bound
        },
    )
    add_gauge(
        "configuration_revision",
        "Revision of the configuration in force",
        lambda: gateway.views.configuration.revision,
    )


def status(gateway: ReportedGateway) -> dict[str, object]:
    """Return the status of one gateway as plain data."""
    table = gateway.views.configuration.table
    return {
        "name": gateway.settings.name,
        "ready": gateway.is_ready(),
        "configuration": {
            "revision": gateway.views.configuration.revision,
            "version": table.version if table else None,
        },
        "upstreams": {
            "revision": gateway.views.upstreams.revision,
            "known": [asdict(item) for item in gateway.views.upstreams.all()],
            "ignored": dict(gateway.views.upstream_faults.current),
            "resting": sorted(gateway.cooldowns.barred(clocks.now())),
            "limited": gateway.limits.stated.limited_rates(),
            "ejected": gateway.fleet.ejections.ejected(),
            "paces": {
                item.upstream: [round(item.step_slowness, 2), round(item.prefill_slowness, 2)]
                for item in gateway.fleet.engine_paces.deviating_paces()
            },
        },
        "views": {kind.value: _view(gateway, kind) for kind in ViewKind},
        "over_share": _over_share(gateway),
        "settings": {
            "revision": gateway.views.settings.revision,
            "in_force": gateway.views.settings.fingerprint,
            "faults": {name: str(fault) for name, fault in gateway.views.settings.faults.items()},
        },
        "members": [_member(item) for item in gateway.peers.membership.all()],
        "held_requests": {
            item.hex(): gateway.quarantine.suspects.failure_count(item)
            for item in gateway.quarantine.held_identities()
        },
        "held_parts": gateway.quarantine.held_parts(),
        "isolated_groups": [
            f"{group.label} ({group.service})" for group in gateway.quarantine.isolated_groups()
        ],
        "places_kept": len(gateway.fleet.shedding.returns),
        "moves": gateway.mover.status(),
        "streams": gateway.stream_origins.status(),
        "relays": _relays(gateway),
        "in_progress": gateway.client_application.in_progress,
        "store_calls": gateway.store.client.calls,
        "connections_opened": gateway.pool.opened,
        "peer_bytes": gateway.peers.bytes_sent,
        "waiting": _waiting(gateway.queue_runner),
        "duties": gateway.duties.status(),
    }


def _relays(gateway: ReportedGateway) -> dict[str, object]:
    """Return whether upstreams are reached through other gateways, and what is done for others."""
    reachability = gateway.dialer.reachability
    return {
        "partitioned_upstreams": reachability.partitioned_count,
        "partitioned_seconds": round(reachability.partitioned_seconds(clocks.now()), 3),
        "opened": dict(gateway.dialer.opened),
        "open_for_others": gateway.relay_server.open_count,
        "answers_to_others": {
            outcome.value: count for outcome, count in gateway.relay_server.answers.items()
        },
    }


def _view(gateway: ReportedGateway, kind: ViewKind) -> dict[str, object]:
    """Return the revision of a view in force and how old it is."""
    unconfirmed = gateway.views.seconds_unconfirmed(kind)
    return {
        "revision": gateway.views.revision(kind),
        "unconfirmed_seconds": None if unconfirmed is None else round(unconfirmed, 3),
        "behind_seconds": round(gateway.peers.seconds_behind(kind), 3),
    }


def _over_share(gateway: ReportedGateway) -> list[dict[str, object]]:
    """Return the teams over their share, which yield to others while a service is overloaded."""
    table = gateway.views.configuration.table
    names = {team_number(item.name): item.name for item in table.teams} if table else {}
    return [
        {**asdict(item), "team": names.get(item.team, str(item.team))}
        for item in gateway.fleet.shares.teams_over_share(clocks.now())
    ]


def _waiting(runner: QueueRunner) -> dict[str, object]:
    entries = runner.queue.requests
    return {
        "tiers": {name: entries.tiers(name) for name in entries.services()},
        "held": runner.queue.held,
        "placed": runner.queue.placed,
        "given_up": runner.queue.given_up,
        "found_full": entries.overflows,
    }


def _member(member: Any) -> dict[str, object]:
    return {"name": member.name, "hall": member.hall, "phase": member.phase.value}
