"""Clients of the soak test: each uses a connection until it closes, then picks a gateway anew."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

from tests.requests.rig import ReceivedAnswer
from tests.requests.rig import read_answer
from tests.requests.rig import request_bytes
from tests.soak.engine import DEADLY_BODY
from tests.soak.engine import VARYING_PREFIX
from tests.soak.engine import events
from tests.soak.ledger import DEADLINE_SECONDS
from tests.soak.ledger import Answer

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
}
_KINDS = ("any", "any", "common", "once", "stream")
_TIMEOUT_SECONDS = 5.0
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
        answer = await self._exchange(attempt, body, _PATHS[kind])
        signed = "response-signature" in answer.headers
        expected = b"".join(events(attempt)) if kind == "stream" else f"{attempt} done".encode()
        in_order = kind != "stream" or not signed or expected.startswith(answer.body)
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
            )
        )

    async def _exchange(self, attempt: str, body: bytes, path: str) -> ReceivedAnswer:
        headers = f"Deadline-Ms: {int(DEADLINE_SECONDS * 1000)}\r\n"
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                reader, writer = self._stream or await self._connect()
                writer.write(request_bytes(attempt, headers, body, path))
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
