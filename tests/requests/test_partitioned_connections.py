"""Requests under way on connections that a partition has made dead are given up if that is safe.

The failure: they waited until their deadline, although another gateway reached their upstream.
"""

from __future__ import annotations

import asyncio
import unittest

from lotushill.platform import request_head
from lotushill.requests.exceptions import PartitionedError
from lotushill.requests.upstream_connection import UpstreamConnection
from lotushill.requests.upstream_pool import UpstreamPool
from lotushill.routing.upstream import Upstream
from tests.requests.virtual_network import ClientTransport
from tests.virtual_time import run_virtually

UPSTREAM = Upstream("b0", "s", "10.0.0.1:1", "z", 8, False)
QUIET_SECONDS = 0.5


def waiting(pool: UpstreamPool, relay: str = "", may_repeat: bool = True) -> UpstreamConnection:
    """Return a connection on which a request waits for its answer."""
    connection = UpstreamConnection(request_head.answer_request_id, UPSTREAM.address, relay)
    connection.connection_made(ClientTransport(connection, asyncio.StreamReader()))
    connection.may_repeat = lambda: may_repeat
    connection.send("a1", b"GET", b"GET / HTTP/1.1\r\n\r\n")
    pool._in_use[connection] = UPSTREAM
    return connection


class TestPartitionedConnections(unittest.TestCase):
    def test_only_what_may_be_repeated_is_given_up_and_only_on_quiet_direct_connections(
        self,
    ) -> None:
        async def play() -> list[bool]:
            pool = UpstreamPool(request_head.answer_request_id)
            quiet = [
                waiting(pool),
                waiting(pool, may_repeat=False),
                waiting(pool, relay="gw-1"),
            ]
            await asyncio.sleep(QUIET_SECONDS)
            connections = [*quiet, waiting(pool)]
            pool.dialer.on_partitioned(UPSTREAM.address)
            return [item.is_open for item in connections]

        self.assertEqual([False, True, True, True], run_virtually(play()))

    def test_the_wait_for_the_answer_ends_at_once(self) -> None:
        async def play() -> None:
            pool = UpstreamPool(request_head.answer_request_id)
            connection = waiting(pool)
            read = asyncio.create_task(connection.read_head())
            await asyncio.sleep(QUIET_SECONDS)
            pool.dialer.on_partitioned(UPSTREAM.address)
            with self.assertRaises(PartitionedError):
                await read

        run_virtually(play())
