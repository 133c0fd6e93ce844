"""The answer to one caller: started once, whole or visibly not."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from lotushill.callers.outcome import HEADER
from lotushill.callers.outcome import REQUEST_HEADER
from lotushill.callers.outcome import Outcome
from lotushill.callers.outcome import OutcomeKind
from lotushill.links.asgi import JSON_TYPE

if TYPE_CHECKING:
    from lotushill.links.asgi import Send

Headers = list[tuple[bytes, bytes]]

_HOP = frozenset((b"connection", b"keep-alive", b"transfer-encoding", b"content-length"))


class Answer:
    """What has been sent to a caller so far."""

    def __init__(self, request: str, send: Send) -> None:
        self.request = request
        self.started = False
        self.finished = False
        self._send = send

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed answer."""
        self.started = True
        own = [(REQUEST_HEADER, self.request.encode())]
        kept = [(name, value) for name, value in headers if name.lower() not in _HOP]
        await self._send({"type": "http.response.start", "status": status, "headers": kept + own})

    async def add(self, chunk: bytes) -> None:
        """Send one part of a streamed answer."""
        await self._send({"type": "http.response.body", "body": chunk, "more_body": True})

    async def finish_stream(self) -> None:
        """Close a streamed answer that is whole."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": b""})

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer with the outcome `completed`."""
        kept = [(name, value) for name, value in headers if name.lower() not in _HOP]
        await self._whole(status, kept, OutcomeKind.COMPLETED, body)

    async def give_up(self, outcome: Outcome) -> None:
        """Tell the caller at once of an outcome that is not a whole answer."""
        if self.finished:
            return
        body = json.dumps(outcome.to_plain(self.request)).encode()
        if self.started:
            # No closing chunk follows: the connection ends in a way that is plainly not whole.
            event = b"event: error\ndata: " + body + b"\n\n"
            await self._send({"type": "http.response.body", "body": event, "more_body": True})
            return
        headers = [JSON_TYPE]
        if outcome.retry_after:
            seconds = str(max(1, round(outcome.retry_after)))
            headers.append((b"retry-after", seconds.encode()))
        await self._whole(outcome.status, headers, outcome.kind, body)

    async def _whole(self, status: int, headers: Headers, kind: OutcomeKind, body: bytes) -> None:
        self.started = True
        self.finished = True
        own = [
            (REQUEST_HEADER, self.request.encode()),
            (HEADER, kind.value.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        start = {"type": "http.response.start", "status": status, "headers": headers + own}
        await self._send(start)
        await self._send({"type": "http.response.body", "body": body})
