"""Inheritance: from the levels of the tree to the values in force for one class."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from lotushill.contracts.exceptions import Fault
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.policy import Contract
from lotushill.contracts.policy import Policy

if TYPE_CHECKING:
    from lotushill.contracts.tree import Root
    from lotushill.contracts.tree import Team

BUILT_IN = Policy.model_validate(
    {
        "weight": 1.0,
        "deadline": 60.0,
        "refuse_early": False,
        "repeatable": True,
        "max_output_tokens": 1024,
        "limits": {"queued": 1000},
    }
)
"""Values in force where no level of the tree sets any."""


@dataclass(frozen=True)
class Origin:
    """A value in force and the level of the tree that it comes from."""

    path: str
    value: Any
    level: str


@dataclass(frozen=True)
class Level:
    """One level of the tree on the way from the root to a class."""

    name: str
    policy: Policy


def levels(root: Root, team: Team, service: str, klass: str) -> tuple[Level, ...]:
    """Return the levels that apply to a class, the weakest first."""
    branch = team.services[service]
    return (
        Level("built-in", BUILT_IN),
        Level("root", root.policy),
        Level(f"team {team.team}", team.policy),
        Level(f"service {service}", branch.policy),
        Level(f"class {klass}", branch.classes[klass].policy),
    )


def trace(root: Root, team: Team, service: str, klass: str) -> dict[str, Origin]:
    """Return every value in force for a class with the level that it comes from."""
    found: dict[str, Origin] = {}
    for level in levels(root, team, service, klass):
        for path, value in _set_values(level.policy):
            found[path] = Origin(path, value, level.name)
    return found


def resolve(root: Root, team: Team, service: str, klass: str) -> Contract:
    """Return the contract of a class; raise SettingsError where the levels leave a gap."""
    origins = trace(root, team, service, klass)
    values = {path: origin.value for path, origin in origins.items()}
    where = f"services.{service}.classes.{klass}.policy"
    faults = _gaps(root, values, where)
    if faults:
        raise SettingsError(f"team {team.team}", faults)
    branch = team.services[service]
    class_weight = branch.classes[klass].policy.weight or branch.policy.weight
    return Contract(
        team=team.team,
        service=service,
        klass=klass,
        pool=values["pool"],
        tier=values["tier"],
        tier_rank=root.tiers.index(values["tier"]),
        team_weight=team.policy.weight or root.policy.weight or 1.0,
        class_weight=class_weight or 1.0,
        deadline=values["deadline"],
        refuse_early=values["refuse_early"],
        repeatable=values["repeatable"],
        max_output_tokens=values["max_output_tokens"],
        first_token=values.get("target.first_token"),
        between_tokens=values.get("target.between_tokens"),
        whole=values.get("target.whole"),
        rate=values.get("limits.rate"),
        concurrency=values.get("limits.concurrency"),
        tokens=values.get("limits.tokens"),
        queued=values["limits.queued"],
    )


def _set_values(policy: Policy) -> list[tuple[str, Any]]:
    found: list[tuple[str, Any]] = []
    for name, value in policy.model_dump(exclude_none=True).items():
        if isinstance(value, dict):
            found.extend((f"{name}.{inner}", item) for inner, item in value.items())
        else:
            found.append((name, value))
    return found


def _gaps(root: Root, values: dict[str, Any], where: str) -> tuple[Fault, ...]:
    faults: list[Fault] = []
    pool = values.get("pool")
    if pool not in root.pools:
        known = ", ".join(sorted(root.pools)) or "none"
        faults.append(Fault(f"{where}.pool", repr(pool), f"names no pool of the root ({known})"))
    tier = values.get("tier")
    if tier not in root.tiers:
        known = ", ".join(root.tiers)
        faults.append(Fault(f"{where}.tier", repr(tier), f"names no tier of the root ({known})"))
    if values["refuse_early"] and "target.first_token" not in values:
        reason = "refuse_early needs target.first_token"
        faults.append(Fault(f"{where}.refuse_early", "True", reason))
    return tuple(faults)
