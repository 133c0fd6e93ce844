"""The views that every gateway follows, fed by the store and by peers."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from typing import Any

from lotushill import clock as clocks
from lotushill.contracts.names import KIND as SETTINGS_KIND
from lotushill.contracts.settings_view import SettingsView
from lotushill.gateway.exceptions import MalformedViewError
from lotushill.links.messages import StoreContact
from lotushill.links.messages import ViewKind
from lotushill.platform import names
from lotushill.platform.configuration import parse_table
from lotushill.platform.upstreams import parse_upstream
from lotushill.quarantine.hold_view import HoldView
from lotushill.quarantine.stored_hold import KIND as HOLDS_KIND
from lotushill.routing.exceptions import InvalidTableError
from lotushill.views.configuration_view import ConfigurationView
from lotushill.views.entry_faults import EntryFaults
from lotushill.views.exceptions import MalformedEntryError
from lotushill.views.upstream_view import UpstreamView
from lotushill.views.watcher import WatchedKind
from lotushill.views.watcher import Watcher

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.gateway.reader_role import ReaderRole
    from lotushill.routing.upstream import Upstream
    from lotushill.views.stored_object import Change
    from lotushill.views.stored_object import ObjectList
    from lotushill.views.watcher import Store

_CONFIGURATION_INTERVAL = 0.05
_UPSTREAMS_INTERVAL = 0.4
_SETTINGS_INTERVAL = 0.5
_SETTINGS_WATCH_SECONDS = 25.0
"""Edits of the tree come as soon as they are made; only a silent cut is noticed later."""
_HOLDS_INTERVAL = 0.5
_HOLDS_WATCH_SECONDS = 25.0
_HOLDS_FIRST_SECONDS = 2.0
"""Where the holds alone cannot be read, the configuration is read all the same after so long."""
_RELISTED_SECONDS = 1.8
"""After an outage of the store, living upstreams have their entries again within about so long.

Counted from the last call that failed, it is also less than an upstream may serve on after it left.
"""
_ENTRIES = "entries"
_LAPSED = "lapsed"

_UNREADABLE = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What reading plain data of any shape may raise."""

Specs = dict[str, Any]
"""The specs of all objects of a kind, by name, as the store has them."""


