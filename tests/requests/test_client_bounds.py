"""Bounds of client connections, within the test process: who is refused, closed and served."""

from __future__ import annotations

import asyncio
import functools
import time
import unittest
import unittest.mock
from typing import TYPE_CHECKING

from lotushill.clients.bounds import Bound
from lotushill.clients.bounds import ClientBounds
from lotushill.links.asgi import send_response
from lotushill.links.http_server import HttpServer
from lotushill.requests import client_application
from lotushill.requests.client_protocol import TARGET
from lotushill.requests.client_protocol import ClientProtocol
from lotushill.routing.limits import ClientLimits
from tests.clients.crowd import head
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import read_answer

if TYPE_CHECKING:
    from lotushill.links.asgi import Receive
    from lotushill.links.asgi import Scope
    from lotushill.links.asgi import Send
    from tests.requests.rig import ReceivedAnswer
    from tests.requests.rig import ReceivedRequest

_TIMEOUT_SECONDS = 20.0
_LONG_ANSWER = bytes(8_000_000)
_BODY_BYTES = 4_000_000
_LIMITS = ClientLimits(header_seconds=1.0, idle_seconds=0.5)


async def answer(scope: Scope, receive: Receive, send: Send) -> None:
    """Answer with the target, with many bytes for /long, without reading the body."""
    del receive
    target = scope[TARGET]
    await send_response(send, 200, (), _LONG_ANSWER if target == b"/long" else target)


class ServerCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.bounds = ClientBounds(8_000_000, 1_000, time.monotonic)
        protocol = functools.partial(ClientProtocol, limits=lambda: _LIMITS, bounds=self.bounds)
        self.server = HttpServer(answer, "127.0.0.1:0", protocol=protocol, bounds_buffers=True)
        self.task = asyncio.create_task(self.server.serve())
        await self.server.wait_started()

    async def asyncTearDown(self) -> None:
        self.server.abort()
        await self.task
        self.assertEqual((0, 0), (self.bounds.memory.used, len(self.bounds.connections)))

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.server.address.partition(":")
        return await asyncio.open_connection(host, int(port))

    async def read_until_closed(self, *pieces: bytes) -> bytes:
        """Send some bytes; return all that the server sends until it closes the connection."""
        reader, writer = await self.open()
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0)
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            got = await reader.read()
        writer.close()
        return got


class TestSentAhead(ServerCase):
    async def test_requests_sent_ahead_are_answered_in_order(self) -> None:
        requests = b"".join(
            b"POST /%d HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (n, n % 3, b"x" * (n % 3))
            for n in range(500)
        )
        reader, writer = await self.open()
        writer.write(requests)
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            bodies = [(await read_answer(reader)).body for _ in range(500)]
            writer.write(b"GET /last HTTP/1.1\r\n\r\n")
            last = await read_answer(reader)
        writer.close()
        await writer.wait_closed()
        self.assertEqual([b"/%d" % n for n in range(500)], bodies)
        self.assertEqual(b"/last", last.body)

    async def test_bytes_that_are_no_request_do_not_break_the_answer_before_them(self) -> None:
        got = await self.read_until_closed(b"GET /a HTTP/1.1\r\n\r\nno request\r\n\r\n")
        first, _, rest = got.partition(b"/a")
        self.assertTrue(first.startswith(b"HTTP/1.1 200 "), got)
        self.assertTrue(rest.startswith(b"HTTP/1.1 400 "), got)

    async def test_what_follows_an_upgrade_is_not_taken_for_a_request(self) -> None:
        upgrade = b"GET /a HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n"
        got = await self.read_until_closed(upgrade + b"GET /b HTTP/1.1\r\n\r\n")
        self.assertEqual((1, True), (got.count(b"HTTP/1.1 "), got.endswith(b"/a")))

    async def test_there_is_no_memory_for_what_is_sent_ahead(self) -> None:
        """The request before it is answered, and the end of the connection tells of the others."""
        other = self.bounds.memory.open(lambda: None)
        other.hold_unchecked(self.bounds.memory.limit - 40_000)
        got = await self.read_until_closed(b"GET /a HTTP/1.1\r\n\r\n" + b"GET /b HTTP/1.1\r\n\r\n")
        other.close()
        self.assertEqual((1, True), (got.count(b"HTTP/1.1 "), got.endswith(b"/a")))
        self.assertEqual(1, self.bounds.reached[Bound.SENT_AHEAD])


