"""What a gateway tells operators of itself: its status, and figures read when asked for."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from lotushill import clock as clocks
from lotushill.routing.team import team_number

if TYPE_CHECKING:
    from lotushill.availability.cooldowns import Cooldowns
    from lotushill.event_log import EventLog
    from lotushill.gateway.duties import FleetDuties
    from lotushill.gateway.fleet_quarantine import FleetQuarantine
    from lotushill.gateway.store_views import StoreViews
    from lotushill.limits.fleet_limits import FleetLimits
    from lotushill.limits.team_limits import TeamLimits
    from lotushill.peering.peers import Peers
    from lotushill.placement.fleet import Fleet
    from lotushill.platform.object_store import ObjectStore
    from lotushill.process.metrics import Metrics
    from lotushill.process.settings import GatewaySettings
    from lotushill.process.side_tasks import SideTasks
    from lotushill.requests.client_application import ClientApplication
    from lotushill.requests.mover import Mover
    from lotushill.requests.upstream_gate import UpstreamGate
    from lotushill.requests.upstream_pool import UpstreamPool
    from lotushill.scheduling.queue_runner import QueueRunner


class ReportedGateway(Protocol):
    """The parts of a gateway of which it tells."""

    settings: GatewaySettings
    metrics: Metrics
    log: EventLog
    duties: FleetDuties
    store: ObjectStore
    views: StoreViews
    peers: Peers
    cooldowns: Cooldowns
    limits: FleetLimits
    team_limits: TeamLimits
    fleet: Fleet
    upstream_gate: UpstreamGate
    pool: UpstreamPool
    mover: Mover
    quarantine: FleetQuarantine
    side_tasks: SideTasks
    client_application: ClientApplication
    queue_runner: QueueRunner

    def is_ready(self) -> bool:
        """Return whether clients may be sent here."""


def add_gauges(gateway: ReportedGateway) -> None:
    """Serve the figures that are read when asked for."""
    gauge = gateway.metrics.add_gauge
    gauge("in_progress", "Requests in progress", lambda: gateway.client_application.in_progress)
    gauge("store_calls", "Calls to the store so far", lambda: gateway.store.calls)
    gauge("peer_bytes", "Bytes of datagrams sent so far", lambda: gateway.peers.bytes_sent)
    gauge("members", "Gateways that are heard", lambda: len(gateway.peers.membership.live()))
    gauge(
        "schedules",
        "1 on one that places by its own model",
        lambda: float(gateway.peers.schedulers.is_scheduler()),
    )
    gauge("unanswered_asks", "Asks without an answer", lambda: gateway.peers.client.unanswered)
    line = gateway.queue_runner.queue
    gauge("waiting", "Requests that wait here for room", lambda: len(line.requests))
    gauge("waiting_bytes", "Bytes of these, as reckoned", lambda: line.requests.bytes)
    gauge("waiting_held", "Requests that had to wait here so far", lambda: line.held)
    gauge("waiting_placed", "Of these, placed so far", lambda: line.placed)
    gauge("waiting_given_up", "Of these, refused so far", lambda: line.given_up)
    gauge(
        "waiting_full", "Requests that found the waiting room full", lambda: line.requests.overflows
    )
    gauge(
        "waiting_elsewhere",
        "Requests of this gateway that wait at schedulers",
        lambda: gateway.peers.client.waiting,
    )
    gauge("upstreams", "Upstreams that are known", lambda: len(gateway.views.upstreams.all()))
    gauge(
        "entries_ignored",
        "Entries of upstreams that cannot be read",
        lambda: len(gateway.views.upstream_faults.current),
    )
    gauge(
        "entry_faults",
        "Entries of upstreams that could not be read, so far",
        lambda: gateway.views.upstream_faults.total_count,
    )
    gauge(
        "requests_held",
        "Requests that are kept from upstreams, by caller, path and body",
        lambda: len(gateway.quarantine.held_identities()),
    )
    gauge(
        "requests_suspected",
        "Requests under which upstreams ended",
        lambda: len(gateway.quarantine.suspects),
    )
    gauge(
        "groups_isolated",
        "Groups of requests that run apart, since upstreams end under them",
        lambda: len(gateway.quarantine.isolated_groups()),
    )
    gauge(
        "kept_back",
        "Arrivals kept from upstreams so far",
        lambda: gateway.quarantine.gossip.held_count,
    )
    gauge(
        "upstream_ends",
        "Ends of upstreams under requests of this gateway so far, once for each request",
        lambda: gateway.quarantine.gossip.upstream_failures,
    )
    gauge(
        "rests_asked",
        "Rests that upstreams asked for so far",
        lambda: gateway.cooldowns.requested_count,
    )
    gauge(
        "upstreams_resting",
        "Upstreams that want nothing from this gateway now",
        lambda: len(gateway.cooldowns.barred(clocks.now())),
    )
    gauge(
        "sends_barred",
        "Requests kept from upstreams that were chosen and want none, so far",
        lambda: gateway.upstream_gate.blocked_sends,
    )
    gauge(
        "rests_unreadable",
        "Wishes for rest that could not be read so far",
        lambda: gateway.upstream_gate.unreadable_cooldowns,
    )
    gauge(
        "upstreams_limited",
        "Upstreams that name a limit for all gateways together",
        lambda: len(gateway.limits.stated.limited_rates()),
    )
    gauge(
        "sends_unpermitted",
        "Requests for which there was no permit at the upstream that was chosen, so far",
        lambda: gateway.upstream_gate.requests_without_permit,
    )
    gauge(
        "permits_denied",
        "Permits that this gateway denied for upstreams that it counts for, so far",
        lambda: gateway.limits.denied,
    )
    gauge(
        "permits_unanswered",
        "Permits that were asked for and not answered, so far",
        lambda: gateway.limits.client.unanswered,
    )
    gauge(
        "limits_unreadable",
        "Limits that could not be read so far",
        lambda: gateway.upstream_gate.unreadable_limits,
    )
    returns = gateway.fleet.shedding.returns
    gauge("places_kept", "Callers that were promised a place and are awaited", lambda: len(returns))
    gauge("places_promised", "Places promised here so far", lambda: returns.made)
    gauge("returns_placed", "Returns placed here as promised so far", lambda: returns.kept)
    gauge("returns_early", "Asks of returns before their time so far", lambda: returns.early)
    gauge("moves_under_way", "Handovers of runs now", lambda: gateway.mover.handovers_in_progress)
    gauge(
        "teams_over_share",
        "Services and tiers with a team that others go before where there is too little room",
        lambda: len(gateway.fleet.shares.teams_over_share(clocks.now())),
    )
    gauge(
        "team_limit_held_back",
        "Times that a request was kept back by the limit of its team, so far",
        lambda: gateway.team_limits.delayed_count,
    )
    gauge(
        "waiting_for_start",
        "Requests that wait until this gateway is ready",
        lambda: gateway.client_application.waiting_until_ready,
    )
    gauge(
        "upstreams_uneven",
        "Upstreams that are slower or faster than their like for good, as far as is known here",
        lambda: len(gateway.fleet.engine_paces.deviating_paces()),
    )
    gauge("connections_opened", "Connections to upstreams", lambda: gateway.pool.opened)
    gauge("task_faults", "Faults beside the request path", lambda: gateway.side_tasks.failure_count)
    gauge("log_lines_left_out", "Lines over the rate", lambda: gateway.log.total_left_out)
    gauge(
        "configuration_revision",
        "Revision of the configuration in force",
        lambda: gateway.views.configuration.revision,
    )


def status(gateway: ReportedGateway) -> dict[str, object]:
    """Return what one gateway knows and does, as plain data."""
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
            "paces": {
                item.upstream: [round(item.step_slowness, 2), round(item.read_slowness, 2)]
                for item in gateway.fleet.engine_paces.deviating_paces()
            },
        },
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
        "isolated_groups": [
            f"{group.label} ({group.service})" for group in gateway.quarantine.isolated_groups()
        ],
        "places_kept": len(gateway.fleet.shedding.returns),
        "moves": gateway.mover.status(),
        "in_progress": gateway.client_application.in_progress,
        "store_calls": gateway.store.calls,
        "connections_opened": gateway.pool.opened,
        "peer_bytes": gateway.peers.bytes_sent,
        "waiting": _waiting(gateway.queue_runner),
        "duties": gateway.duties.status(),
    }


def _over_share(gateway: ReportedGateway) -> list[dict[str, object]]:
    """Return the teams that others go before while a service has too little room."""
    table = gateway.views.configuration.table
    names = {team_number(item.name): item.name for item in table.teams} if table else {}
    return [
        {**asdict(item), "team": names.get(item.team, str(item.team))}
        for item in gateway.fleet.shares.teams_over_share(clocks.now())
    ]


def _waiting(keeper: QueueRunner) -> dict[str, object]:
    room = keeper.queue.requests
    return {
        "tiers": {name: room.tiers(name) for name in room.services()},
        "held": keeper.queue.held,
        "placed": keeper.queue.placed,
        "given_up": keeper.queue.given_up,
        "found_full": room.overflows,
    }


def _member(member: Any) -> dict[str, object]:
    return {"name": member.name, "hall": member.hall, "phase": member.phase.value}
