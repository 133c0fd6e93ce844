"""Stand-in of the platform's store over HTTP, with faults that tests inject."""

from __future__ import annotations

import asyncio
import json
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote

from lotushill.links.asgi import read_body
from lotushill.links.asgi import send_json
from lotushill.standin.metadata_store import StoreStatusError

if TYPE_CHECKING:
    from lotushill.links.asgi import Receive
    from lotushill.links.asgi import Scope
    from lotushill.links.asgi import Send
    from lotushill.standin.metadata_store import MetadataStore

_ROOT = "/objects/"
_MAX_BODY_BYTES = 2 * 1024 * 1024
_BODY_TIMEOUT_SECONDS = 5.0
_MS_PER_SECOND = 1000.0


class StoreFault(Enum):
    """Injected fault of the store."""

    NONE = "none"
    BUSY = "busy"
    """Answers 503 without carrying out the call."""
    MANY = "many"
    """Answers 429 without carrying out the call."""
    SILENT = "silent"
    """Accepts calls, does not carry them out and never answers."""
    LOST = "lost"
    """Carries out calls and never answers."""


class MetadataApp:
    """ASGI application that serves a store; `fault` may be changed at any time."""

    def __init__(self, store: MetadataStore) -> None:
        self.store = store
        self.fault = StoreFault.NONE
        self.rejected_kind = ""
        """The only object kind whose calls are answered with 503; empty for none."""
        self.calls: list[str] = []
        """Every call so far, as method, path and query."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        query = scope["query_string"].decode("latin-1")
        self.calls.append(f"{scope['method']} {scope['path']}?{query}")
        busy = self.fault is StoreFault.BUSY or self._is_rejected_kind(str(scope["path"]))
        if busy or self.fault is StoreFault.MANY:
            await send_json(send, 503 if busy else 429, {})
            return
        try:
            status, body = await self._answer_with_fault(scope, receive, query)
        except asyncio.CancelledError:
            # The server stops while calls wait; this is no error to be logged with a traceback.
            status, body = 503, {}
        await send_json(send, status, body)

    async def _answer_with_fault(
        self, scope: Scope, receive: Receive, query: str
    ) -> tuple[int, Any]:
        if self.fault is StoreFault.SILENT:
            await asyncio.Event().wait()
        answer = await self._answer(scope, receive, query)
        if self.fault is StoreFault.LOST:
            await asyncio.Event().wait()
        return answer

    def _is_rejected_kind(self, path: str) -> bool:
        return bool(self.rejected_kind) and path.split("/")[2:3] == [self.rejected_kind]

    async def _answer(self, scope: Scope, receive: Receive, query: str) -> tuple[int, Any]:
        text = await read_body(receive, _MAX_BODY_BYTES, _BODY_TIMEOUT_SECONDS)
        kind, _, name = unquote(str(scope["path"]).removeprefix(_ROOT)).partition("/")
        options = {key: values[-1] for key, values in parse_qs(query).items()}
        try:
            content = json.loads(text) if text else {}
            return 200, await self._carry_out(str(scope["method"]), kind, name, options, content)
        except StoreStatusError as error:
            return error.status, error.body
        except (ValueError, KeyError, TypeError) as error:
            return 400, {"error": repr(error)}

    async def _carry_out(
        self, method: str, kind: str, name: str, options: dict[str, str], content: Any
    ) -> Any:
        revision = int(options["revision"]) if "revision" in options else None
        if method == "GET" and "watch" in options:
            seconds = float(options.get("waitMs", "0")) / _MS_PER_SECOND
            return await self.store.watch(kind, int(options["watch"]), seconds)
        if method == "GET" and not name:
            return self.store.list_kind(kind, options.get("sinceRev", ""))
        if method == "GET":
            return self.store.get(kind, name)
        if method == "POST":
            return self.store.create(kind, content["metadata"]["name"], content["spec"])
        if method == "PUT":
            expected_revision = content["metadata"].get("revision", revision)
            return self.store.replace(kind, name, content["spec"], expected_revision)
        return self.store.delete(kind, name, revision)
