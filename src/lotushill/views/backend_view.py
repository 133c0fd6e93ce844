"""The backends that are known, as of a revision of the store; a pure state machine."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.routing.backend import Backend


class BackendView:
    """All backends by id; a newer revision replaces an older one and never the reverse."""

    def __init__(self) -> None:
        self.revision = -1
        """The store's revision that the view stands at; below 0 while nothing is known."""
        self._backends: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}

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

    def replace(self, backends: Iterable[Backend], revision: int) -> bool:
        """Take a whole list; return whether it was newer than what is held."""
        if revision <= self.revision:
            return False
        self._backends = {item.id: self._bound(item) for item in backends}
        self._advance(revision)
        return True

    def update(self, changed: Iterable[Backend], gone: Iterable[str], revision: int) -> bool:
        """Take changes that lead to a revision; return whether anything may have changed."""
        if revision < self.revision:
            return False
        for backend in changed:
            self._backends[backend.id] = self._bound(backend)
        for backend_id in gone:
            self._backends.pop(backend_id, None)
        self._advance(revision)
        return True

    def _bound(self, backend: Backend) -> Backend:
        """Return the newer of two entries; an instance that once drained never returns."""
        known = self._backends.get(backend.id)
        return known if known is not None and known.draining else backend

    def _advance(self, revision: int) -> None:
        self.revision = revision
        self._by_service = {}
        for backend in self._backends.values():
            if not backend.draining:
                self._by_service.setdefault(backend.service, []).append(backend)
