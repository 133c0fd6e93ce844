"""What is partitioned from a gateway is told apart from what is dead, and healing is found."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.relaying.reachability import Reachability

NOW = 100.0
ADDRESSES = [f"10.0.0.{number}:1" for number in range(4)]


class TestReachability(unittest.TestCase):
    def setUp(self) -> None:
        self.reachability = Reachability()

    def part_from_two(self) -> None:
        self.reachability.note_partitioned(ADDRESSES[0], NOW)
        self.reachability.note_partitioned(ADDRESSES[1], NOW)

    def test_one_partitioned_upstream_does_not_part_the_others(self) -> None:
        self.assertFalse(self.reachability.note_partitioned(ADDRESSES[0], NOW))
        self.assertEqual(
            [True, False], [self.reachability.is_partitioned(item) for item in ADDRESSES[:2]]
        )

    def test_two_partitioned_upstreams_stand_for_all(self) -> None:
        self.part_from_two()
        self.assertTrue(self.reachability.is_partitioned_from_all)
        self.assertTrue(all(self.reachability.is_partitioned(item) for item in ADDRESSES))

    def test_bytes_of_another_upstream_tell_that_not_all_are_partitioned(self) -> None:
        self.reachability.note_heard(ADDRESSES[2], NOW - 0.1)
        self.part_from_two()
        self.assertFalse(self.reachability.is_partitioned_from_all)
        self.setUp()
        self.part_from_two()
        self.reachability.note_heard(ADDRESSES[2], NOW + 0.1)
        self.assertEqual(
            [True, True, False, False],
            [self.reachability.is_partitioned(item) for item in ADDRESSES],
        )

    def test_bytes_on_a_connection_that_lives_on_say_nothing_of_new_ones(self) -> None:
        self.part_from_two()
        self.reachability.note_heard(ADDRESSES[0], NOW + 0.1)
        self.assertTrue(self.reachability.is_partitioned_from_all)

    def test_the_first_that_is_reached_ends_the_partition_and_the_others_are_probed(self) -> None:
        self.part_from_two()
        self.assertTrue(self.reachability.note_reached(ADDRESSES[0]))
        self.assertEqual([ADDRESSES[1]], self.reachability.due_probes(NOW + 0.1))
        self.assertFalse(self.reachability.is_partitioned(ADDRESSES[3]))

    def test_one_upstream_a_second_is_probed_while_all_are_partitioned(self) -> None:
        for address in ADDRESSES:
            self.reachability.note_partitioned(address, NOW)
        probed = [
            address
            for tick in range(100)
            for address in self.reachability.due_probes(NOW + tick * 0.05)
        ]
        self.assertEqual(4, len(probed))
        self.assertEqual(set(ADDRESSES), set(probed))

    def test_upstreams_that_are_gone_are_forgotten(self) -> None:
        self.reachability.note_partitioned(ADDRESSES[0], NOW)
        self.reachability.retain_only({ADDRESSES[1]})
        self.assertEqual(0, self.reachability.partitioned_count)

    def test_a_partition_ends_when_all_upstreams_known_to_be_partitioned_are_gone(self) -> None:
        # Nothing would be probed any more, and the partition would never end.
        self.part_from_two()
        self.reachability.retain_only(set(ADDRESSES[2:]))
        self.assertFalse(self.reachability.is_partitioned(ADDRESSES[2]))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("partitioned", "reached", "heard")), st.sampled_from(ADDRESSES)
            ),
            max_size=20,
        )
    )
    def test_an_upstream_that_was_reached_last_is_not_partitioned_alone(
        self, events: list[tuple[str, str]]
    ) -> None:
        reachability = Reachability()
        for number, (kind, address) in enumerate(events):
            if kind == "partitioned":
                reachability.note_partitioned(address, NOW + number)
            elif kind == "heard":
                reachability.note_heard(address, NOW + number)
            else:
                reachability.note_reached(address)
                self.assertFalse(reachability.is_partitioned(address))
                self.assertFalse(reachability.is_partitioned_from_all)
