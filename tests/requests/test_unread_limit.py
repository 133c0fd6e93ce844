"""A gateway accepts more connections than it can read, and answers all of them too late."""

from __future__ import annotations

import asyncio
import functools
import socket
import time
import unittest
from unittest.mock import patch

from lotushill.links.http_server import HttpServer
from lotushill.links.unread_time import unread_seconds
from lotushill.requests.client_protocol import ClientProtocol
from lotushill.requests.unread_limit import MAX_UNREAD_SECONDS
from lotushill.requests.unread_limit import UnreadLimit
from lotushill.standin.free_address import free_address
from tests.requests.rig import read_answer
from tests.requests.rig import request_bytes

_WAIT_SECONDS = 0.05


class TestUnreadSeconds(unittest.TestCase):
    def test_it_is_the_time_since_the_request_arrived(self) -> None:
        with (
            socket.create_server(("127.0.0.1", 0)) as listener,
            socket.create_connection(listener.getsockname()) as client,
        ):
            client.sendall(b"GET / HTTP/1.1\r\n\r\n")
            time.sleep(_WAIT_SECONDS)
            accepted, _ = listener.accept()
            with accepted:
                self.assertGreaterEqual(unread_seconds(accepted), _WAIT_SECONDS / 2)

    def test_it_is_zero_where_the_system_cannot_tell(self) -> None:
        self.assertEqual(0.0, unread_seconds(None))
        first, second = socket.socketpair()
        with first, second:
            self.assertEqual(0.0, unread_seconds(first))


class TestUnreadLimit(unittest.TestCase):
    def test_only_connections_that_waited_too_long_are_closed(self) -> None:
        limit = UnreadLimit(lambda: True)
        self.assertTrue(limit.admits(MAX_UNREAD_SECONDS))
        self.assertFalse(limit.admits(MAX_UNREAD_SECONDS + 0.01))
        self.assertEqual(1, limit.closed_count)

    def test_nothing_is_closed_without_another_gateway(self) -> None:
        limit = UnreadLimit(lambda: False)
        self.assertTrue(limit.admits(10.0))
        self.assertEqual(0, limit.closed_count)


class TestClosedConnections(unittest.IsolatedAsyncioTestCase):
    async def test_a_late_connection_is_closed_unread_and_an_open_one_is_served_on(self) -> None:
        served: list[str] = []

        async def app(scope: object, receive: object, send: object) -> None:
            del receive
            served.append(scope["path"])  # type: ignore[index]
            start = {"type": "http.response.start", "status": 200, "headers": []}
            await send({**start, "headers": [(b"content-length", b"0")]})  # type: ignore[operator]
            await send({"type": "http.response.body", "body": b""})  # type: ignore[operator]

        limit = UnreadLimit(lambda: True)

        protocol = functools.partial(ClientProtocol, admits=limit.admits)
        server = HttpServer(app, free_address(), protocol=protocol)
        serving = asyncio.create_task(server.serve())
        await server.wait_started()
        host, _, port = server.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request_bytes("r1", path="/first"))
        self.assertEqual(200, (await read_answer(reader)).status)
        with patch("lotushill.requests.client_protocol.unread_seconds", lambda _: 1.0):
            late_reader, late_writer = await asyncio.open_connection(host, int(port))
            late_writer.write(request_bytes("r2", path="/late"))
            self.assertEqual(0, (await read_answer(late_reader)).status)
            writer.write(request_bytes("r3", path="/third"))
            self.assertEqual(200, (await read_answer(reader)).status)
        for each in (writer, late_writer):
            each.close()
        server.abort()
        await serving
        self.assertEqual((["/first", "/third"], 1), (served, limit.closed_count))
