"""The platform over HTTP."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import Any
from urllib.parse import quote

import httpcore

from lotushill.objectapi.exceptions import ConflictError
from lotushill.objectapi.exceptions import UnavailableError
from lotushill.objectapi.exceptions import UnknownEffectError
from lotushill.objectapi.objects import HostRecord
from lotushill.objectapi.objects import HostRole
from lotushill.objectapi.objects import HostState
from lotushill.objectapi.objects import StoredObject

_CONNECT_SECONDS = 1.0
_ANSWER_SECONDS = 3.0
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_NOT_TAKEN = (429, 503)
"""With these the platform says that it did not begin on a write; other errors say nothing."""


class HttpPlatform:
    """Adapter to the object API and the host list; `base` is `http://ADDRESS:PORT`."""

    def __init__(self, base: str, connections: int = 8) -> None:
        self._base = base.rstrip("/")
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=connections, keepalive_expiry=5.0, retries=0
        )
        self.calls = 0
        """Calls made so far, a waiting watch counted as one."""

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        status, body = await self._read(f"/objects/{quote(key)}", _ANSWER_SECONDS)
        return None if status == _NOT_FOUND else _stored(body)

    async def list(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return all objects whose key starts with a prefix, by key."""
        _, body = await self._read(f"/list/{quote(prefix)}", _ANSWER_SECONDS)
        return tuple(_stored(item) for item in _items(body))

    async def put(self, key: str, value: str, expected: int) -> StoredObject:
        """Write against a version."""
        body = await self._write("PUT", key, value, expected)
        try:
            return _stored(body)
        except UnavailableError as error:
            raise UnknownEffectError(str(error)) from error

    async def delete(self, key: str, expected: int) -> None:
        """Delete against a version."""
        await self._write("DELETE", key, "", expected)

    async def watch(self, prefix: str, after: int, patience: float) -> tuple[StoredObject, ...]:
        """Wait until objects under a prefix are newer than `after`."""
        path = f"/watch/{quote(prefix)}?after={after}&patience={patience}"
        _, body = await self._read(path, patience + _ANSWER_SECONDS)
        return tuple(_stored(item) for item in _items(body))

    async def hosts(self) -> tuple[HostRecord, ...]:
        """Return every host that the platform lists."""
        _, body = await self._read("/hosts", _ANSWER_SECONDS)
        return tuple(host_from_plain(item) for item in _items(body))

    async def _read(self, path: str, patience: float) -> tuple[int, Any]:
        try:
            status, content = await self._send("GET", path, b"", patience)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            raise UnavailableError(str(error)) from error
        if status not in (_OK, _NOT_FOUND):
            raise UnavailableError(f"status {status}")
        return status, _parse(content)

    async def _write(self, method: str, key: str, value: str, expected: int) -> Any:
        content = json.dumps({"value": value, "expected": expected}).encode()
        try:
            status, answer = await self._send(
                method, f"/objects/{quote(key)}", content, _ANSWER_SECONDS
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            raise UnavailableError(str(error)) from error
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            raise UnknownEffectError(str(error)) from error
        if status in _NOT_TAKEN:
            raise UnavailableError(f"status {status}")
        try:
            body = _parse(answer)
            if status == _CONFLICT:
                raise ConflictError(key, expected, int(body["version"]))
        except (UnavailableError, TypeError, KeyError, ValueError) as error:
            raise UnknownEffectError("an answer that says nothing") from error
        if status != _OK:
            raise UnknownEffectError(f"status {status}")
        return body

    async def _send(
        self, method: str, path: str, content: bytes, patience: float
    ) -> tuple[int, bytes]:
        self.calls += 1
        headers = [(b"host", b"platform"), (b"content-type", b"application/json")]
        headers.append((b"content-length", str(len(content)).encode()))
        timeout = {
            "connect": _CONNECT_SECONDS,
            "pool": _CONNECT_SECONDS,
            "read": patience,
            "write": _ANSWER_SECONDS,
        }
        response = await self._pool.request(
            method,
            self._base + path,
            headers=headers,
            content=content,
            extensions={"timeout": timeout},
        )
        return response.status, response.content


def host_to_plain(record: HostRecord) -> dict[str, str]:
    """Return a host record as plain data."""
    return asdict(record) | {"role": record.role.value, "state": record.state.value}


def _parse(content: bytes) -> Any:
    try:
        return json.loads(content or b"null")
    except ValueError as error:
        raise UnavailableError("an answer that is no JSON") from error


def _items(body: Any) -> list[Any]:
    if not isinstance(body, list):
        raise UnavailableError("an answer that is no list")
    return body


def _stored(body: Any) -> StoredObject:
    try:
        deleted = bool(body.get("deleted", False))
        return StoredObject(str(body["key"]), int(body["version"]), str(body["value"]), deleted)
    except (AttributeError, TypeError, KeyError, ValueError) as error:
        raise UnavailableError("an answer that is no object") from error


def host_from_plain(body: Any) -> HostRecord:
    """Return a host record from plain data; raise UnavailableError for anything else."""
    try:
        return HostRecord(
            name=str(body["name"]),
            role=HostRole(body["role"]),
            hall=str(body["hall"]),
            region=str(body["region"]),
            address=str(body["address"]),
            pool=str(body["pool"]),
            state=HostState(body["state"]),
        )
    except (TypeError, KeyError, ValueError) as error:
        raise UnavailableError("an answer that is no host record") from error