class StoreViews:
    """Keeps the views at the highest revision that was heard of."""

    def __init__(
        self,
        store: Store,
        rng: random.Random,
        log: EventLog,
        on_configuration: Callable[[], None],
        role: ReaderRole | None = None,
        clock: Callable[[], float] = clocks.now,
        on_holds: Callable[[], None] = lambda: None,
    ) -> None:
        """Follow `store` while `role` says so; without a role, always.

        `on_configuration` is called when another configuration is in force, `on_holds` when other
        requests are held.
        """
        self.configuration = ConfigurationView()
        self.upstreams = UpstreamView()
        self.settings = SettingsView()
        self.holds = HoldView()
        self.upstream_faults = EntryFaults(names.BACKEND_KIND, log)
        self.hold_faults = EntryFaults(HOLDS_KIND, log)
        self._on_holds = on_holds
        self._log = log
        self._clock = clock
        self._role = role
        self._on_configuration = on_configuration
        self._specs: Specs = {}
        self._configuration_text = ""
        self._rejected = -1
        self._started = clock()
        self._doubted_at = float("-inf")

        def follow(kind: WatchedKind) -> Watcher:
            return Watcher(store, kind, rng, log, role, clock)

        self._watch_configuration = follow(self._configuration_kind())
        self._watch_upstreams = follow(self._upstreams_kind())
        self._watch_settings = follow(self._settings_kind())
        self._watch_holds = follow(self._holds_kind())

    def tasks(self) -> list[asyncio.Task[None]]:
        """Start to follow the store, for ever."""
        watchers = self._watchers()
        return [asyncio.create_task(watcher.run()) for watcher in watchers]

    def _watchers(self) -> tuple[Watcher, ...]:
        return (
            self._watch_configuration,
            self._watch_upstreams,
            self._watch_settings,
            self._watch_holds,
        )

    def doubt(self) -> None:
        """Ask the store again for all that this gateway reads, since it may be old."""
        self._doubted_at = self._clock()
        for watcher in self._watchers():
            watcher.doubt()

    def confirmed(self, since: float) -> bool:
        """Return whether this gateway read configuration and upstreams from a time on."""
        watchers = (self._watch_configuration, self._watch_upstreams)
        return all(watcher.confirmed_from >= since for watcher in watchers)

    def contact(self) -> StoreContact:
        """Return how this gateway stands with the store."""
        watchers = (self._watch_configuration, self._watch_upstreams)
        if any(watcher.failing for watcher in watchers):
            return StoreContact.AWAY
        if any(watcher.active for watcher in watchers):
            return StoreContact.READING
        return StoreContact.PASSIVE

    def fresh(self) -> bool:
        """Return whether nothing newer is known anywhere than the configuration in force."""
        if self._watch_configuration.active and not self._watch_configuration.failing:
            return self._watch_configuration.confirmed_from >= self._doubted_at
        return self._role is not None and self._role.told_by_others(self.configuration.revision)

    def _configuration_kind(self) -> WatchedKind:
        return WatchedKind(
            names.CONFIGURATION_KIND,
            self._on_configuration_list,
            self._on_configuration_changes,
            lambda: self.configuration.revision,
            _CONFIGURATION_INTERVAL,
            may_start=self._knows_holds,
        )

    def _upstreams_kind(self) -> WatchedKind:
        return WatchedKind(
            names.BACKEND_KIND,
            self._on_upstream_list,
            self._on_upstream_changes,
            lambda: self.upstreams.revision,
            _UPSTREAMS_INTERVAL,
        )

    def _settings_kind(self) -> WatchedKind:
        return WatchedKind(
            SETTINGS_KIND,
            self._on_settings_list,
            self._on_settings_changes,
            lambda: self.settings.revision,
            _SETTINGS_INTERVAL,
            _SETTINGS_WATCH_SECONDS,
        )

    def _knows_holds(self) -> bool:
        """Return whether the configuration, without which nothing is served, may be read.

        It is read after the holds: a gateway that had read it alone before the store went away
        would send what is held to upstreams.
        """
        waited = self._clock() - self._started
        return self.holds.revision >= 0 or waited > _HOLDS_FIRST_SECONDS

    def _holds_kind(self) -> WatchedKind:
        return WatchedKind(
            HOLDS_KIND,
            lambda listed: self._take_holds(_specs(listed), listed.revision, "store"),
            self._on_hold_changes,
            lambda: self.holds.revision,
            _HOLDS_INTERVAL,
            _HOLDS_WATCH_SECONDS,
        )

    def expire(self) -> None:
        """Take for gone what stayed away for too long after an outage of the store."""
        for upstream in self.upstreams.expire(self._clock()):
            self._note_gone(upstream, "lapsed")

    # Peers

    def text(self, kind: ViewKind) -> tuple[int, str]:
        """Return the revision and the JSON text of a view, for a peer."""
        if kind is ViewKind.CONFIGURATION:
            return self.configuration.revision, self._configuration_text
        if kind is ViewKind.SETTINGS:
            return self.settings.revision, json.dumps(self.settings.objects)
        if kind is ViewKind.HOLDS:
            return self.holds.revision, json.dumps(self.holds.objects)
        now = self._clock()
        left = {name: until - now for name, until in self.upstreams.lapsed.items()}
        page = {_ENTRIES: self._specs, _LAPSED: left}
        return self.upstreams.revision, json.dumps(page)

    def revision(self, kind: ViewKind) -> int:
        """Return the revision of a view."""
        if kind is ViewKind.CONFIGURATION:
            return self.configuration.revision
        if kind is ViewKind.SETTINGS:
            return self.settings.revision
        if kind is ViewKind.HOLDS:
            return self.holds.revision
        return self.upstreams.revision

    def take_from_peer(self, kind: ViewKind, revision: int, text: str) -> None:
        """Take a peer's view if it is newer; raise MalformedViewError if it cannot be read."""
        try:
            value = json.loads(text)
            if kind is ViewKind.CONFIGURATION:
                self._take_configuration(value, revision, "peer")
            elif kind is ViewKind.SETTINGS:
                self._take_settings(dict(value), revision, "peer")
            elif kind is ViewKind.HOLDS:
                self._take_holds(dict(value), revision, "peer")
            else:
                self._take_upstreams_of_peer(value, revision)
        except _UNREADABLE as error:
            raise MalformedViewError(kind.value) from error

    def _take_upstreams_of_peer(self, page: Any, revision: int) -> None:
        if revision <= self.upstreams.revision:
            return
        now = self._clock()
        keep = {str(name): now + float(left) for name, left in page[_LAPSED].items()}
        self._replace_upstreams(dict(page[_ENTRIES]), revision, "peer", keep)

    # The configuration

    def _on_configuration_list(self, listed: ObjectList) -> None:
        for item in listed.objects:
            if item.name == names.CONFIGURATION_NAME:
                self._take_configuration(item.spec, item.revision, "store")

    def _on_configuration_changes(self, changes: list[Change], revision: int) -> None:
        del revision
        for change in changes:
            if change.object.name == names.CONFIGURATION_NAME and not change.gone:
                self._take_configuration(change.object.spec, change.object.revision, "store")

    def _take_configuration(self, spec: Any, revision: int, source: str) -> None:
        if revision <= max(self.configuration.revision, self._rejected):
            return
        try:
            table = parse_table(spec)
        except InvalidTableError as error:
            self._rejected = revision
            self._log.note("configuration.rejected", revision=revision, error=str(error))
            return
        if self.configuration.take(table, revision):
            self._configuration_text = json.dumps(spec)
            self.settings.forget_routes()
            self._log.note(
                "configuration.in_force", revision=revision, version=table.version, source=source
            )
            self._on_configuration()

    # The settings tree

    def _on_settings_list(self, listed: ObjectList) -> None:
        self._take_settings(_specs(listed), listed.revision, "store")

    def _on_settings_changes(self, changes: list[Change], revision: int) -> None:
        self._take_settings(_changed(self.settings.objects, changes), revision, "store")

    def _take_settings(self, specs: Specs, revision: int, source: str) -> None:
        if not self.settings.replace(specs, revision):
            return
        self._log.note("settings.in_force", revision=revision, objects=len(specs), source=source)
        for name, error in self.settings.faults.items():
            self._log.note("settings.rejected", object=name, error=str(error), revision=revision)

    # Requests that are held

    def _on_hold_changes(self, changes: list[Change], revision: int) -> None:
        self._take_holds(_changed(self.holds.objects, changes), revision, "store")

    def _take_holds(self, specs: Specs, revision: int, source: str) -> None:
        if self.holds.replace(specs, revision):
            self.hold_faults.replace(self.holds.faults, revision)
            self._log.note("holds.in_force", revision=revision, objects=len(specs), source=source)
            self._on_holds()

    # The upstreams

    def _on_upstream_list(self, listed: ObjectList) -> None:
        if listed.revision > self.upstreams.revision:
            self._replace_upstreams(
                _specs(listed), listed.revision, "store", self._kept_after_outage()
            )

    def _on_upstream_changes(self, changes: list[Change], revision: int) -> None:
        if revision <= self.upstreams.revision:
            return
        specs = _changed(self._specs, changes)
        self._replace_upstreams(specs, revision, "store", self._kept_after_outage())

    def _kept_after_outage(self) -> dict[str, float]:
        """Return until when each upstream is kept without an entry: none in calm times."""
        away = self._watch_upstreams.away_at
        if away is None or self._clock() - away >= _RELISTED_SECONDS:
            return {}
        return {item.id: away + _RELISTED_SECONDS for item in self.upstreams.all()}

    def _replace_upstreams(
        self, specs: Specs, revision: int, source: str, keep: dict[str, float]
    ) -> None:
        self._specs = specs
        former = {item.id: item.draining for item in self.upstreams.all()}
        found: list[Upstream] = []
        faults: dict[str, str] = {}
        for name, spec in specs.items():
            try:
                found.append(parse_upstream(name, spec))
            except MalformedEntryError as error:
                faults[name] = str(error)
        self.upstreams.replace(found, revision, keep, frozenset(faults))
        self.upstream_faults.replace(faults, revision)
        self._note_upstreams(former, self.upstreams.all(), source)

    def _note_upstreams(
        self, former: dict[str, bool], current: tuple[Upstream, ...], source: str
    ) -> None:
        now = {item.id: item.draining for item in current}
        for upstream in current:
            if former.get(upstream.id) != upstream.draining:
                self._log.note(
                    "upstream.changed",
                    upstream=upstream.id,
                    service=upstream.service,
                    address=upstream.address,
                    hall=upstream.hall,
                    draining=upstream.draining,
                    source=source,
                    revision=self.upstreams.revision,
                )
        for gone in former.keys() - now.keys():
            self._note_gone(gone, source)

    def _note_gone(self, upstream: str, source: str) -> None:
        self._log.note(
            "upstream.gone", upstream=upstream, source=source, revision=self.upstreams.revision
        )


def _specs(listed: ObjectList) -> Specs:
    return {item.name: item.spec for item in listed.objects}


def _changed(specs: Specs, changes: list[Change]) -> Specs:
    """Return specs with changes made."""
    out = dict(specs)
    for change in changes:
        if change.gone:
            out.pop(change.object.name, None)
        else:
            out[change.object.name] = change.object.spec
    return out
