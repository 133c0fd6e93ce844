from __future__ import annotations

import unittest

from lotushill.placement.choice import Choice
from lotushill.placement.reserve import with_reserve
from lotushill.routing.upstream import Upstream

SLOTS = 12


def choice(running: int) -> Choice:
    upstream = Upstream(f"b{running}", "llm", "10.0.0.1:80", "z", SLOTS, False)
    return Choice(upstream, 0.1, 0.1, 0, 0, 1.0, running=running, full=running >= SLOTS)


class TestReserve(unittest.TestCase):
    def open_at(self, urgent: int) -> list[int]:
        choices = with_reserve([choice(n) for n in range(SLOTS + 1)], urgent, SLOTS)
        return [item.running for item in choices if not item.full]

    def test_without_urgent_requests_all_slots_are_open(self) -> None:
        self.assertEqual(self.open_at(0), list(range(SLOTS)))

    def test_the_reserve_follows_the_urgent_ones_up_to_a_bound(self) -> None:
        self.assertGreater(len(self.open_at(13)), len(self.open_at(26)))
        self.assertEqual(self.open_at(60), self.open_at(600))

    def test_nobody_is_refused_while_half_of_the_slots_are_free(self) -> None:
        self.assertGreaterEqual(len(self.open_at(10_000)), SLOTS // 2)
