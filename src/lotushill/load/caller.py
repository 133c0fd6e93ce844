"""A caller for tests, the demo and experiments: sends calls and checks what comes back."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass

import anyio
import httpcore

from lotushill.standin.engine_app import answer_length
from lotushill.standin.engine_app import answer_tokens

_EVENT = b"data: "
_FAILURES = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)
_OK = 200
_PATIENCE_SECONDS = 5.0
_NO_LIMIT = 1_000_000


@dataclass(frozen=True)
class Order:
    """One call to make."""

    address: str
    key: str
    service: str
    klass: str
    model: str
    prompt: str
    stream: bool = True
    deadline: float = 30.0
    repeatable: bool = True
    idempotency_key: str = ""
    path: str = "/v1/chat/completions"


@dataclass
class Reply:
    """What came back."""

    status: int = 0
    outcome: str = ""
    code: str = ""
    request: str = ""
    retry_after: float = 0.0
    text: str = ""
    first_token: float = 0.0
    whole: float = 0.0
    closed: bool = False
    """Whether the HTTP response itself was ended properly."""
    clean: bool = False
    """Whether the answer ended as whole answers end."""

    @property
    def completed(self) -> bool:
        """Return whether the caller may take this for a whole answer."""
        return self.clean and self.outcome == "completed"


def expected_text(prompt: str) -> str:
    """Return the answer that a stand-in engine gives to one user message."""
    return "".join(answer_tokens(prompt, answer_length(prompt, _NO_LIMIT)))


class Caller:
    """Makes calls over a pool of connections."""

    def __init__(self, connections: int = 1000) -> None:
        self._pool = httpcore.AsyncConnectionPool(max_connections=connections)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def call(self, order: Order) -> Reply:
        """Make a completion call and return what came back, however it ended."""
        messages = [{"role": "user", "content": order.prompt}]
        content = {"model": order.model, "messages": messages, "stream": order.stream}
        return await self.send(order, json.dumps(content).encode())

    async def send(self, order: Order, body: bytes) -> Reply:
        """Send a body as it is and return what came back."""
        reply = Reply()
        began = time.monotonic()
        received = bytearray()
        whole = False
        try:
            with anyio.move_on_after(order.deadline + _PATIENCE_SECONDS):
                await self._exchange(order, body, reply, began, received)
                whole = True
        except _FAILURES:
            pass
        reply.whole = time.monotonic() - began
        _take(bytes(received), order, reply)
        reply.closed = whole
        reply.clean = reply.clean and whole
        if not reply.clean and reply.outcome in ("", "completed"):
            reply.outcome = "broken"
        return reply

    async def _exchange(
        self, order: Order, body: bytes, reply: Reply, began: float, received: bytearray
    ) -> None:
        timeout = {
            "connect": 1.0,
            "pool": 5.0,
            "read": order.deadline + _PATIENCE_SECONDS,
            "write": 5.0,
        }
        async with self._pool.stream(
            "POST",
            f"http://{order.address}{order.path}",
            headers=_headers(order, body),
            content=body,
            extensions={"timeout": timeout},
        ) as response:
            headers = {name.lower(): value.decode() for name, value in response.headers}
            reply.status = response.status
            reply.outcome = headers.get(b"lotushill-outcome", "")
            reply.request = headers.get(b"lotushill-request", "")
            reply.retry_after = float(headers.get(b"retry-after", "0"))
            async for chunk in response.aiter_stream():
                if not reply.first_token:
                    reply.first_token = time.monotonic() - began
                received += chunk


def _take(received: bytes, order: Order, reply: Reply) -> None:
    if order.stream and reply.status == _OK:
        _take_stream(received, reply)
    elif reply.status:
        _take_whole(received, reply)


def _headers(order: Order, body: bytes) -> list[tuple[bytes, bytes]]:
    headers = [
        ("host", order.address),
        ("content-length", str(len(body))),
        ("content-type", "application/json"),
        ("authorization", f"Bearer {order.key}"),
        ("lotushill-service", order.service),
        ("lotushill-class", order.klass),
        ("lotushill-deadline", str(order.deadline)),
        ("lotushill-repeatable", "yes" if order.repeatable else "no"),
    ]
    if order.idempotency_key:
        headers.append(("idempotency-key", order.idempotency_key))
    return [(name.encode(), value.encode()) for name, value in headers]


def _take_stream(received: bytes, reply: Reply) -> None:
    parts: list[str] = []
    for line in received.split(b"\n"):
        if line == b"data: [DONE]":
            reply.clean = True
            reply.outcome = "completed"
        elif line.startswith(_EVENT):
            value = json.loads(line[len(_EVENT) :])
            if "error" in value:
                reply.outcome = value["error"]["type"]
                reply.code = value["error"]["code"]
            else:
                parts.append(value["choices"][0]["delta"]["content"])
    reply.text = "".join(parts)


def _take_whole(received: bytes, reply: Reply) -> None:
    reply.clean = True
    try:
        value = json.loads(received)
    except ValueError:
        return
    if "error" in value and isinstance(value["error"], dict):
        reply.code = value["error"].get("code", "")
    elif "choices" in value:
        reply.text = value["choices"][0]["message"]["content"]
    elif "echo" in value:
        reply.text = value["echo"]
