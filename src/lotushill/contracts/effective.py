"""Resolves the values in force: the platform's route, overridden by the levels of the tree."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from lotushill.routing.rate_limit import RateLimit
from lotushill.routing.urgency import DEFAULT_TEAM_RANK
from lotushill.routing.urgency import LAST_TEAM_RANK
from lotushill.routing.urgency import Urgency

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lotushill.contracts.policy import Policy
    from lotushill.contracts.tree import Root
    from lotushill.contracts.tree import Service
    from lotushill.contracts.tree import TeamSettings
    from lotushill.routing.route import Route
    from lotushill.routing.team import Team

PLATFORM = "platform"
"""Name of the level below the tree: the configuration that the platform distributes."""


@dataclass(frozen=True)
class Origin:
    """A value in force and the level that sets it."""

    path: str
    value: Any
    level: str


@dataclass(frozen=True)
class Level:
    """One level of the tree on the path from the root to a class."""

    name: str
    policy: Policy


def levels(
    root: Root | None, settings: TeamSettings | None, service: str, klass: str
) -> tuple[Level, ...]:
    """Return the levels of the tree that apply to a class, in ascending order of precedence."""
    applicable: list[Level] = []
    if root is not None:
        applicable.append(Level("root", root.policy))
        applicable += _service_levels("root", root.services.get(service), service, klass)
    if settings is not None:
        name = f"team {settings.team}"
        applicable.append(Level(name, settings.policy))
        applicable += _service_levels(name, settings.services.get(service), service, klass)
    return tuple(applicable)


def trace(
    root: Root | None, settings: TeamSettings | None, route: Route, team: Team | None, service: str
) -> dict[str, Origin]:
    """Return every value in force for a route by its path, with the level that sets it."""
    origins = {path: Origin(path, value, PLATFORM) for path, value in _platform_values(route)}
    for level in levels(root, settings, service, route.name):
        for path, value in _set_values(level.policy):
            origins[path] = Origin(path, value, level.name)
    return origins


def resolve(
    root: Root | None, settings: TeamSettings | None, route: Route, team: Team | None, service: str
) -> Route:
    """Return a route with the values that are in force for one team's requests.

    Whether and how often a request may be retried is only ever restricted: the tree cannot allow
    what the platform's configuration forbids. A team's priority orders requests within a tier and
    never across tiers: engines would preempt urgent streams while another team's long prompts
    continue to run.
    """
    origins = trace(root, settings, route, team, service)
    values = {path: origin.value for path, origin in origins.items()}
    return replace(
        route,
        urgency=Urgency(values["tier"], _team_rank(team)),
        timeout=values["deadline"],
        target=values["target.first"],
        target_gap=values["target.gap"],
        may_repeat=route.may_repeat and values["repeatable"],
        share=values["share"],
        limit=_rate_limit(origins["limit.rate"], team),
        max_attempts=min(route.max_attempts, values["max_attempts"]),
    )


def _service_levels(parent: str, service: Service | None, name: str, klass: str) -> Iterator[Level]:
    if service is None:
        return
    yield Level(f"{parent}, service {name}", service.policy)
    if klass in service.classes:
        yield Level(f"{parent}, service {name}, class {klass}", service.classes[klass].policy)


def _team_rank(team: Team | None) -> int:
    if team is None or team.priority is None:
        return DEFAULT_TEAM_RANK
    return min(LAST_TEAM_RANK, max(0, team.priority))


def _rate_limit(origin: Origin, team: Team | None) -> RateLimit | None:
    """Return a team's limit; all requests below the level that sets it count together."""
    if origin.value is None:
        return None
    name = team.name if team else ""
    return RateLimit(f"{name}, {origin.level}", origin.value)


def _platform_values(route: Route) -> list[tuple[str, Any]]:
    return [
        ("tier", route.urgency.tier),
        ("deadline", route.timeout),
        ("repeatable", route.may_repeat),
        ("max_attempts", route.max_attempts),
        ("target.first", route.target),
        ("target.gap", route.target_gap),
        ("share", route.share),
        ("limit.rate", route.limit.rate if route.limit else None),
    ]


def _set_values(policy: Policy) -> list[tuple[str, Any]]:
    values: list[tuple[str, Any]] = []
    for name, value in policy.model_dump(exclude_none=True).items():
        if isinstance(value, dict):
            values.extend((f"{name}.{inner}", item) for inner, item in value.items())
        else:
            values.append((name, value))
    return values
