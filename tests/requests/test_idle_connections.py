"""Idle connections of all gateways together leave room at an upstream for connections in use."""

from __future__ import annotations

import unittest

from lotushill.requests.idle_connections import idle_connection_limit

MAX_CONNECTIONS = 310


def kept_by_all(gateways: int, upstream: str) -> int:
    return sum(
        idle_connection_limit(MAX_CONNECTIONS, gateways, upstream, f"gw-{n}")
        for n in range(gateways)
    )


class TestIdleConnections(unittest.TestCase):
    def test_all_together_leave_room_for_those_in_use(self) -> None:
        """With at least one for each gateway, 360 gateways kept 360 at a limit of 310."""
        for gateways in (1, 9, 81, 195, 360, 1000):
            for number in range(20):
                with self.subTest(gateways=gateways, upstream=number):
                    self.assertLess(kept_by_all(gateways, f"e{number}"), 0.65 * MAX_CONNECTIONS)

    def test_most_of_the_part_is_used(self) -> None:
        for gateways in (9, 81, 360):
            with self.subTest(gateways=gateways):
                kept = sum(kept_by_all(gateways, f"e{number}") for number in range(20))
                self.assertGreater(kept, 0.4 * 20 * MAX_CONNECTIONS * 0.65)

    def test_each_gateway_keeps_some_somewhere(self) -> None:
        for number in range(360):
            kept = sum(
                idle_connection_limit(MAX_CONNECTIONS, 360, f"e{n}", f"gw-{number}")
                for n in range(100)
            )
            self.assertGreater(kept, 20)

    def test_an_upstream_without_connections_gets_no_idle_ones(self) -> None:
        self.assertEqual(0, idle_connection_limit(0, 9, "e1", "gw-1"))
