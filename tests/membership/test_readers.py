"""Readers of the store: enough in each hall, and never more than needed."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.messages import StoreContact
from lotushill.membership.readers import READERS_PER_HALL
from lotushill.membership.readers import is_reader
from lotushill.membership.readers import is_substitute_reader


def member(index: int, hall: str, contact: StoreContact) -> MemberState:
    return MemberState(
        f"gw-{index}", f"10.0.0.{index}:1", hall, "r", 1, MemberPhase.ALIVE, 7, contact=contact
    )


FLEETS = st.lists(
    st.tuples(st.sampled_from(["z1", "z2", "z3", "z4", "z5"]), st.sampled_from(StoreContact)),
    min_size=1,
    max_size=40,
).map(lambda items: [member(index, *item) for index, item in enumerate(items)])


class TestReaders(unittest.TestCase):
    @given(FLEETS)
    def test_each_hall_has_enough_readers_served_by_the_store(
        self, fleet: list[MemberState]
    ) -> None:
        for hall in {item.hall for item in fleet}:
            near = [item for item in fleet if item.hall == hall]
            healthy = [item for item in near if item.contact is not StoreContact.AWAY]
            reading = [item for item in healthy if is_reader(item, fleet)]
            wanted = READERS_PER_HALL if len({item.hall for item in fleet}) < 4 else 1
            self.assertEqual(min(wanted, len(healthy)), len(reading))

    @given(FLEETS)
    def test_selection_does_not_depend_on_order_of_members(self, fleet: list[MemberState]) -> None:
        for item in fleet:
            self.assertEqual(is_reader(item, fleet), is_reader(item, list(reversed(fleet))))

    @given(FLEETS)
    def test_no_substitute_readers_while_the_store_serves_all(
        self, fleet: list[MemberState]
    ) -> None:
        served = [
            member(index, item.hall, StoreContact.READING) for index, item in enumerate(fleet)
        ]
        self.assertFalse(any(is_substitute_reader(item, served) for item in served))

    @given(FLEETS)
    def test_three_read_in_a_hall_without_configuration(self, fleet: list[MemberState]) -> None:
        unconfigured = [replace(item, configuration=-1) for item in fleet]
        for hall in {item.hall for item in unconfigured}:
            near = [item for item in unconfigured if item.hall == hall]
            healthy = [item for item in near if item.contact is not StoreContact.AWAY]
            reading = [item for item in healthy if is_reader(item, unconfigured)]
            self.assertEqual(min(3, len(healthy)), len(reading))

    def test_single_gateway_reads(self) -> None:
        alone = member(1, "z", StoreContact.PASSIVE)
        self.assertTrue(is_reader(alone, []))
