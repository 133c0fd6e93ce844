"""Emulates the platform's store: objects by kind and name, with one revision counter for all."""

from __future__ import annotations

import asyncio
import copy
from dataclasses import dataclass
from dataclasses import field
from typing import Any

Plain = dict[str, Any]


class StoreStatusError(Exception):
    """A call is answered with a status other than 200."""

    def __init__(self, status: int, body: Plain | None = None) -> None:
        super().__init__(status)
        self.status = status
        self.body = body or {}


@dataclass
class _Kind:
    objects: dict[str, Plain] = field(default_factory=dict)
    events: list[tuple[int, Plain, bool]] = field(default_factory=list)


class MetadataStore:
    """Objects and their history; a write without a change does not increase the revision."""

    def __init__(self, page: int = 500) -> None:
        self._page = page
        self._kinds: dict[str, _Kind] = {}
        self._compacted = 0
        self._changed = asyncio.Event()
        self.revision = 0

    def list_kind(self, kind: str, after: str = "") -> Plain:
        """Return one page of a kind's objects in the order of their names."""
        objects = self._kind(kind).objects
        names = sorted(name for name in objects if name > after)
        items = [copy.deepcopy(objects[name]) for name in names[: self._page]]
        return {"items": items, "more": len(names) > self._page, "at": self.revision}

    def get(self, kind: str, name: str) -> Plain:
        """Return one object."""
        found = self._kind(kind).objects.get(name)
        if found is None:
            raise StoreStatusError(404)
        return copy.deepcopy(found)

    def create(self, kind: str, name: str, spec: Any) -> Plain:
        """Create an object."""
        objects = self._kind(kind).objects
        if name in objects:
            raise StoreStatusError(409, copy.deepcopy(objects[name]))
        metadata = {"name": name, "finalizers": [], "deleting": False}
        return self._store(kind, {"metadata": metadata, "spec": spec, "status": None})

    def replace(self, kind: str, name: str, spec: Any, revision: int | None) -> Plain:
        """Replace an object's spec; if a revision is given, only at that revision."""
        found = self.get(kind, name)
        if revision is not None and revision != found["metadata"]["revision"]:
            raise StoreStatusError(409, found)
        if found["spec"] == spec:
            return found
        found["spec"] = spec
        return self._store(kind, found)

    def put(self, kind: str, name: str, spec: Any) -> Plain:
        """Create or replace an object."""
        if name in self._kind(kind).objects:
            return self.replace(kind, name, spec, None)
        return self.create(kind, name, spec)

    def delete(self, kind: str, name: str, revision: int | None = None) -> Plain:
        """Delete an object."""
        found = self.get(kind, name)
        if revision is not None and revision != found["metadata"]["revision"]:
            raise StoreStatusError(409, found)
        del self._kind(kind).objects[name]
        self._note(kind, found, gone=True)
        return found

    def compact(self) -> None:
        """Discard the history of changes."""
        self._compacted = self.revision
        for kind in self._kinds.values():
            kind.events.clear()

    async def watch(self, kind: str, revision: int, seconds: float) -> Plain:
        """Return the events after a revision; wait up to `seconds` for the first one."""
        ends = asyncio.get_running_loop().time() + seconds
        while True:
            if revision < self._compacted:
                raise StoreStatusError(410)
            found = [item for item in self._kind(kind).events if item[0] > revision]
            left = ends - asyncio.get_running_loop().time()
            if found or left <= 0:
                events = [{"object": copy.deepcopy(item), "gone": gone} for _, item, gone in found]
                return {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _kind(self, kind: str) -> _Kind:
        return self._kinds.setdefault(kind, _Kind())

    def _store(self, kind: str, item: Plain) -> Plain:
        self._kind(kind).objects[item["metadata"]["name"]] = item
        self._note(kind, item, gone=False)
        return copy.deepcopy(item)

    def _note(self, kind: str, item: Plain, gone: bool) -> None:
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        item["metadata"].setdefault("made", self.revision)
        self._kind(kind).events.append((self.revision, copy.deepcopy(item), gone))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
