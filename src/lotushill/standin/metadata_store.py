"""Emulates the platform's store: objects by kind and name, with one revision counter for all."""

from __future__ import annotations

import asyncio
import copy
from dataclasses import dataclass
from dataclasses import field
from typing import Any

PlainData = dict[str, Any]


class StoreStatusError(Exception):
    """A call is answered with a status other than 200."""

    def __init__(self, status: int, body: PlainData | None = None) -> None:
        super().__init__(status)
        self.status = status
        self.body = body or {}


@dataclass
class _Kind:
    objects: dict[str, PlainData] = field(default_factory=dict)
    events: list[tuple[int, PlainData, bool]] = field(default_factory=list)


class MetadataStore:
    """Objects and their history; a write without a change does not increase the revision."""

    def __init__(self, page_size: int = 500) -> None:
        self._page_size = page_size
        self._kinds: dict[str, _Kind] = {}
        self._compacted_revision = 0
        self._changed = asyncio.Event()
        self.revision = 0

    def list_kind(self, kind: str, after: str = "") -> PlainData:
        """Return one page of a kind's objects in the order of their names."""
        objects = self._kind(kind).objects
        names = sorted(name for name in objects if name > after)
        items = [copy.deepcopy(objects[name]) for name in names[: self._page_size]]
        return {"items": items, "more": len(names) > self._page_size, "at": self.revision}

    def get(self, kind: str, name: str) -> PlainData:
        """Return one object."""
        found = self._kind(kind).objects.get(name)
        if found is None:
            raise StoreStatusError(404)
        return copy.deepcopy(found)

    def create(self, kind: str, name: str, spec: Any) -> PlainData:
        """Create an object."""
        objects = self._kind(kind).objects
        if name in objects:
            raise StoreStatusError(409, copy.deepcopy(objects[name]))
        metadata = {"name": name, "finalizers": [], "deleting": False}
        return self._store(kind, {"metadata": metadata, "spec": spec, "status": None})

    def replace(self, kind: str, name: str, spec: Any, revision: int | None) -> PlainData:
        """Replace an object's spec; if a revision is given, only at that revision."""
        found = self.get(kind, name)
        if revision is not None and revision != found["metadata"]["revision"]:
            raise StoreStatusError(409, found)
        if found["spec"] == spec:
            return found
        found["spec"] = spec
        return self._store(kind, found)

    def put(self, kind: str, name: str, spec: Any) -> PlainData:
        """Create or replace an object."""
        if name in self._kind(kind).objects:
            return self.replace(kind, name, spec, None)
        return self.create(kind, name, spec)

    def delete(self, kind: str, name: str, revision: int | None = None) -> PlainData:
        """Delete an object."""
        found = self.get(kind, name)
        if revision is not None and revision != found["metadata"]["revision"]:
            raise StoreStatusError(409, found)
        del self._kind(kind).objects[name]
        self._record_change(kind, found, gone=True)
        return found

    def compact(self) -> None:
        """Discard the history of changes."""
        self._compacted_revision = self.revision
        for kind in self._kinds.values():
            kind.events.clear()

    async def watch(self, kind: str, revision: int, seconds: float) -> PlainData:
        """Return the events after a revision; wait up to `seconds` for the first one."""
        deadline = asyncio.get_running_loop().time() + seconds
        while True:
            if revision < self._compacted_revision:
                raise StoreStatusError(410)
            found = [item for item in self._kind(kind).events if item[0] > revision]
            seconds_left = deadline - asyncio.get_running_loop().time()
            if found or seconds_left <= 0:
                events = [{"object": copy.deepcopy(item), "gone": gone} for _, item, gone in found]
                return {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), seconds_left)
            except TimeoutError:
                continue

    def _kind(self, kind: str) -> _Kind:
        return self._kinds.setdefault(kind, _Kind())

    def _store(self, kind: str, item: PlainData) -> PlainData:
        self._kind(kind).objects[item["metadata"]["name"]] = item
        self._record_change(kind, item, gone=False)
        return copy.deepcopy(item)

    def _record_change(self, kind: str, item: PlainData, gone: bool) -> None:
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        item["metadata"].setdefault("made", self.revision)
        self._kind(kind).events.append((self.revision, copy.deepcopy(item), gone))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
