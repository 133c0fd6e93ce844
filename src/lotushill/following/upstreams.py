"""Follows the entries of upstreams."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from lotushill.following.followed import FROM_PEER
from lotushill.following.followed import FROM_STORE
from lotushill.following.followed import FollowedKind
from lotushill.following.followed import Specs
from lotushill.following.followed import apply_changes
from lotushill.following.followed import specs_by_name
from lotushill.platform import names
from lotushill.platform.upstreams import parse_upstream
from lotushill.views.entry_faults import EntryFaults
from lotushill.views.exceptions import MalformedEntryError
from lotushill.views.upstream_view import UpstreamView
from lotushill.views.watcher import WatchedKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.routing.upstream import Upstream
    from lotushill.views.stored_object import Change
    from lotushill.views.stored_object import ObjectList

_WATCH_INTERVAL_SECONDS = 0.4
_LAPSED_RETENTION_SECONDS = 1.8
"""Time for which upstreams without entries are kept after an outage of the store.

Running upstreams have their entries again within about this time. Counted from the start of the
last failed call, it is also shorter than an upstream may continue to serve after it has left.
"""
_LAPSED_SOURCE = "lapsed"
# Keys of the JSON object that peers receive.
_ENTRIES = "entries"
_LAPSED = "lapsed"


class FollowedUpstreams(FollowedKind):
    """Keeps the upstreams with valid entries, and those whose entries lapsed in an outage."""

    def __init__(
        self,
        log: EventLog,
        clock: Callable[[], float],
        last_failure_at: Callable[[], float | None],
    ) -> None:
        """Keep upstreams that are missing after an outage for a limited time.

        `last_failure_at` returns the time at which the last failed call was sent.
        """
        self.view = UpstreamView()
        self.faults = EntryFaults(names.BACKEND_KIND, log)
        self._log = log
        self._clock = clock
        self._last_failure_at = last_failure_at
        self._specs: Specs = {}

    @property
    def revision(self) -> int:
        """Return the revision of the view."""
        return self.view.revision

    def watched_kind(self) -> WatchedKind:
        """Return how the watcher follows the entries at the store."""
        return WatchedKind(
            names.BACKEND_KIND,
            self._on_list,
            self._on_changes,
            lambda: self.revision,
            _WATCH_INTERVAL_SECONDS,
        )

    def expire(self) -> None:
        """Remove upstreams whose entries have been missing for too long after an outage."""
        for upstream in self.view.expire(self._clock()):
            self._note_gone(upstream, _LAPSED_SOURCE)

    def to_json(self) -> str:
        """Return as JSON all entries and the seconds left to upstreams kept without one."""
        now = self._clock()
        seconds_left = {name: until - now for name, until in self.view.lapsed.items()}
        return json.dumps({_ENTRIES: self._specs, _LAPSED: seconds_left})

    def receive_from_peer(self, value: Any, revision: int) -> None:
        """Replace the view by a peer's if that is newer."""
        if revision <= self.revision:
            return
        now = self._clock()
        keep_until = {str(name): now + float(left) for name, left in value[_LAPSED].items()}
        self._replace(dict(value[_ENTRIES]), revision, FROM_PEER, keep_until)

    def _on_list(self, listed: ObjectList) -> None:
        if listed.revision > self.revision:
            self._replace(
                specs_by_name(listed),
                listed.revision,
                FROM_STORE,
                self._removal_times_after_outage(),
            )

    def _on_changes(self, changes: list[Change], revision: int) -> None:
        if revision > self.revision:
            specs = apply_changes(self._specs, changes)
            self._replace(specs, revision, FROM_STORE, self._removal_times_after_outage())

    def _removal_times_after_outage(self) -> dict[str, float]:
        """Return until when each upstream is kept without an entry; empty without recent outage."""
        failed_at = self._last_failure_at()
        if failed_at is None or self._clock() - failed_at >= _LAPSED_RETENTION_SECONDS:
            return {}
        return {item.id: failed_at + _LAPSED_RETENTION_SECONDS for item in self.view.all()}

    def _replace(
        self, specs: Specs, revision: int, source: str, keep_until: dict[str, float]
    ) -> None:
        self._specs = specs
        was_draining = {item.id: item.draining for item in self.view.all()}
        upstreams: list[Upstream] = []
        faults: dict[str, str] = {}
        for name, spec in specs.items():
            try:
                upstreams.append(parse_upstream(name, spec))
            except MalformedEntryError as error:
                faults[name] = str(error)
        self.view.replace(upstreams, revision, keep_until, frozenset(faults))
        self.faults.replace(faults, revision)
        self._note_changes(was_draining, source)

    def _note_changes(self, was_draining: dict[str, bool], source: str) -> None:
        current = {item.id: item for item in self.view.all()}
        for upstream in current.values():
            if was_draining.get(upstream.id) != upstream.draining:
                self._log.note(
                    "upstream.changed",
                    upstream=upstream.id,
                    service=upstream.service,
                    address=upstream.address,
                    hall=upstream.hall,
                    draining=upstream.draining,
                    source=source,
                    revision=self.revision,
                )
        for gone in was_draining.keys() - current.keys():
            self._note_gone(gone, source)

    def _note_gone(self, upstream: str, source: str) -> None:
        self._log.note("upstream.gone", upstream=upstream, source=source, revision=self.revision)
