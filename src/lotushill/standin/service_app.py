"""The stand-in of a plain service: it answers each call and records that it ran it."""

from __future__ import annotations

import json
import logging
import time
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from lotushill.links.asgi import read_body
from lotushill.links.asgi import send_json
from lotushill.links.http_server import CUT

if TYPE_CHECKING:
    from lotushill.links.asgi import Receive
    from lotushill.links.asgi import Scope
    from lotushill.links.asgi import Send

log = logging.getLogger("standin")

_MAX_BODY = 8_000_000
_BODY_SECONDS = 10.0
_OK = 200


@dataclass
class CallRecord:
    """One call that the service ran."""

    request: str
    attempt: str
    path: str
    body: str
    at: float
    """Seconds since the epoch at which it began."""


class ServiceApp:
    """ASGI application that echoes the body after `work` seconds."""

    def __init__(self, name: str, work: float = 0.005) -> None:
        self.name = name
        self.work = work
        self.records: list[CallRecord] = []
        self.cut = False
        """Run every call, then close without an answer."""
        self.leaving = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        path = str(scope["path"])
        body = await read_body(receive, _MAX_BODY, _BODY_SECONDS)
        if path == "/health":
            await send_json(send, _OK, {"state": "leaving" if self.leaving else "serving"})
        elif path == "/records":
            await send_json(send, _OK, [asdict(record) for record in self.records])
        elif path == "/faults":
            faults = json.loads(body)
            self.cut = bool(faults.get("cut", False))
            self.leaving = bool(faults.get("leaving", False))
            await send_json(send, _OK, {})
        else:
            await self._run(scope, path, body, send)

    async def _run(self, scope: Scope, path: str, body: bytes, send: Send) -> None:
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        request = headers.get("lotushill-request", "direct")
        attempt = headers.get("lotushill-attempt", "0")
        text = body.decode("utf-8", "replace")
        record = CallRecord(request, attempt, path, text, time.time())
        self.records.append(record)
        log.info("ran %s", json.dumps(asdict(record)))
        await anyio.sleep(self.work)
        if self.cut:
            scope[CUT]()
            return
        await send_json(send, _OK, {"service": self.name, "path": path, "echo": text})
