"""Connections that carry no request give way to new ones once there are as many as there may be."""

from __future__ import annotations

import unittest

from lotushill.clients.connection_limit import ConnectionLimit
from lotushill.clients.connection_limit import max_connections


class Connection:
    """A connection that records that it was closed."""

    def __init__(self, limit: ConnectionLimit) -> None:
        self.is_closed = False
        limit.add(self)

    def close_idle(self) -> None:
        self.is_closed = True


class TestConnectionLimit(unittest.TestCase):
    def setUp(self) -> None:
        self.limit = ConnectionLimit(3)

    def open(self, count: int = 1) -> list[Connection]:
        connections = []
        for _ in range(count):
            self.assertTrue(self.limit.make_room())
            connections.append(Connection(self.limit))
            self.limit.mark_idle(connections[-1])
        return connections

    def test_half_of_the_descriptors_are_for_clients(self) -> None:
        self.assertEqual((2050, 1), (max_connections(4100), max_connections(1)))

    def test_a_crowd_of_idle_connections_gives_way_in_order(self) -> None:
        connections = self.open(5)
        self.assertEqual(
            [True, True, False, False, False], [item.is_closed for item in connections]
        )
        self.assertEqual((3, 2), (len(self.limit), self.limit.closed_count))

    def test_the_one_without_a_request_for_longest_gives_way(self) -> None:
        first, second, third = self.open(3)
        self.limit.mark_busy(first)
        self.limit.mark_idle(first)
        self.limit.mark_busy(second)
        self.open()
        self.assertEqual([False, False, True], [first.is_closed, second.is_closed, third.is_closed])

    def test_there_is_no_room_among_connections_with_requests(self) -> None:
        for connection in self.open(3):
            self.limit.mark_busy(connection)
        self.assertFalse(self.limit.make_room())

    def test_a_connection_that_has_ended_leaves_room(self) -> None:
        connections = self.open(3)
        for connection in connections:
            self.limit.mark_busy(connection)
        self.limit.remove(connections[1])
        self.assertTrue(self.limit.make_room())
        self.limit.mark_idle(connections[1])
        self.assertEqual(2, len(self.limit))
