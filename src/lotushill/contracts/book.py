"""The contracts in force: one generation of the tree, ready for look-up."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from lotushill.contracts.effective import resolve
from lotushill.contracts.exceptions import Fault
from lotushill.contracts.exceptions import SettingsError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.contracts.policy import Contract
    from lotushill.contracts.tree import Pool
    from lotushill.contracts.tree import Root
    from lotushill.contracts.tree import Team

_KEY_PREFIX = "sha256:"


def hash_key(key: str) -> str:
    """Return the form in which a bearer key is kept in the tree."""
    return _KEY_PREFIX + hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


ClassName = tuple[str, str]
"""Service and class."""


@dataclass(frozen=True)
class TeamContracts:
    """The contracts of one team by service and class, and the hashes of its keys."""

    team: str
    contracts: dict[ClassName, Contract]
    keys: tuple[str, ...]


@dataclass(frozen=True)
class Book:
    """Every contract of one generation."""

    generation: int
    root: Root
    teams: dict[str, TeamContracts]
    teams_by_key: dict[str, str] = field(repr=False)
    """Team names by the hash of a bearer key."""

    def find(self, team: str, service: str, klass: str) -> Contract | None:
        """Return the contract of a class, or None where the tree has no such class."""
        held = self.teams.get(team)
        return held.contracts.get((service, klass)) if held else None

    def pool(self, name: str) -> Pool:
        """Return a pool by name."""
        return self.root.pools[name]

    def authenticate(self, key: str) -> str | None:
        """Return the team that a bearer key names, or None.

        What is compared is a hash of what the caller sent, so that the time it takes tells
        nothing of the keys themselves; the hit is confirmed in constant time all the same.
        """
        digest = hash_key(key)
        team = self.teams_by_key.get(digest)
        if team is None:
            return None
        known = self.teams[team].keys
        return team if any(hmac.compare_digest(digest, item) for item in known) else None


def build(generation: int, root: Root, teams: Iterable[TeamContracts]) -> Book:
    """Put teams together as one generation; raise SettingsError if two teams share a key."""
    held = {team.team: team for team in teams}
    keys: dict[str, str] = {}
    for team in held.values():
        take_keys(team, keys)
    return Book(generation, root, held, keys)


def build_team(root: Root, team: Team) -> TeamContracts:
    """Return the contracts of one team; raise SettingsError where a class has a gap."""
    found: dict[ClassName, Contract] = {}
    faults: list[Fault] = []
    for service, branch in team.services.items():
        for klass in branch.classes:
            try:
                found[service, klass] = resolve(root, team, service, klass)
            except SettingsError as error:
                faults.extend(error.faults)
    if faults:
        raise SettingsError(f"team {team.team}", tuple(faults))
    return TeamContracts(team.team, found, team.keys)


def take_keys(team: TeamContracts, keys: dict[str, str]) -> None:
    """Add a team's keys to those taken; raise SettingsError for one that names another team."""
    for index, digest in enumerate(team.keys):
        other = keys.setdefault(digest, team.team)
        if other != team.team:
            fault = Fault(f"keys.{index}", digest[:20], f"this key already names team {other}")
            raise SettingsError(f"team {team.team}", (fault,))
