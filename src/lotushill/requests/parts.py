"""What the request path works with."""

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
    from lotushill.views.configuration_view import ConfigurationView
    from lotushill.views.upstream_view import UpstreamView


@dataclass
class GatewayParts:
    """Shared by all requests of one gateway."""

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
    work: RequestCounter
    log: EventLog
    metrics: Metrics
    rng: random.Random
    clock: Callable[[], float]
    """Goes on while the host is suspended."""
    suspension: SuspensionWatch
    view_is_fresh: Callable[[], bool]
    """Whether the store or a peer has lately confirmed what is known."""
    knows_holds: Callable[[], bool]
    """Whether it is known which requests are to reach no upstream."""
