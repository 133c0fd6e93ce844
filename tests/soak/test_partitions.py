"""Gateways that are partitioned from all engines serve their callers through other gateways.

The failure: a gateway had one way to an engine, its own connection. While it was partitioned from
all engines, 1 to 10 of 100 first tries were served there and all of them at the others.
"""

from __future__ import annotations

import unittest

from tests.soak.light_loop import run_light
from tests.soak.partition_run import HALLS
from tests.soak.partition_run import run_partition
from tests.soak.silencing_proxy import Partition

_SECONDS = 7.0
_GATEWAYS = 9


class TestPartitions(unittest.TestCase):
    def check(self, partitioned: set[int], kind: Partition) -> None:
        result = run_light(run_partition(partitioned, kind, _SECONDS, _GATEWAYS))
        self.assertEqual(([], []), (result.faults, result.errors))
        self.assertGreater(result.partitioned.sent, 0)
        self.assertTrue(result.serves_partitioned, result)
        self.assertEqual(result.after.sent, result.after.served)

    def test_most_gateways_serve_while_their_connections_to_engines_hang(self) -> None:
        self.check({0, 1, 2, 3, 4}, Partition.HANG)

    def test_most_gateways_serve_while_their_connections_to_engines_are_reset(self) -> None:
        self.check({0, 1, 2, 3, 4}, Partition.RESET)

    def test_one_gateway_serves_while_new_connections_to_engines_are_refused(self) -> None:
        self.check({4}, Partition.REFUSE_NEW)

    def test_all_gateways_of_a_hall_serve_while_their_connections_are_reset(self) -> None:
        self.check(set(range(0, _GATEWAYS, HALLS)), Partition.RESET)

    def test_all_gateways_of_a_hall_serve_while_their_connections_hang(self) -> None:
        self.check(set(range(0, _GATEWAYS, HALLS)), Partition.HANG)
