"""View of all known upstreams as of a revision of the store; a pure state machine."""

from __future__ import annotations

from dataclasses import replace
from types import MappingProxyType
from typing import TYPE_CHECKING

from lotushill.links.load_records import upstream_number

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lotushill.routing.upstream import Upstream

_MAX_LEAVING = 4096
"""Maximum incarnations remembered as leaving: several times the upstreams of the largest fleet."""
NO_DEADLINES: Mapping[str, float] = MappingProxyType({})


class UpstreamView:
    """Holds all upstreams by id; only a newer revision replaces the current one.

    Entries lapse during an outage of the store although their upstreams still run. Upstreams that
    are missing after an outage are therefore kept until a given time, by which the running ones
    are listed again.
    """

    def __init__(self) -> None:
        self.revision = -1
        """Store revision of the view; below 0 before the first list."""
        self._upstreams: dict[str, Upstream] = {}
        self._removal_times: dict[str, float] = {}
        """Times at which upstreams that no entry names any longer are removed, by id."""
        self._leaving: dict[str, None] = {}
        """Incarnations that announced that they leave, whatever their entries say; latest last."""
        self._announced_leaving: set[str] = set()
        self._by_service: dict[str, list[Upstream]] = {}
        self._by_number: dict[int, str] = {}

    @property
    def lapsed(self) -> dict[str, float]:
        """Return the times at which upstreams that are kept without an entry are removed."""
        return dict(self._removal_times)

    @property
    def is_loaded(self) -> bool:
        """Return whether a list has been received."""
        return self.revision >= 0

    def of(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may receive new requests."""
        return self._by_service.get(service, [])

    @property
    def announced_leaving(self) -> tuple[str, ...]:
        """Return the incarnations that announced to leave but whose entries do not say so."""
        return tuple(sorted(self._announced_leaving)) if self._announced_leaving else ()

    def find(self, upstream_id: str) -> Upstream | None:
        """Return the upstream with an id, None if it is unknown."""
        return self._upstreams.get(upstream_id)

    def id_by_number(self, number: int) -> str | None:
        """Return the id of the upstream that a number identifies in messages between gateways."""
        return self._by_number.get(number)

    def all(self) -> tuple[Upstream, ...]:
        """Return all upstreams, including those that are leaving."""
        return tuple(self._upstreams.values())

    def replace(
        self,
        upstreams: Iterable[Upstream],
        revision: int,
        keep_until: Mapping[str, float] = NO_DEADLINES,
        unreadable: frozenset[str] = frozenset(),
    ) -> bool:
        """Replace the view by a complete list; return whether the list was newer.

        An upstream in `keep_until` that is missing from the list and was not leaving stays until
        the time given there, and so does one that was kept before. It is dropped if a later
        incarnation of it is listed or its entry is `unreadable`.
        """
        if revision <= self.revision:
            return False
        entries = tuple(upstreams)
        listed = {item.id: self._keep_draining(item) for item in entries}
        self._announced_leaving = {
            item.id for item in entries if item.id in self._leaving and not item.draining
        }
        removal_times = {**keep_until, **self._removal_times}
        superseded = unreadable | {item.name for item in listed.values()}
        missing = {
            name: item
            for name, item in self._upstreams.items()
            if name not in listed and item.name not in superseded
        }
        kept = {
            name: item
            for name, item in missing.items()
            if name in removal_times and not item.draining
        }
        self._removal_times = {name: removal_times[name] for name in kept}
        self._upstreams = listed | kept
        self.revision = revision
        self._index()
        return True

    def note_leaving(self, upstream_id: str) -> bool:
        """Record that an incarnation accepts no more requests; return whether that was unknown.

        The record holds until the incarnation has ended. An entry that is updated late, or not at
        all in an outage of the store, does not revoke it.
        """
        if upstream_id in self._leaving:
            return False
        self._leaving[upstream_id] = None
        while len(self._leaving) > _MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        known = self._upstreams.get(upstream_id)
        if known is not None and known.draining:
            return False
        if known is not None:
            self._upstreams[upstream_id] = replace(known, draining=True)
            self._announced_leaving.add(upstream_id)
            self._index()
        return True

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove upstreams whose entries have been missing for too long, and return their ids."""
        gone = tuple(name for name, until in self._removal_times.items() if now >= until)
        for name in gone:
            del self._removal_times[name]
            self._announced_leaving.discard(name)
            del self._upstreams[name]
        if gone:
            self._index()
        return gone

    def _keep_draining(self, upstream: Upstream) -> Upstream:
        """Return the newer of two entries; an incarnation that has drained stays draining."""
        if upstream.id in self._leaving:
            return replace(upstream, draining=True)
        known = self._upstreams.get(upstream.id)
        return known if known is not None and known.draining else upstream

    def _index(self) -> None:
        self._by_number = {upstream_number(name): name for name in self._upstreams}
        self._by_service = {}
        for upstream in self._upstreams.values():
            if not upstream.draining:
                self._by_service.setdefault(upstream.service, []).append(upstream)
