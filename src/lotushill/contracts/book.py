"""The contracts in force: one generation of the tree, ready for look-up."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from lotushill.contracts.effective import resolve
from lotushill.contracts.exceptions import Fault
from lotushill.contracts.exceptions import SettingsError

if TYPE_CHECKING:
    from lotushill.contracts.policy import Contract
    from lotushill.contracts.tree import Pool
    from lotushill.contracts.tree import Root
    from lotushill.contracts.tree import Team

_KEY_PREFIX = "sha256:"


def hash_key(key: str) -> str:
    """Return the form in which a bearer key is kept in the tree."""
    return _KEY_PREFIX + hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


@dataclass(frozen=True)
class Book:
    """Every contract of one generation."""

    generation: int
    root: Root
    contracts: dict[tuple[str, str, str], Contract]
    """By team, service and class."""
    teams_by_key: dict[str, str] = field(repr=False, default_factory=dict)
    """Team names by the hash of a bearer key."""

    def find(self, team: str, service: str, klass: str) -> Contract | None:
        """Return the contract of a class, or None where the tree has no such class."""
        return self.contracts.get((team, service, klass))

    def pool(self, name: str) -> Pool:
        """Return a pool by name."""
        return self.root.pools[name]

    def authenticate(self, key: str) -> str | None:
        """Return the team that a bearer key names, or None.

        Only hashes are compared, so the time a comparison takes tells nothing of a key.
        """
        digest = hash_key(key)
        return self.teams_by_key.get(digest)


def build(generation: int, root: Root, teams: tuple[Team, ...]) -> Book:
    """Build the book of a generation; raise SettingsError for the first object at fault."""
    contracts: dict[tuple[str, str, str], Contract] = {}
    keys: dict[str, str] = {}
    for team in teams:
        contracts.update(build_team(root, team))
        _take_keys(team, keys)
    return Book(generation, root, contracts, keys)


def build_team(root: Root, team: Team) -> dict[tuple[str, str, str], Contract]:
    """Return the contracts of one team; raise SettingsError where a class has a gap."""
    found: dict[tuple[str, str, str], Contract] = {}
    faults: list[Fault] = []
    for service, branch in team.services.items():
        for klass in branch.classes:
            try:
                found[team.team, service, klass] = resolve(root, team, service, klass)
            except SettingsError as error:
                faults.extend(error.faults)
    if faults:
        raise SettingsError(f"team {team.team}", tuple(faults))
    return found


def _take_keys(team: Team, keys: dict[str, str]) -> None:
    for index, digest in enumerate(team.keys):
        other = keys.setdefault(digest, team.team)
        if other != team.team:
            fault = Fault(f"keys.{index}", digest[:20], f"this key already names team {other}")
            raise SettingsError(f"team {team.team}", (fault,))
