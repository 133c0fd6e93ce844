"""Client of the platform's store: objects by kind and name, each with a revision."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar
from urllib.parse import quote

from lotushill.links.exceptions import NoAnswerError
from lotushill.links.exceptions import SilentConnectionError
from lotushill.links.json_client import JsonClient
from lotushill.views.exceptions import HistoryGoneError
from lotushill.views.exceptions import MalformedEntryError
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import SilentStoreError
from lotushill.views.exceptions import StoreUnavailableError
from lotushill.views.fields import Fields
from lotushill.views.fields import parse_readable
from lotushill.views.stored_object import Change
from lotushill.views.stored_object import ObjectList
from lotushill.views.stored_object import StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable

Item = TypeVar("Item")

_CONNECT_SECONDS = 1.0
_MAX_CONNECTIONS = 8
_KEEPALIVE_SECONDS = 5.0
_MS = 1000
_OK = (200, 201)
_NOT_FOUND = 404
_ERRORS = {409: RevisionConflictError, 410: HistoryGoneError}
_MAX_REVISION = 2**63 - 1


@dataclass(frozen=True)
class _Answer:
    status: int
    body: Any


class ObjectStore:
    """Client of the store at `address` (IP:PORT)."""

    def __init__(self, address: str) -> None:
        self.client = JsonClient(address, _MAX_CONNECTIONS, _KEEPALIVE_SECONDS, _CONNECT_SECONDS)

    async def list_kind(self, kind: str, stale: bool = False) -> ObjectList:
        """Return all objects of a kind and the store's revision."""
        objects: list[StoredObject] = []
        after = ""
        first_revision: int | None = None
        while True:
            query = ([f"sinceRev={quote(after)}"] if after else []) + ["stale=1"] * stale
            answer = await self._call("GET", f"/objects/{kind}?{'&'.join(query)}".removesuffix("?"))
            page = _parse(_parse_page, answer.body)
            objects += page.objects
            # Later pages may be newer than the first: a watch continues from the oldest revision.
            if first_revision is None:
                first_revision = page.revision
            if not answer.body.get("more") or not page.objects:
                return ObjectList(tuple(objects), first_revision)
            after = page.objects[-1].name

    async def get(self, kind: str, name: str, stale: bool = False) -> StoredObject | None:
        """Return one object, None if it does not exist; a stale answer may be seconds old."""
        answer = await self._call("GET", f"/objects/{kind}/{quote(name)}{'?stale=1' * stale}")
        return None if answer.status == _NOT_FOUND else _parse(_parse_object, answer.body)

    async def watch(self, kind: str, revision: int, seconds: float) -> tuple[list[Change], int]:
        """Wait for changes after a revision; return them and the revision to continue from."""
        path = f"/objects/{kind}?watch={revision}&waitMs={int(seconds * _MS)}"
        answer = await self._call("GET", path, wait_seconds=seconds)
        return _parse(_parse_events, answer.body)

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object and return it; raise RevisionConflictError if it exists."""
        content = {"metadata": {"name": name}, "spec": spec}
        return await self._write("POST", f"/objects/{kind}", content)

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int | None = None
    ) -> StoredObject:
        """Replace an object's spec and return it; if a revision is given, only at that revision."""
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            metadata["revision"] = revision
        content = {"metadata": metadata, "spec": spec}
        return await self._write("PUT", f"/objects/{kind}/{quote(name)}", content)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        await self._call("DELETE", f"/objects/{kind}/{quote(name)}")

    async def _write(self, method: str, path: str, content: Any) -> StoredObject:
        answer = await self._call(method, path, content)
        return _parse(_parse_object, answer.body)

    async def _call(
        self, method: str, path: str, content: Any = None, wait_seconds: float | None = None
    ) -> _Answer:
        try:
            answer = await self.client.call(method, path, content, wait_seconds=wait_seconds)
            if answer.status == _NOT_FOUND:
                return _Answer(answer.status, {"items": [], "events": [], "at": 0})
            if answer.status in _OK:
                return _Answer(answer.status, answer.read())
        except SilentConnectionError as error:
            raise SilentStoreError(str(error)) from error
        except NoAnswerError as error:
            raise StoreUnavailableError(str(error)) from error
        raise _ERRORS.get(answer.status, StoreUnavailableError)(f"store status {answer.status}")


def _parse(read: Callable[[Any], Item], body: Any) -> Item:
    try:
        return read(body)
    except MalformedEntryError as error:
        raise StoreUnavailableError(f"malformed answer from the store: {error}") from error


def _parse_page(body: Any) -> ObjectList:
    fields = Fields(body)
    objects = parse_readable(_parse_object, fields.array("items"))
    return ObjectList(tuple(objects), fields.integer("at", 0, _MAX_REVISION))


def _parse_events(body: Any) -> tuple[list[Change], int]:
    fields = Fields(body)
    changes = parse_readable(_parse_change, fields.array("events"))
    return changes, fields.integer("at", 0, _MAX_REVISION)


def _parse_object(item: Any) -> StoredObject:
    fields = Fields(item)
    metadata = fields.nested("metadata")
    revision = metadata.integer("revision", 0, _MAX_REVISION)
    return StoredObject(metadata.text("name"), revision, fields.raw("spec"))


def _parse_change(item: Any) -> Change:
    fields = Fields(item)
    return Change(_parse_object(fields.raw("object")), bool(fields.raw("gone")))
