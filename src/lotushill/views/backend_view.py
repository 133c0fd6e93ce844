"""The backends that are known, as of a revision of the store; a pure state machine."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lotushill.routing.backend import Backend

NOTHING_KEPT: Mapping[str, float] = MappingProxyType({})


class BackendView:
    """All backends by id; a newer revision replaces an older one and never the reverse.

    Entries lapse while the store is away, though their backends live. What is missing after an
    outage is therefore kept until a given time, by when living backends are listed again.
    """

    def __init__(self) -> None:
        self.revision = -1
        """The store's revision that the view stands at; below 0 while nothing is known."""
        self._backends: dict[str, Backend] = {}
        self._lapsed: dict[str, float] = {}
        """Backends that no entry names any longer, by when they are taken for gone."""
        self._by_service: dict[str, list[Backend]] = {}

    @property
    def lapsed(self) -> dict[str, float]:
        """Return the backends that are kept without an entry, by when they are gone."""
        return dict(self._lapsed)

    @property
    def known(self) -> bool:
        """Return whether anything was ever read."""
        return self.revision >= 0

    def of(self, service: str) -> list[Backend]:
        """Return the backends of a service that may get new requests."""
        return self._by_service.get(service, [])

    def find(self, backend_id: str) -> Backend | None:
        """Return a backend by its id."""
        return self._backends.get(backend_id)

    def all(self) -> tuple[Backend, ...]:
        """Return all backends, those that are leaving included."""
        return tuple(self._backends.values())

    def replace(
        self, backends: Iterable[Backend], revision: int, keep: Mapping[str, float] = NOTHING_KEPT
    ) -> bool:
        """Take a whole list; return whether it was newer than what is held.

        Backends in `keep` that are missing and were not leaving stay until the time given
        there, and so do those that were kept before.
        """
        if revision <= self.revision:
            return False
        listed = {item.id: self._bound(item) for item in backends}
        wanted = {**keep, **self._lapsed}
        missing = {name: item for name, item in self._backends.items() if name not in listed}
        kept = {
            name: item for name, item in missing.items() if name in wanted and not item.draining
        }
        self._lapsed = {name: wanted[name] for name in kept}
        self._backends = listed | kept
        self.revision = revision
        self._index()
        return True

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop backends whose entries stayed away for too long, and return their ids."""
        gone = tuple(name for name, until in self._lapsed.items() if now >= until)
        for name in gone:
            del self._lapsed[name]
            del self._backends[name]
        if gone:
            self._index()
        return gone

    def _bound(self, backend: Backend) -> Backend:
        """Return the newer of two entries; an instance that once drained never returns."""
        known = self._backends.get(backend.id)
        return known if known is not None and known.draining else backend

    def _index(self) -> None:
        self._by_service = {}
        for backend in self._backends.values():
            if not backend.draining:
                self._by_service.setdefault(backend.service, []).append(backend)
