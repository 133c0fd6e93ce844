"""The entries of upstreams, followed."""

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

_INTERVAL_SECONDS = 0.4
_RELISTED_SECONDS = 1.8
"""After an outage of the store, living upstreams have their entries again within about so long.

Counted from the last call that failed, it is also less than an upstream may serve on after it left.
"""
_LAPSED_SOURCE = "lapsed"
# What a page for peers holds.
_ENTRIES = "entries"
_LAPSED = "lapsed"


class FollowedUpstreams(FollowedKind):
    """All upstreams whose entries can be read, and those whose entries lapsed in an outage."""

    def __init__(
        self,
        log: EventLog,
        clock: Callable[[], float],
        last_failure_at: Callable[[], float | None],
    ) -> None:
        """Keep what is missing after an outage; `away_at` tells when the store last was away."""
        self.view = UpstreamView()
        self.faults = EntryFaults(names.BACKEND_KIND, log)
        self._log = log
        self._clock = clock
        self._away_at = last_failure_at
        self._specs: Specs = {}

    @property
    def revision(self) -> int:
        """Return the revision that is held."""
        return self.view.revision

    def watched_kind(self) -> WatchedKind:
        """Return how it is followed at the store."""
        return WatchedKind(
            names.BACKEND_KIND,
            self._on_list,
            self._on_changes,
            lambda: self.revision,
            _INTERVAL_SECONDS,
        )

    def expire(self) -> None:
        """Take for gone what stayed away for too long after an outage of the store."""
        for upstream in self.view.expire(self._clock()):
            self._note_gone(upstream, _LAPSED_SOURCE)

    def to_json(self) -> str:
        """Return all entries, and how many seconds are left to those that are kept without."""
        now = self._clock()
        left = {name: until - now for name, until in self.view.lapsed.items()}
        return json.dumps({_ENTRIES: self._specs, _LAPSED: left})

    def receive_from_peer(self, value: Any, revision: int) -> None:
        """Take a peer's."""
        if revision <= self.revision:
            return
        now = self._clock()
        keep = {str(name): now + float(left) for name, left in value[_LAPSED].items()}
        self._replace(dict(value[_ENTRIES]), revision, FROM_PEER, keep)

    def _on_list(self, listed: ObjectList) -> None:
        if listed.revision > self.revision:
            self._replace(
                specs_by_name(listed), listed.revision, FROM_STORE, self._kept_after_outage()
            )

    def _on_changes(self, changes: list[Change], revision: int) -> None:
        if revision > self.revision:
            specs = apply_changes(self._specs, changes)
            self._replace(specs, revision, FROM_STORE, self._kept_after_outage())

    def _kept_after_outage(self) -> dict[str, float]:
        """Return until when each upstream is kept without an entry: none in calm times."""
        away = self._away_at()
        if away is None or self._clock() - away >= _RELISTED_SECONDS:
            return {}
        return {item.id: away + _RELISTED_SECONDS for item in self.view.all()}

    def _replace(self, specs: Specs, revision: int, source: str, keep: dict[str, float]) -> None:
        self._specs = specs
        former = {item.id: item.draining for item in self.view.all()}
        found: list[Upstream] = []
        faults: dict[str, str] = {}
        for name, spec in specs.items():
            try:
                found.append(parse_upstream(name, spec))
            except MalformedEntryError as error:
                faults[name] = str(error)
        self.view.replace(found, revision, keep, frozenset(faults))
        self.faults.replace(faults, revision)
        self._note_changes(former, source)

    def _note_changes(self, former: dict[str, bool], source: str) -> None:
        current = {item.id: item for item in self.view.all()}
        for upstream in current.values():
            if former.get(upstream.id) != upstream.draining:
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
        for gone in former.keys() - current.keys():
            self._note_gone(gone, source)

    def _note_gone(self, upstream: str, source: str) -> None:
        self._log.note("upstream.gone", upstream=upstream, source=source, revision=self.revision)
