"""Connections through another gateway behave as direct ones, and lead to known upstreams only."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest
import unittest.mock
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute

from lotushill.links.peer_links import PeerLinks
from lotushill.links.relay_messages import RelayOpen
from lotushill.links.relay_messages import RelayOutcome
from lotushill.links.seal import Seal
from lotushill.platform import request_head
from lotushill.relaying.relay_server import RelayServer
from lotushill.requests.exceptions import UpstreamError
from lotushill.requests.relayed_connection import RelayFailedError
from lotushill.requests.relayed_connection import open_relayed
from lotushill.requests.upstream_connection import UpstreamConnection
from lotushill.standin.free_address import free_address

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SEAL = Seal((b"k" * 16,))
UNFRAMED = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n\r\n"
"""Head of an answer that ends with its connection."""
FRAMED = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 5\r\n\r\nwhole"


class TestRelayServer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.known: set[str] = set()
        self.reaches = True
        self.relay = RelayServer(self.known.__contains__, lambda: self.reaches)
        links = PeerLinks(
            "relay", SEAL, lambda _: None, lambda *_: None, lambda _: None, self.relay.serve
        )
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        self.serving = asyncio.create_task(listener.serve(links.accept))
        self.upstream_saw_end = asyncio.Event()

    async def asyncTearDown(self) -> None:
        self.serving.cancel()
        await asyncio.gather(self.serving, return_exceptions=True)

    async def listen(self, script: Script) -> str:
        """Start an upstream that runs `script` once a request arrived; return its address."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await reader.readuntil(b"\r\n\r\n")
                await script(reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                self.upstream_saw_end.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.known.add(f"{host}:{port}")
        return f"{host}:{port}"

    async def open(self, upstream: str, seal: Seal = SEAL) -> UpstreamConnection:
        return await open_relayed(
            self.address,
            RelayOpen("gw", upstream),
            seal,
            lambda: UpstreamConnection(request_head.answer_request_id, upstream, "relay"),
        )

    async def exchange(self, script: Script) -> UpstreamConnection:
        connection = await self.open(await self.listen(script))
        connection.send("a1", b"GET", b"GET / HTTP/1.1\r\n\r\n")
        await connection.read_head()
        return connection

    async def outcome(self, upstream: str) -> RelayOutcome | None:
        with self.assertRaises(RelayFailedError) as raised:
            await self.open(upstream)
        return raised.exception.outcome

    async def test_an_answer_is_relayed_and_the_connection_can_be_reused(self) -> None:
        async def answer(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(FRAMED)

        connection = await self.exchange(answer)
        self.assertEqual(b"whole", await connection.read())
        self.assertEqual(b"", await connection.read())
        self.assertTrue(connection.is_reusable)
        self.assertEqual(1, self.relay.open_count)
        connection.close()

    async def test_an_answer_without_a_length_ends_with_the_upstreams_connection(self) -> None:
        async def answer(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(UNFRAMED + b"body")
            writer.close()

        connection = await self.exchange(answer)
        body = b""
        while piece := await connection.read():
            body += piece
        self.assertEqual(b"body", body)

    async def test_an_answer_without_a_length_is_truncated_if_the_upstream_resets(self) -> None:
        async def answer(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(UNFRAMED + b"body")
            await writer.drain()
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            writer.transport.abort()

        connection = await self.exchange(answer)
        await self.assert_truncated(connection)

    async def test_an_answer_without_a_length_is_truncated_if_the_relay_ends(self) -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(UNFRAMED + b"body")
            await reader.read()

        connection = await self.exchange(answer)
        await connection.read()
        self.serving.cancel()
        await self.assert_truncated(connection)

    async def assert_truncated(self, connection: UpstreamConnection) -> None:
        with self.assertRaises(UpstreamError):
            while await connection.read():
                pass

    async def test_a_client_that_leaves_ends_the_connection_to_the_upstream(self) -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(UNFRAMED)
            await reader.read()
            self.upstream_saw_end.set()

        connection = await self.exchange(answer)
        connection.close()
        async with asyncio.timeout(10.0):
            await self.upstream_saw_end.wait()

    async def test_a_dead_address_is_refused(self) -> None:
        address = free_address()
        self.known.add(address)
        self.assertIs(RelayOutcome.REFUSED, await self.outcome(address))

    async def test_an_upstream_that_resets_while_it_is_connected_to_is_unreachable(self) -> None:
        """The error ended the listener of the gateway, and with it the process.

        A transport of uvloop has no socket any more once its connection is closed.
        """
        stream = unittest.mock.AsyncMock()
        stream.extra = unittest.mock.Mock(side_effect=AttributeError("getpeername"))
        self.known.add("127.0.0.1:1")
        with unittest.mock.patch("anyio.connect_tcp", return_value=stream):
            self.assertIs(RelayOutcome.UNREACHABLE, await self.outcome("127.0.0.1:1"))
        stream.aclose.assert_awaited()
        self.assertFalse(self.serving.done())

    async def test_an_address_of_no_known_upstream_is_not_connected_to(self) -> None:
        async def answer(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(FRAMED)

        address = await self.listen(answer)
        self.known.clear()
        self.assertIs(RelayOutcome.UNKNOWN, await self.outcome(address))

    async def test_a_gateway_that_is_partitioned_or_stops_says_so_at_once(self) -> None:
        self.known.add(address := free_address())
        self.reaches = False
        self.assertIs(RelayOutcome.UNAVAILABLE, await self.outcome(address))
        self.reaches, self.relay.accepts_connections = True, False
        self.assertIs(RelayOutcome.UNAVAILABLE, await self.outcome(address))

    async def test_a_process_without_the_key_gets_no_connection(self) -> None:
        async def answer(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(FRAMED)

        address = await self.listen(answer)
        with self.assertRaises(RelayFailedError):
            await self.open(address, Seal((b"other key of 16b",)))
        self.assertEqual(0, self.relay.open_count)
