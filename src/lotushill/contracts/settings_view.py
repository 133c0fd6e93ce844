"""The settings tree as a gateway holds it, as of a revision; a pure state machine.

The models of the tree are loaded when there is one: they take as long as a third of a start.
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
    """The tree; without one, every value is the platform's.

    An object that cannot be read keeps its last good state, so that one faulty edit changes
    nothing of what is in force.
    """

    def __init__(self) -> None:
        self.revision = -1
        """The store's revision that the view stands at; below 0 while nothing is known."""
        self.faults: dict[str, SettingsError] = {}
        """What is wrong with objects, by their name as operators write it."""
        self._objects: dict[str, Any] = {}
        self._root: Root | None = None
        """None while the store holds no root."""
        self._teams: dict[str, TeamSettings] = {}
        self._resolved: dict[tuple[str, str, str], Route] = {}

    @property
    def objects(self) -> dict[str, Any]:
        """Return the objects as they stand in the store, by their stored name."""
        return self._objects

    @property
    def fingerprint(self) -> str:
        """Return a short text that is alike where the same objects are in force."""
        text = json.dumps(self._objects, sort_keys=True)
        return xxhash.xxh32_hexdigest(text) if self._objects else "none"

    def replace(self, objects: dict[str, Any], revision: int) -> bool:
        """Take all objects of a newer revision; return whether the view is another now."""
        if revision <= self.revision:
            return False
        changed = objects != self._objects
        self.revision = revision
        self._objects = objects
        if changed:
            self._read(objects)
        return changed

    def route_for(self, route: Route, team: Team | None, service: str) -> Route:
        """Return a route with the values in force for a team's requests to a service."""
        key = (route.name, team.name if team else "", service)
        found = self._resolved.get(key)
        if found is None:
            settings = self._teams.get(team.name) if team else None
            found = resolve(self._root, settings, route, team, service)
            self._resolved[key] = found
        return found

    def clear_resolved_routes(self) -> None:
        """Drop what was worked out for routes, as another configuration is in force."""
        self._resolved = {}

    def _read(self, objects: dict[str, Any]) -> None:
        self.faults = {}
        self._resolved = {}
        former = self._teams
        self._teams = {}
        if ROOT_NAME not in objects:
            self._root = None
        for stored, data in objects.items():
            name = display_name(stored)
            try:
                self._take(name, data)
            except SettingsError as error:
                self.faults[name] = error
                self._keep(name, former)

    def _take(self, name: str, data: Any) -> None:
        from lotushill.contracts.document import check
        from lotushill.contracts.tree import Root
        from lotushill.contracts.tree import TeamSettings

        if name == ROOT_NAME:
            self._root = check(Root, data, name)
            return
        team = check(TeamSettings, data, name)
        self._teams[team.team] = team

    def _keep(self, name: str, former: dict[str, TeamSettings]) -> None:
        team = name.partition("/")[2]
        if team in former:
            self._teams[team] = former[team]
