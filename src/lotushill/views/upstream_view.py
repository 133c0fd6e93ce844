"""The upstreams that are known, as of a revision of the store; a pure state machine."""

from __future__ import annotations

from dataclasses import replace
from types import MappingProxyType
from typing import TYPE_CHECKING

from lotushill.links.load_records import upstream_number

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lotushill.routing.upstream import Upstream

_MOST_LEAVING = 4096
"""Lives that are remembered as leaving: some times as many as the largest fleet has upstreams."""
NOTHING_KEPT: Mapping[str, float] = MappingProxyType({})


class UpstreamView:
    """All upstreams by id; a newer revision replaces an older one and never the reverse.

    Entries lapse while the store is away, though their upstreams live. What is missing after an
    outage is therefore kept until a given time, by when living upstreams are listed again.
    """

    def __init__(self) -> None:
        self.revision = -1
        """The store's revision that the view stands at; below 0 while nothing is known."""
        self._upstreams: dict[str, Upstream] = {}
        self._lapsed: dict[str, float] = {}
        """Upstreams that no entry names any longer, by when they are taken for gone."""
        self._leaving: dict[str, None] = {}
        """Lives that said that they leave, whatever their entries say; the latest last."""
        self._leaving_by_word: set[str] = set()
        self._by_service: dict[str, list[Upstream]] = {}
        self._by_number: dict[int, str] = {}

    @property
    def lapsed(self) -> dict[str, float]:
        """Return the upstreams that are kept without an entry, by when they are gone."""
        return dict(self._lapsed)

    @property
    def is_loaded(self) -> bool:
        """Return whether anything was ever read."""
        return self.revision >= 0

    def of(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may get new requests."""
        return self._by_service.get(service, [])

    @property
    def announced_leaving(self) -> tuple[str, ...]:
        """Return the lives that said that they leave, and whose entries do not say it."""
        return tuple(sorted(self._leaving_by_word)) if self._leaving_by_word else ()

    def find(self, upstream_id: str) -> Upstream | None:
        """Return an upstream by its id."""
        return self._upstreams.get(upstream_id)

    def id_by_number(self, number: int) -> str | None:
        """Return the id of the upstream that a number stands for between gateways."""
        return self._by_number.get(number)

    def all(self) -> tuple[Upstream, ...]:
        """Return all upstreams, those that are leaving included."""
        return tuple(self._upstreams.values())

    def replace(
        self,
        upstreams: Iterable[Upstream],
        revision: int,
        keep_until: Mapping[str, float] = NOTHING_KEPT,
        unreadable: frozenset[str] = frozenset(),
    ) -> bool:
        """Take a whole list; return whether it was newer than what is held.

        Upstreams in `keep` that are missing and were not leaving stay until the time given
        there, and so do those that were kept before, unless a later life of theirs is listed
        or their entries are `unreadable`.
        """
        if revision <= self.revision:
            return False
        entries = tuple(upstreams)
        listed = {item.id: self._bound(item) for item in entries}
        self._leaving_by_word = {
            item.id for item in entries if item.id in self._leaving and not item.draining
        }
        wanted = {**keep_until, **self._lapsed}
        replaced = unreadable | {item.name for item in listed.values()}
        missing = {
            name: item
            for name, item in self._upstreams.items()
            if name not in listed and item.name not in replaced
        }
        kept = {
            name: item for name, item in missing.items() if name in wanted and not item.draining
        }
        self._lapsed = {name: wanted[name] for name in kept}
        self._upstreams = listed | kept
        self.revision = revision
        self._index()
        return True

    def note_leaving(self, upstream_id: str) -> bool:
        """Note that a life takes no more requests; return whether that is news.

        It holds until the life has ended: an entry that is late, or silent in an outage of the
        store, does not take it back.
        """
        if upstream_id in self._leaving:
            return False
        self._leaving[upstream_id] = None
        while len(self._leaving) > _MOST_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        known = self._upstreams.get(upstream_id)
        if known is not None and known.draining:
            return False
        if known is not None:
            self._upstreams[upstream_id] = replace(known, draining=True)
            self._leaving_by_word.add(upstream_id)
            self._index()
        return True

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop upstreams whose entries stayed away for too long, and return their ids."""
        gone = tuple(name for name, until in self._lapsed.items() if now >= until)
        for name in gone:
            del self._lapsed[name]
            self._leaving_by_word.discard(name)
            del self._upstreams[name]
        if gone:
            self._index()
        return gone

    def _bound(self, upstream: Upstream) -> Upstream:
        """Return the newer of two entries; a life that once drained takes no more requests."""
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
