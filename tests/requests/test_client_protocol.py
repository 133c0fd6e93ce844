"""Limits for clients: connections with slow request heads or without requests are closed."""

from __future__ import annotations

import asyncio
import functools
import unittest

from lotushill.links.asgi import Receive
from lotushill.links.asgi import Scope
from lotushill.links.asgi import Send
from lotushill.links.asgi import send_response
from lotushill.links.http_server import HttpServer
from lotushill.requests.client_protocol import ClientProtocol
from lotushill.routing.limits import ClientLimits

TIMEOUT_SECONDS = 10.0
_FLOOD_BYTES = 32 * 1024 * 1024
"""Bytes after which a server takes a head for one that never ends too late."""


async def answer(scope: Scope, receive: Receive, send: Send) -> None:
    del scope, receive
    await send_response(send, 200, (), b"done")


class TestClientProtocol(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        limits = ClientLimits(header_seconds=0.1, idle_seconds=0.3)
        protocol = functools.partial(ClientProtocol, limits=lambda: limits)
        self.server = HttpServer(answer, "127.0.0.1:0", protocol=protocol)
        self.task = asyncio.create_task(self.server.serve())
        await self.server.wait_started()

    async def asyncTearDown(self) -> None:
        self.server.abort()
        await self.task

    async def exchange(self, *pieces: bytes) -> bytes:
        """Return all bytes that the server sends until it closes the connection."""
        host, _, port = self.server.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for piece in pieces:
            writer.write(piece)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            got = await reader.read()
        writer.close()
        return got

    async def test_a_head_that_never_ends_is_turned_away_as_not_run(self) -> None:
        got = await self.exchange(b"GET / HTTP/1.1\r\nHost: a")
        self.assertTrue(got.startswith(b"HTTP/1.1 408 "), got)

    async def test_a_head_without_a_bound_is_turned_away(self) -> None:
        """A head was collected for as long as a client may take to send it."""
        begin = b"GET / HTTP/1.1\r\nHost: a\r\n"
        pieces = {
            "one header": b"x" * 10_000,
            "headers": b"X: y\r\n" * 2_000,
            "empty lines": b"\r\n" * 5_000,
        }
        for name, piece in pieces.items():
            with self.subTest(name):
                first = b"" if name == "empty lines" else begin
                written = await self.flood(first + (b"X: " if name == "one header" else b""), piece)
                self.assertLess(written, _FLOOD_BYTES)

    async def flood(self, begin: bytes, piece: bytes) -> int:
        """Send pieces until the server closes the connection; return the number of bytes."""
        protocol = functools.partial(ClientProtocol, limits=lambda: ClientLimits(header_seconds=60))
        server = HttpServer(answer, "127.0.0.1:0", protocol=protocol)
        serving = asyncio.create_task(server.serve())
        await server.wait_started()
        host, _, port = server.address.partition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        written = 0
        try:
            writer.write(begin)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while written < _FLOOD_BYTES:
                    writer.write(piece)
                    written += len(piece)
                    await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()
            server.abort()
            await serving
        return written

    async def test_a_connection_without_a_request_is_closed(self) -> None:
        self.assertEqual(b"", await self.exchange())

    async def test_a_whole_head_is_served(self) -> None:
        got = await self.exchange(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        self.assertTrue(got.startswith(b"HTTP/1.1 200 "), got)
        self.assertTrue(got.endswith(b"done"), got)
