"""The stand-in of the platform: the object API and the host list over HTTP."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs

import anyio

from lotushill.links.asgi import read_body
from lotushill.links.asgi import send_json
from lotushill.links.http_server import CUT
from lotushill.objectapi.exceptions import ConflictError
from lotushill.objectapi.http_platform import host_to_plain
from lotushill.objectapi.objects import HostRecord
from lotushill.objectapi.objects import HostRole
from lotushill.objectapi.objects import HostState
from lotushill.standin.object_store import ObjectStore
from lotushill.standin.object_store import StoreFault

if TYPE_CHECKING:
    from lotushill.links.asgi import Receive
    from lotushill.links.asgi import Scope
    from lotushill.links.asgi import Send

_MAX_BODY = 2_000_000
_BODY_SECONDS = 5.0
_SLOW_SECONDS = 2.0
_WATCH_STEP = 0.02
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_DOWN = 503


class PlatformApp:
    """ASGI application over one store."""

    def __init__(self, store: ObjectStore | None = None) -> None:
        self.store = store or ObjectStore()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        body = await read_body(receive, _MAX_BODY, _BODY_SECONDS)
        path = str(scope["path"])
        head, _, rest = path.lstrip("/").partition("/")
        if head == "faults":
            self.store.fault = StoreFault(json.loads(body)["mode"])
            await send_json(send, _OK, {})
            return
        if self.store.fault is StoreFault.DOWN:
            await send_json(send, _DOWN, {})
            return
        if self.store.fault is StoreFault.SLOW:
            await anyio.sleep(_SLOW_SECONDS)
        await self._route(str(scope["method"]), head, rest, scope, body, send)

    async def _route(
        self, method: str, head: str, rest: str, scope: Scope, body: bytes, send: Send
    ) -> None:
        if head == "objects" and method == "GET":
            await self._get(rest, send)
        elif head == "objects":
            await self._write(method, rest, json.loads(body), scope, send)
        elif head == "list":
            self.store.reads += 1
            await send_json(send, _OK, [asdict(item) for item in self.store.list(rest)])
        elif head == "watch":
            await self._watch(rest, parse_qs(scope["query_string"].decode()), send)
        elif head == "hosts" and method == "GET":
            self.store.reads += 1
            hosts = [host_to_plain(record) for record in self.store.hosts.values()]
            await send_json(send, _OK, hosts)
        elif head == "hosts":
            self._put_host(json.loads(body))
            await send_json(send, _OK, {})
        elif head == "counts":
            counts = {"reads": self.store.reads, "writes": self.store.writes}
            await send_json(send, _OK, counts)
        else:
            await send_json(send, _NOT_FOUND, {})

    async def _get(self, key: str, send: Send) -> None:
        self.store.reads += 1
        found = self.store.get(key)
        if found is None:
            await send_json(send, _NOT_FOUND, None)
        else:
            await send_json(send, _OK, asdict(found))

    async def _write(self, method: str, key: str, body: Any, scope: Scope, send: Send) -> None:
        self.store.writes += 1
        try:
            if method == "DELETE":
                stored = self.store.delete(key, int(body["expected"]))
            else:
                stored = self.store.put(key, str(body["value"]), int(body["expected"]))
        except ConflictError as error:
            await send_json(send, _CONFLICT, {"version": error.found})
            return
        if self.store.fault is StoreFault.LOSE_ANSWERS:
            scope[CUT]()
            return
        await send_json(send, _OK, asdict(stored))

    async def _watch(self, prefix: str, query: dict[str, list[str]], send: Send) -> None:
        self.store.reads += 1
        after = int(query["after"][0])
        patience = float(query["patience"][0])
        changes = self.store.changes(prefix, after)
        with anyio.move_on_after(patience):
            while not changes:
                await anyio.sleep(_WATCH_STEP)
                changes = self.store.changes(prefix, after)
        if self.store.fault is StoreFault.DOWN:
            await send_json(send, _DOWN, {})
            return
        await send_json(send, _OK, [asdict(item) for item in changes])

    def _put_host(self, body: Any) -> None:
        role, state = HostRole(body["role"]), HostState(body["state"])
        self.store.hosts[body["name"]] = HostRecord(**body | {"role": role, "state": state})
