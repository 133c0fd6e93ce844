"""Stand-in of the platform's store: objects by kind and name, watches, lapsing engine entries."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

from standins import messages

SERVERS = "servers"
_ROOT = "/objects/"
_CHECK_SECONDS = 0.1


class Store:
    """Objects and their history; `is_down` answers each call with 503, as nothing is done."""

    def __init__(self, heartbeat_seconds: float) -> None:
        """Let entries of engines go after three heartbeats of silence."""
        self._silence_seconds = 3 * heartbeat_seconds
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._heard_at: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_down = False
        self.revision = 0
        self.address = ""

    async def start(self) -> None:
        """Listen at a free port of the loopback address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        task = asyncio.create_task(self._drop_silent())
        self._tasks.add(task)

    async def close(self) -> None:
        """Stop listening and end all calls."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage; entries do not lapse for the time of the outage."""
        self._is_down = is_down
        now = time.monotonic()
        self._heard_at = dict.fromkeys(self._heard_at, now)
        self._notify()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Create or replace an object; a write that changes nothing raises no revision."""
        found = self._objects.setdefault(kind, {}).get(name)
        if kind == SERVERS:
            self._heard_at[name] = time.monotonic()
        if found is not None and _content(kind, found["spec"]) == _content(kind, spec):
            found["spec"] = spec
            return found
        made = found["metadata"]["made"] if found is not None else self.revision + 1
        metadata: dict[str, Any] = {
            "name": name,
            "made": made,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind][name] = item
        self._record(kind, item, gone=False)
        return item

    def delete(self, kind: str, name: str) -> dict[str, Any]:
        """Remove an object."""
        item = self._objects[kind].pop(name)
        self._heard_at.pop(name, None)
        self._record(kind, item, gone=True)
        return item

    def names(self, kind: str) -> list[str]:
        """Return the names of all objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def spec(self, kind: str, name: str) -> Any:
        """Return the spec of an object, None if there is none."""
        found = self._objects.get(kind, {}).get(name)
        return None if found is None else found["spec"]

    def _record(self, kind: str, item: dict[str, Any], gone: bool) -> None:
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        self._events.append((self.revision, kind, json.loads(json.dumps(item)), gone))
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _drop_silent(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_SECONDS)
            now = time.monotonic()
            for name, at in list(self._heard_at.items()):
                if not self._is_down and now - at > self._silence_seconds:
                    self.delete(SERVERS, name)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await messages.read_head(reader)) is not None:
                body = await messages.read_body(reader, head)
                status, value = await self._answer(head, json.loads(body) if body else None)
                content = json.dumps(value).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(messages.message(f"HTTP/1.1 {status} X", headers, content))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: messages.Head, content: Any) -> tuple[int, Any]:
        if self._is_down:
            return 503, {}
        method, target, _ = head.line.split()
        parts = urlsplit(target)
        kind, _, name = unquote(parts.path.removeprefix(_ROOT)).partition("/")
        query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        found = self._objects.setdefault(kind, {}).get(name)
        if method == "GET" and not name:
            items = [self._objects[kind][item] for item in self.names(kind)]
            return 200, {"items": items, "more": False, "at": self.revision}
        if method == "POST":
            name = content["metadata"]["name"]
            found = self._objects[kind].get(name)
            if found is not None:
                return 409, found
            return 200, self.put(kind, name, content["spec"])
        if found is None:
            return 404, {}
        if method == "GET":
            return 200, found
        expected = (content or {}).get("metadata", {}).get("revision") or query.get("revision")
        if expected is not None and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if method == "PUT":
            return 200, self.put(kind, name, content["spec"])
        return 200, self.delete(kind, name)

    async def _watch(self, kind: str, revision: int, wait_ms: int) -> tuple[int, Any]:
        ends = time.monotonic() + wait_ms / 1000
        while True:
            if self._is_down:
                return 503, {}
            events = [
                {"object": item, "gone": gone}
                for at, of_kind, item, gone in self._events
                if of_kind == kind and at > revision
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue


def _content(kind: str, spec: Any) -> Any:
    """Return what counts as the content of an object: an entry's `seqNo` alone is no change."""
    if kind == SERVERS and isinstance(spec, dict):
        return {name: value for name, value in spec.items() if name != "seqNo"}
    return spec
