"""Calls to the platform's store: objects by kind and name, each with a revision."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import httpcore

from lotushill.views.exceptions import HistoryGoneError
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreUnavailableError
from lotushill.views.stored_object import Change
from lotushill.views.stored_object import ObjectList
from lotushill.views.stored_object import StoredObject

_ANSWER_SECONDS = 2.0
_CONNECT_SECONDS = 1.0
_MS = 1000
_OK = (200, 201)
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410


@dataclass(frozen=True)
class _Answer:
    status: int
    body: Any


class ObjectStore:
    """Client of the store at `address` (IP:PORT)."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._host = address
        self._pool = httpcore.AsyncConnectionPool(max_connections=8, keepalive_expiry=5.0)
        self.calls = 0
        """Calls made so far."""

    async def list_kind(self, kind: str, stale: bool = False) -> ObjectList:
        """Return all objects of a kind with the store's revision."""
        objects: list[StoredObject] = []
        after = ""
        first_revision: int | None = None
        while True:
            query = ([f"sinceRev={quote(after)}"] if after else []) + ["stale=1"] * stale
            body = (await self._call("GET", f"/objects/{kind}?{'&'.join(query)}")).body
            items = [_stored(item) for item in body["items"]]
            objects += items
            # Later pages may be newer than the first: a watch goes on from the oldest.
            if first_revision is None:
                first_revision = int(body["at"])
            if not body.get("more") or not items:
                return ObjectList(tuple(objects), first_revision)
            after = items[-1].name

    async def get(self, kind: str, name: str, stale: bool = False) -> StoredObject | None:
        """Return one object, None if there is none; a stale answer may be seconds old."""
        answer = await self._call("GET", f"/objects/{kind}/{quote(name)}{'?stale=1' * stale}")
        return None if answer.status == _NOT_FOUND else _stored(answer.body)

    async def watch(self, kind: str, revision: int, seconds: float) -> tuple[list[Change], int]:
        """Return changes after a revision as soon as there are some, and where to go on."""
        path = f"/objects/{kind}?watch={revision}&waitMs={int(seconds * _MS)}"
        body = (await self._call("GET", path, patience=seconds + _ANSWER_SECONDS)).body
        changes = [Change(_stored(item["object"]), bool(item["gone"])) for item in body["events"]]
        return changes, int(body["at"])

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Make an object and return it; raise RevisionConflictError if it is there."""
        content = {"metadata": {"name": name}, "spec": spec}
        return await self._write("POST", f"/objects/{kind}", content)

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int | None = None
    ) -> StoredObject:
        """Replace an object's spec, whatever it is or only at a revision, and return it."""
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            metadata["revision"] = revision
        content = {"metadata": metadata, "spec": spec}
        return await self._write("PUT", f"/objects/{kind}/{quote(name)}", content)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        await self._call("DELETE", f"/objects/{kind}/{quote(name)}")

    async def _write(self, method: str, path: str, content: Any) -> StoredObject:
        answer = await self._call(method, path, content)
        try:
            return _stored(answer.body)
        except (KeyError, TypeError, ValueError) as error:
            raise StoreUnavailableError(f"no object in the answer: {error!r}") from error

    async def _call(
        self, method: str, path: str, content: Any = None, patience: float = _ANSWER_SECONDS
    ) -> _Answer:
        self.calls += 1
        headers = [(b"host", self._host.encode())]
        body = b""
        if content is not None:
            body = json.dumps(content).encode()
            headers += [(b"content-type", b"application/json")]
            headers += [(b"content-length", str(len(body)).encode())]
        timeout = {"connect": _CONNECT_SECONDS, "read": patience, "write": 1.0, "pool": 1.0}
        try:
            response = await self._pool.request(
                method,
                self._base + path.removesuffix("?"),
                headers=headers,
                content=body,
                extensions={"timeout": timeout},
            )
            return _answer(response)
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            raise StoreUnavailableError(repr(error)) from error


def _answer(response: httpcore.Response) -> _Answer:
    status = response.status
    if status == _GONE:
        raise HistoryGoneError
    if status == _CONFLICT:
        raise RevisionConflictError
    if status == _NOT_FOUND:
        return _Answer(status, {"items": [], "events": [], "at": 0})
    if status not in _OK:
        raise StoreUnavailableError(f"status {status}")
    return _Answer(status, json.loads(response.content) if response.content else {})


def _stored(item: dict[str, Any]) -> StoredObject:
    metadata = item["metadata"]
    return StoredObject(str(metadata["name"]), int(metadata["revision"]), item.get("spec"))
