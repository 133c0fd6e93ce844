"""A gateway's copy of the settings tree as of a revision; a pure state machine.

The models of the tree are imported only once the store holds a tree: importing them takes as long
as a third of a gateway's start.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import xxhash

from lotushill.contracts.effective import resolve
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.names import ROOT_NAME
from lotushill.contracts.names import display_name

if TYPE_CHECKING:
    from lotushill.contracts.tree import Root
    from lotushill.contracts.tree import TeamSettings
    from lotushill.routing.route import Route
    from lotushill.routing.team import Team


class SettingsView:
    """The settings tree; without one, every value in force is the platform's.

    An object that is invalid keeps its last valid state, so that one faulty edit does not change
    the values in force.
    """

    def __init__(self) -> None:
        self.revision = -1
        """Store revision of the view; negative until the first revision is received."""
        self.faults: dict[str, SettingsError] = {}
        """Faults of invalid objects by their display name, the name that operators write."""
        self._objects: dict[str, Any] = {}
        self._root: Root | None = None
        """Root of the tree, None while the store contains none."""
        self._teams: dict[str, TeamSettings] = {}
        self._resolved: dict[tuple[str, str, str], Route] = {}

    @property
    def objects(self) -> dict[str, Any]:
        """Return the objects as they are in the store, by their stored name."""
        return self._objects

    @property
    def fingerprint(self) -> str:
        """Return a short hash, equal for equal objects."""
        text = json.dumps(self._objects, sort_keys=True)
        return xxhash.xxh32_hexdigest(text) if self._objects else "none"

    def replace(self, objects: dict[str, Any], revision: int) -> bool:
        """Replace all objects by those of a newer revision; return whether any object changed."""
        if revision <= self.revision:
            return False
        changed = objects != self._objects
        self.revision = revision
        self._objects = objects
        if changed:
            self._load(objects)
        return changed

    def route_for(self, route: Route, team: Team | None, service: str) -> Route:
        """Return a route with the values in force for a team's requests to a service."""
        key = (route.name, team.name if team else "", service)
        resolved = self._resolved.get(key)
        if resolved is None:
            settings = self._teams.get(team.name) if team else None
            resolved = resolve(self._root, settings, route, team, service)
            self._resolved[key] = resolved
        return resolved

    def clear_resolved_routes(self) -> None:
        """Clear the resolved routes after the platform's configuration has changed."""
        self._resolved = {}

    def _load(self, objects: dict[str, Any]) -> None:
        self.faults = {}
        self._resolved = {}
        previous_teams = self._teams
        self._teams = {}
        if ROOT_NAME not in objects:
            self._root = None
        for stored, data in objects.items():
            name = display_name(stored)
            try:
                self._load_object(name, data)
            except SettingsError as error:
                self.faults[name] = error
                self._keep_last_valid(name, previous_teams)

    def _load_object(self, name: str, data: Any) -> None:
        from lotushill.contracts.document import check
        from lotushill.contracts.tree import Root
        from lotushill.contracts.tree import TeamSettings

        if name == ROOT_NAME:
            self._root = check(Root, data, name)
            return
        team = check(TeamSettings, data, name)
        self._teams[team.team] = team

    def _keep_last_valid(self, name: str, previous_teams: dict[str, TeamSettings]) -> None:
        team = name.partition("/")[2]
        if team in previous_teams:
            self._teams[team] = previous_teams[team]
