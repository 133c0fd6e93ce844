"""The two views that every gateway follows, fed by the store and by peers."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from typing import Any

from lotushill.links.messages import ViewKind
from lotushill.platform import names
from lotushill.platform.backends import parse_backend
from lotushill.platform.configuration import parse_table
from lotushill.routing.exceptions import InvalidTableError
from lotushill.views.backend_view import BackendView
from lotushill.views.configuration_view import ConfigurationView
from lotushill.views.watcher import Watcher

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.routing.backend import Backend
    from lotushill.views.stored_object import Change
    from lotushill.views.stored_object import ObjectList
    from lotushill.views.watcher import Store

_CONFIGURATION_INTERVAL = 0.05
_BACKENDS_INTERVAL = 0.4


class StoreViews:
    """Keeps the views at the highest revision that was heard of."""

    def __init__(
        self,
        store: Store,
        rng: random.Random,
        log: EventLog,
        on_configuration: Callable[[], None],
    ) -> None:
        """Follow `store`; `on_configuration` is called when another one is in force."""
        self.configuration = ConfigurationView()
        self.backends = BackendView()
        self._log = log
        self._on_configuration = on_configuration
        self._specs: dict[str, Any] = {}
        self._configuration_text = ""
        self._rejected = -1
        self._watch_configuration = Watcher(
            store,
            names.CONFIGURATION_KIND,
            self._on_configuration_list,
            self._on_configuration_changes,
            rng,
            log,
            _CONFIGURATION_INTERVAL,
        )
        self._watch_backends = Watcher(
            store,
            names.BACKEND_KIND,
            self._on_backend_list,
            self._on_backend_changes,
            rng,
            log,
            _BACKENDS_INTERVAL,
        )

    def tasks(self) -> list[asyncio.Task[None]]:
        """Start to follow the store, for ever."""
        watchers = (self._watch_configuration, self._watch_backends)
        return [asyncio.create_task(watcher.run()) for watcher in watchers]

    def fresh(self) -> bool:
        """Return whether the store answers about the configuration."""
        return not self._watch_configuration.failing

    # Peers

    def text(self, kind: ViewKind) -> tuple[int, str]:
        """Return the revision and the JSON text of a view, for a peer."""
        if kind is ViewKind.CONFIGURATION:
            return self.configuration.revision, self._configuration_text
        return self.backends.revision, json.dumps(self._specs)

    def revision(self, kind: ViewKind) -> int:
        """Return the revision of a view."""
        if kind is ViewKind.CONFIGURATION:
            return self.configuration.revision
        return self.backends.revision

    def take_from_peer(self, kind: ViewKind, revision: int, value: Any) -> None:
        """Take a peer's view if it is newer."""
        if kind is ViewKind.CONFIGURATION:
            self._take_configuration(value, revision, "peer")
        elif isinstance(value, dict) and revision > self.backends.revision:
            self._replace_backends(value, revision, "peer")

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
            self._log.note(
                "configuration.in_force", revision=revision, version=table.version, source=source
            )
            self._on_configuration()

    # The backends

    def _on_backend_list(self, listed: ObjectList) -> None:
        specs = {item.name: item.spec for item in listed.objects}
        if listed.revision > self.backends.revision:
            self._replace_backends(specs, listed.revision, "store")

    def _on_backend_changes(self, changes: list[Change], revision: int) -> None:
        if revision <= self.backends.revision:
            return
        specs = dict(self._specs)
        for change in changes:
            if change.gone:
                specs.pop(change.object.name, None)
            else:
                specs[change.object.name] = change.object.spec
        self._replace_backends(specs, revision, "store")

    def _replace_backends(self, specs: dict[str, Any], revision: int, source: str) -> None:
        self._specs = specs
        former = {item.id: item.draining for item in self.backends.all()}
        found = [parse_backend(name, spec) for name, spec in specs.items()]
        self.backends.replace([item for item in found if item is not None], revision)
        self._note_backends(former, self.backends.all(), source)

    def _note_backends(
        self, former: dict[str, bool], current: tuple[Backend, ...], source: str
    ) -> None:
        now = {item.id: item.draining for item in current}
        for backend in current:
            if former.get(backend.id) != backend.draining:
                self._log.note(
                    "backend.changed",
                    backend=backend.id,
                    service=backend.service,
                    address=backend.address,
                    zone=backend.zone,
                    draining=backend.draining,
                    source=source,
                    revision=self.backends.revision,
                )
        for gone in former.keys() - now.keys():
            self._log.note(
                "backend.gone", backend=gone, source=source, revision=self.backends.revision
            )
