from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.placement.reserve import only_reserved_left

SLOTS = 672


class TestReserve(unittest.TestCase):
    def test_all_slots_are_available_without_urgent_requests(self) -> None:
        self.assertFalse(only_reserved_left(SLOTS - 1, 0, SLOTS))
        self.assertTrue(only_reserved_left(SLOTS, 0, SLOTS))

    def test_reserve_grows_with_urgent_requests_up_to_a_bound(self) -> None:
        self.assertFalse(only_reserved_left(500, 60, SLOTS))
        self.assertTrue(only_reserved_left(500, 120, SLOTS))
        self.assertFalse(only_reserved_left(400, 300, SLOTS))

    @given(st.integers(0, SLOTS // 2), st.integers(0, SLOTS))
    def test_no_refusal_while_half_of_the_slots_are_free(self, held: int, urgent: int) -> None:
        self.assertFalse(only_reserved_left(held, min(urgent, held), SLOTS))
