"""HTTP behaviour shared by the stand-ins of engines and plain services."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from lotushill.links.asgi import read_body
from lotushill.links.asgi import send_json
from lotushill.links.asgi import send_response
from lotushill.platform import names

if TYPE_CHECKING:
    from lotushill.links.asgi import Receive
    from lotushill.links.asgi import Scope
    from lotushill.links.asgi import Send

_MAX_BODY_BYTES = 8_000_000
_BODY_TIMEOUT_SECONDS = 10.0
_MISDIRECTED = 421
_BAD_REQUEST = 400
_UNAVAILABLE = 503
_FAULTS_PATH = "/faults/"


class Fault(Enum):
    """Injected fault of a stand-in, set by `PUT /faults/NAME`."""

    NONE = "none"
    ERRORS = "errors"
    """Answers each request with 500 after running it."""
    FULL = "full"
    """Rejects each request and states that it was not run."""
    HANG = "hang"
    """Runs requests and never answers."""
    CUT = "cut"
    """Breaks off each answer in the middle."""
    SURPLUS = "surplus"
    """Sends surplus bytes after a complete answer."""
    OTHER = "other"
    """Answers with the id of another request."""


@dataclass(frozen=True)
class Run:
    """A request that a stand-in ran."""

    request: str
    team: str
    target: str


class UpstreamApp:
    """Validates requests as the platform's upstreams do; subclasses serve them."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.fault = Fault.NONE
        self.runs: list[Run] = []
        """Every request that was run, in order of arrival."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        if scope["type"] != "http":
            return
        body = await read_body(receive, _MAX_BODY_BYTES, _BODY_TIMEOUT_SECONDS)
        path = str(scope["path"])
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        if path.startswith(_FAULTS_PATH):
            self.fault = Fault(path.removeprefix(_FAULTS_PATH))
            await send_response(send, 200, (), b"")
        elif path == names.HEALTH_PATH:
            await send_response(send, 200, ((names.INSTANCE_ID.encode(), self.name.encode()),), b"")
        elif path == names.REPORT_PATH:
            await send_json(send, 200, self.report())
        else:
            await self._serve(scope, headers, body, send)

    def report(self) -> dict[str, object]:
        """Return the upstream's load report."""
        return {}

    async def run(self, headers: dict[str, str], body: bytes, send: Send) -> None:
        """Serve one accepted request."""
        raise NotImplementedError

    def is_full(self) -> bool:
        """Return whether new requests are rejected."""
        return self.fault is Fault.FULL

    async def _serve(self, scope: Scope, headers: dict[str, str], body: bytes, send: Send) -> None:
        request = headers.get(names.REQUEST_ID, "")
        target = headers.get(names.TARGET_INSTANCE, self.name)
        if not request:
            await self._reject(send, request, _BAD_REQUEST)
        elif target != self.name:
            await self._reject(send, request, _MISDIRECTED)
        elif self.is_full():
            await self._reject(send, request, _UNAVAILABLE)
        else:
            team = headers.get(names.TENANT, "")
            self.runs.append(Run(request, team, str(scope["path"])))
            await self.run(headers, body, send)

    async def _reject(self, send: Send, request: str, status: int) -> None:
        headers = [
            (names.REQUEST_ID.encode(), request.encode("latin-1")),
            (names.NOT_EXECUTED.encode(), b"1"),
        ]
        await send_response(send, status, headers, b"")

    def answer_headers(self, request: str) -> list[tuple[bytes, bytes]]:
        """Return the headers of the answer to a request that was run."""
        shown = "another" if self.fault is Fault.OTHER else request
        return [
            (names.REQUEST_ID.encode(), shown.encode("latin-1")),
            (names.SIGNATURE.encode(), f"{self.name}.{request}".encode("latin-1")),
        ]
