"""Components of a gateway that the request path uses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.contracts.settings_view import SettingsView
    from lotushill.duties.request_counter import RequestCounter
    from lotushill.event_log import EventLog
    from lotushill.limits.fleet_limits import FleetLimits
    from lotushill.limits.team_limits import TeamLimits
    from lotushill.peering.quarantine_gossip import QuarantineGossip
    from lotushill.placement.fleet import Fleet
    from lotushill.process.metrics import Metrics
    from lotushill.process.suspension import SuspensionWatch
    from lotushill.requests.isolation_policy import IsolationPolicy
    from lotushill.requests.mover import Mover
    from lotushill.requests.retry_budgets import RetryBudgets
    from lotushill.requests.upstream_gate import UpstreamGate
    from lotushill.requests.upstream_pool import UpstreamPool
    from lotushill.scheduling.placer import Placer
    from lotushill.scheduling.shared_load import SharedLoad
    from lotushill.versions.ended_incarnations import EndedIncarnations
    from lotushill.versions.stream_origins import StreamOrigins
    from lotushill.views.configuration_view import ConfigurationView
    from lotushill.views.upstream_view import UpstreamView


@dataclass
class GatewayComponents:
    """Components that all requests of one gateway share."""

    name: str
    configuration: ConfigurationView
    upstreams: UpstreamView
    settings: SettingsView
    fleet: Fleet
    shared_load: SharedLoad
    placer: Placer
    pool: UpstreamPool
    gate: UpstreamGate
    limits: FleetLimits
    team_limits: TeamLimits
    isolation_policy: IsolationPolicy
    mover: Mover
    budgets: RetryBudgets
    quarantine: QuarantineGossip
    stream_origins: StreamOrigins
    ended_incarnations: EndedIncarnations
    work: RequestCounter
    log: EventLog
    metrics: Metrics
    rng: random.Random
    clock: Callable[[], float]
    """Returns seconds; continues while the host is suspended."""
    suspension: SuspensionWatch
    view_is_fresh: Callable[[], bool]
    """Returns whether the store or a peer has recently confirmed the views."""
    holds_are_known: Callable[[], bool]
    """Returns whether the list of held requests, which reach no upstream, is known."""
