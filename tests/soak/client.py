"""Clients of the soak test: each uses a connection until it closes, then picks a gateway anew."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

from tests.requests.rig import ReceivedAnswer
from tests.requests.rig import read_answer
from tests.requests.rig import request_bytes
from tests.soak.deadly_parts import prompt_headers
from tests.soak.engine import DEADLY_BODY
from tests.soak.engine import VARYING_PREFIX
from tests.soak.engine import events
from tests.soak.records import DEADLINE_SECONDS
from tests.soak.records import LONG_DEADLINE_SECONDS
from tests.soak.records import Answer
from tests.soak.run_memory import LONG_EVENT_COUNT
from tests.soak.run_memory import LONG_PATH

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from tests.soak.ledger import Ledger

COMMON_BODY = b"a body that a quarter of all requests have"
_PATHS = {
    "any": "/p/x",
    "common": "/p/x",
    "once": "/once/x",
    "stream": "/stream/x",
    "deadly": "/p/deadly",
    "varying": "/p/varying",
    "long": f"{LONG_PATH}x",
    "prompt": "/stream/x",
    "deadly part": "/stream/x",
}
_STREAM_KINDS = ("stream", "long", "prompt", "deadly part")
_KINDS = ("any", "any", "common", "once", "stream")
_TIMEOUT_MARGIN_SECONDS = 2.0
"""Time beyond its deadline for which a client waits for an answer."""
_LONG_USAGE = f"Token-Usage: 50,{2 * LONG_EVENT_COUNT}\r\n"
"""Header of a request whose expected output, half of its largest, is as long as its answer."""
_NO_ANSWER = ReceivedAnswer(0, {}, b"", False)


class Client:
    """Sends one request after another, some of them with the same body as other clients."""

    _numbers = itertools.count(1)

    def __init__(self, addresses: Sequence[str], ledger: Ledger, rng: random.Random) -> None:
        self._addresses = addresses
        self._ledger = ledger
        self._rng = rng
        self._gateway = ""
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, pause: float, only: str = "") -> None:
        """Send requests about `pause` seconds apart until cancelled.

        Sends requests of kind `only`; if empty, all ordinary kinds.
        """
        while True:
            await self._send_request(only or self._rng.choice(_KINDS))
            await asyncio.sleep(pause * self._rng.uniform(0.5, 1.5))

    async def _send_request(self, kind: str) -> None:
        attempt = f"a{next(self._numbers)}"
        body = {
            "deadly": DEADLY_BODY,
            "varying": VARYING_PREFIX + attempt.encode(),
            "common": COMMON_BODY,
        }.get(kind, f"body of {attempt}".encode())
        sent_at = time.monotonic()
        answer = await self._exchange(attempt, body, kind)
        signed = "response-signature" in answer.headers
        expected = _expected_body(attempt, kind)
        is_stream = kind in _STREAM_KINDS
        in_order = not is_stream or not signed or expected.startswith(answer.body)
        self._ledger.answers.append(
            Answer(
                attempt,
                kind,
                sent_at,
                answer.status,
                answer.whole,
                signed and answer.body == expected,
                self._gateway,
                time.monotonic(),
                in_order,
                _deadline_seconds(kind),
            )
        )

    async def _exchange(self, attempt: str, body: bytes, kind: str) -> ReceivedAnswer:
        seconds = _deadline_seconds(kind)
        headers = f"Deadline-Ms: {int(seconds * 1000)}\r\n"
        if kind == "long":
            headers += _LONG_USAGE
        if kind in ("prompt", "deadly part"):
            headers += prompt_headers(kind == "deadly part", self._rng)
        try:
            async with asyncio.timeout(seconds + _TIMEOUT_MARGIN_SECONDS):
                reader, writer = self._stream or await self._connect()
                writer.write(request_bytes(attempt, headers, body, _PATHS[kind]))
                answer = await read_answer(reader)
        except (OSError, TimeoutError):
            answer = _NO_ANSWER
        if not answer.whole or answer.headers.get("connection") == "close":
            self.close()
        return answer

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        self._gateway = self._rng.choice(self._addresses)
        host, _, port = self._gateway.partition(":")
        self._stream = await asyncio.open_connection(host, int(port))
        return self._stream

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None


def _deadline_seconds(kind: str) -> float:
    return LONG_DEADLINE_SECONDS if kind == "long" else DEADLINE_SECONDS


def _expected_body(attempt: str, kind: str) -> bytes:
    """Return the complete answer to a request."""
    if kind == "long":
        return b"".join(events(attempt, LONG_EVENT_COUNT))
    return b"".join(events(attempt)) if kind in _STREAM_KINDS else f"{attempt} done".encode()
