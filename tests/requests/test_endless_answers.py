"""An upstream sends bytes that are no answer, and does not stop before the connection is closed.

A gateway that collects them runs out of memory and is killed with all requests in progress; one
that only waits holds its caller until the deadline although another upstream could answer.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

from lotushill.requests.event_stream import MAX_EVENT_BYTES
from lotushill.routing.route import RouteKind
from tests.requests.rig import ReceivedAnswer
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import event

if TYPE_CHECKING:
    from tests.requests.rig import Script

_PIECE = b"x" * 65_536
_MAX_WRITTEN_BYTES = 64 * 1024 * 1024
"""Bytes after which an endless upstream takes the gateway to read without a bound."""
_HEAD = "200 OK\r\nServer: s\r\n"
_CHUNKED = "200 OK\r\nTransfer-Encoding: chunked\r\n"
_HEADER_LINES = b"".join(b"X-%d: y\r\n" % number for number in range(8_000))
_TIMEOUT_SECONDS = 20.0


def chunk(data: bytes) -> bytes:
    """Return some bytes as one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Endless:
    """Writes the begin of an answer and then one piece after another without end."""

    def __init__(self, begin: bytes, piece: bytes, head: str = "") -> None:
        self._begin = begin
        self._piece = piece
        self._head = head
        self.written = 0
        """Bytes written until the connection was closed."""

    async def __call__(self, seen: ReceivedRequest) -> None:
        if self._head:
            seen.answer(self._head)
        seen.writer.write(self._begin)
        while self.written < _MAX_WRITTEN_BYTES:
            seen.writer.write(self._piece)
            self.written += len(self._piece)
            await seen.writer.drain()
        # Without its end, the answer keeps the gateway waiting.
        await asyncio.sleep(_TIMEOUT_SECONDS)


def endless_heads() -> dict[str, Endless]:
    """Return upstreams whose heads do not end, by name."""
    status = b"HTTP/1.1 200 OK\r\n"
    return {
        "header lines": Endless(status, _HEADER_LINES),
        "one header line": Endless(status + b"X: ", _PIECE),
        "one header name": Endless(status, _PIECE),
        "one reason phrase": Endless(b"HTTP/1.1 200 ", _PIECE),
        "interim answers": Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
        "no HTTP": Endless(b"", _PIECE),
    }


def endless_bodies() -> dict[str, Endless]:
    """Return upstreams whose bodies do not end, by name."""
    return {
        "body without a length": Endless(b"", _PIECE, _HEAD),
        "chunks": Endless(b"", chunk(_PIECE), _CHUNKED),
        "a chunk extension": Endless(b"1;", _PIECE, _CHUNKED),
        "trailers": Endless(chunk(event(0)) + b"0\r\n", _HEADER_LINES, _CHUNKED),
    }


async def answers_whole(seen: ReceivedRequest) -> None:
    if seen.frames_events and "last-event-id" not in seen.headers:
        seen.answer_whole(event(0) + event(1))
    else:
        seen.answer_whole(event(1))


class TestEndlessAnswers(unittest.IsolatedAsyncioTestCase):
    async def call(
        self, endless: Endless, kind: RouteKind, resumable: bool = False
    ) -> ReceivedAnswer:
        """Return what the client gets if the upstream that is tried first is endless."""
        received: list[ReceivedRequest] = []

        async def either(seen: ReceivedRequest) -> None:
            received.append(seen)
            script: Script = endless if len(received) == 1 else answers_whole
            await script(seen)

        upstreams = [ScriptedUpstream([either]), ScriptedUpstream([either])]
        async with (
            asyncio.timeout(_TIMEOUT_SECONDS),
            Rig(upstreams, kind, resumable, timeout=_TIMEOUT_SECONDS) as rig,
        ):
            got = await rig.call()
        self.assertLess(endless.written, _MAX_WRITTEN_BYTES)
        return got

    async def test_a_head_without_end_costs_one_attempt(self) -> None:
        for kind in (RouteKind.IDEMPOTENT, RouteKind.STREAM):
            for name, endless in endless_heads().items():
                with self.subTest(name, kind=kind):
                    got = await self.call(endless, kind, resumable=kind is RouteKind.STREAM)
                    self.assertEqual((200, True), (got.status, got.whole))

    async def test_a_body_without_end_costs_one_attempt(self) -> None:
        for name, endless in endless_bodies().items():
            with self.subTest(name):
                got = await self.call(endless, RouteKind.IDEMPOTENT)
                self.assertEqual((200, True), (got.status, got.whole))

    async def test_a_stream_without_events_costs_one_attempt(self) -> None:
        for name, endless in endless_bodies().items():
            with self.subTest(name):
                got = await self.call(endless, RouteKind.STREAM, resumable=True)
                self.assertEqual((200, True), (got.status, got.whole))
                self.assertEqual(event(0) + event(1), got.body)

    async def test_an_answer_of_a_request_that_may_not_run_twice_ends_as_failed(self) -> None:
        for name, endless in {**endless_heads(), **endless_bodies()}.items():
            with self.subTest(name):
                got = await self.call(endless, RouteKind.NON_IDEMPOTENT)
                self.assertEqual(502, got.status)

    async def test_an_error_without_end_costs_one_attempt(self) -> None:
        endless = Endless(b"", _PIECE, "500 Internal Server Error\r\n")
        got = await self.call(endless, RouteKind.IDEMPOTENT)
        self.assertEqual((200, True), (got.status, got.whole))

    async def test_a_surplus_answer_without_end_costs_one_attempt(self) -> None:
        """An answer to another request is skipped, and the one that is due comes after it."""
        endless = Endless(b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n", _PIECE)
        got = await self.call(endless, RouteKind.IDEMPOTENT)
        self.assertEqual((200, True), (got.status, got.whole))

    async def test_a_long_event_in_many_pieces_is_delivered(self) -> None:
        long_event = b"id: 0\ndata: " + b"y" * (MAX_EVENT_BYTES // 2) + b"\n\n"

        async def answer(seen: ReceivedRequest) -> None:
            seen.start_events()
            for start in range(0, len(long_event), 1_000):
                seen.chunk(long_event[start : start + 1_000])
            seen.end_events()

        async with Rig([ScriptedUpstream([answer])], RouteKind.STREAM) as rig:
            got = await rig.call()
        self.assertEqual((200, True, long_event), (got.status, got.whole, got.body))