class TestHeads(ServerCase):
    async def test_a_head_over_the_limit_is_answered_before_it_ends(self) -> None:
        got = await self.read_until_closed(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 10_000)
        self.assertTrue(got.startswith(b"HTTP/1.1 431 "), got)
        self.assertEqual(1, self.bounds.reached[Bound.HEAD])

    async def test_a_head_without_memory_is_refused_as_not_run(self) -> None:
        other = self.bounds.memory.open(lambda: None)
        other.hold_unchecked(self.bounds.memory.limit - 10_000)
        got = await self.read_until_closed(b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 100)
        other.close()
        self.assertTrue(got.startswith(b"HTTP/1.1 503 "), got)
        self.assertIn(b"\r\nretry-after: 0.50\r\n", got.lower())

    async def test_a_trailer_is_no_header(self) -> None:
        seen: list[list[tuple[bytes, bytes]]] = []

        async def note_headers(scope: Scope, receive: Receive, send: Send) -> None:
            seen.append(list(scope["headers"]))
            await answer(scope, receive, send)

        server = HttpServer(note_headers, "127.0.0.1:0", protocol=ClientProtocol)
        serving = asyncio.create_task(server.serve())
        await server.wait_started()
        host, _, port = server.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nAttempt-Id: other\r\n\r\n"
        )
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            await read_answer(reader)
        writer.close()
        server.abort()
        await serving
        self.assertEqual([[(b"transfer-encoding", b"chunked")]], seen)


class TestBodies(ServerCase):
    async def test_a_connection_is_used_again_after_a_body_that_was_not_needed(self) -> None:
        reader, writer = await self.open()
        writer.write(b"POST /a HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n")
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            first = await read_answer(reader)
            writer.write(bytes(1_000_000) + b"GET /b HTTP/1.1\r\n\r\n")
            second = await read_answer(reader)
        writer.close()
        await writer.wait_closed()
        self.assertEqual((b"/a", b"/b"), (first.body, second.body))

    async def test_a_body_that_was_not_needed_and_does_not_end_closes_its_connection(self) -> None:
        got = await self.read_until_closed(b"POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nx")
        self.assertTrue(got.endswith(b"/a"), got)
        self.assertEqual(1, self.bounds.reached[Bound.BODY_AFTER_ANSWER])


class TestWaitsForMemory(unittest.IsolatedAsyncioTestCase):
    async def test_a_body_that_is_complete_ends_the_wait_for_its_memory(self) -> None:
        """The wait went on, and the request that ran already was given up as refused."""

        async def answer_whole(seen: ReceivedRequest) -> None:
            seen.answer_whole()

        rig = Rig([ScriptedUpstream([answer_whole])])
        rig.bounds = bounds = ClientBounds(2_000_000, 100, time.monotonic)
        # Short enough to arrive together, and longer than the memory that its head leaves.
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (35_000, bytes(35_000))
        async with asyncio.timeout(_TIMEOUT_SECONDS), rig:
            other = bounds.memory.open(lambda: None)
            reader, writer = await rig.connect()
            for number in range(2):
                other.hold_unchecked(bounds.memory.limit - bounds.memory.used - 40_000)
                writer.write(head(f"r{number}", "Transfer-Encoding: chunked") + body)
                got = await read_answer(reader)
                other.close()
                self.assertEqual(200, got.status)
                self.assertEqual((0, 0), (bounds.waiting_for_memory, bounds.reached[Bound.MEMORY]))
            writer.write(head("last", f"Content-Length: {1_000_000}"))
            while bounds.memory.used < 1_000_000:
                await asyncio.sleep(0.01)
            writer.close()


class TestUnreadAnswers(ServerCase):
    async def test_an_answer_that_is_not_taken_ends_with_its_connection(self) -> None:
        _, writer = await self.open()
        writer.write(b"GET /long HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            while not self.bounds.reached[Bound.UNREAD]:
                await asyncio.sleep(0.05)
            while self.server.connections():
                await asyncio.sleep(0.05)
        writer.close()

    async def test_a_last_answer_that_is_not_taken_ends_with_its_connection(self) -> None:
        _, writer = await self.open()
        writer.write(b"GET /long HTTP/1.1\r\nConnection: close\r\n\r\n")
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            while not self.bounds.reached[Bound.UNREAD]:
                await asyncio.sleep(0.05)
            while self.server.connections():
                await asyncio.sleep(0.05)
        writer.close()

    async def test_a_slow_reader_gets_its_whole_answer(self) -> None:
        reader, writer = await self.open()
        writer.write(b"GET /long HTTP/1.1\r\nConnection: close\r\n\r\n")
        got = 0
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            while piece := await reader.read(400_000):
                got += len(piece)
                await asyncio.sleep(0.02)
        writer.close()
        self.assertGreater(got, len(_LONG_ANSWER))
        self.assertEqual(0, self.bounds.reached[Bound.UNREAD])


class TestRefusedBodies(unittest.IsolatedAsyncioTestCase):
    async def call(self, rig: Rig, request_id: str) -> ReceivedAnswer:
        host, _, port = rig.server.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = bytes(_BODY_BYTES)
        writer.write(head(request_id, f"Content-Length: {len(body)}") + body)
        got = await read_answer(reader)
        writer.close()
        return got

    async def answer_to(self, sent: bytes) -> ReceivedAnswer:
        """Return the answer to some bytes of a request that no upstream may get."""
        async with asyncio.timeout(_TIMEOUT_SECONDS), Rig([ScriptedUpstream([])]) as rig:
            reader, writer = await rig.connect()
            writer.write(sent)
            got = await read_answer(reader)
            writer.close()
        return got

    async def test_a_body_that_states_more_than_the_limit_is_refused_at_once(self) -> None:
        got = await self.answer_to(head("r1", f"Content-Length: {2**40}"))
        self.assertEqual(413, got.status)

    async def test_a_body_that_does_not_end_is_answered_as_not_run(self) -> None:
        """It was answered with 400, after which callers do not come back."""
        with unittest.mock.patch.object(client_application, "_BODY_TIMEOUT_SECONDS", 0.2):
            got = await self.answer_to(head("r1", "Content-Length: 2") + b"x")
        self.assertEqual((408, "close"), (got.status, got.headers["connection"]))

    async def test_a_stalled_body_is_refused_once_another_needs_its_memory(self) -> None:
        async def answer_whole(seen: ReceivedRequest) -> None:
            seen.answer_whole()

        upstream = ScriptedUpstream([answer_whole])
        rig = Rig([upstream])
        rig.bounds = ClientBounds(int(1.5 * _BODY_BYTES / 0.75), 100, time.monotonic)
        async with asyncio.timeout(_TIMEOUT_SECONDS), rig:
            host, _, port = rig.server.address.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head("stalled", f"Content-Length: {_BODY_BYTES}") + b"x")
            statuses: list[int] = []
            while 200 not in statuses:
                got = await self.call(rig, f"whole-{len(statuses)}")
                statuses.append(got.status)
                if got.status == 503:
                    self.assertIn("retry-after", got.headers)
            stalled = await read_answer(reader)
            writer.close()
        self.assertEqual({200, 503}, {*statuses, stalled.status})
        self.assertEqual(503, stalled.status)
        self.assertIn("retry-after", stalled.headers)
        self.assertEqual([f"whole-{len(statuses) - 1}"], [seen.id for seen in upstream.requests])
        self.assertEqual(_BODY_BYTES, len(upstream.requests[0].body))
