"""Who reads the store: enough in each hall, and never more than are needed."""

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
    def test_each_hall_has_its_readers_whoever_is_turned_away(
        self, fleet: list[MemberState]
    ) -> None:
        for hall in {item.hall for item in fleet}:
            near = [item for item in fleet if item.hall == hall]
            healthy = [item for item in near if item.contact is not StoreContact.AWAY]
            reading = [item for item in healthy if is_reader(item, fleet)]
            wanted = READERS_PER_HALL if len({item.hall for item in fleet}) < 4 else 1
            self.assertEqual(min(wanted, len(healthy)), len(reading))

    @given(FLEETS)
    def test_all_agree_whatever_the_order_in_which_they_hold_the_others(
        self, fleet: list[MemberState]
    ) -> None:
        for item in fleet:
            self.assertEqual(is_reader(item, fleet), is_reader(item, list(reversed(fleet))))

    @given(FLEETS)
    def test_without_anybody_turned_away_nobody_stands_in(self, fleet: list[MemberState]) -> None:
        calm = [member(index, item.hall, StoreContact.READING) for index, item in enumerate(fleet)]
        self.assertFalse(any(is_substitute_reader(item, calm) for item in calm))

    @given(FLEETS)
    def test_several_read_while_nobody_of_a_hall_holds_a_configuration(
        self, fleet: list[MemberState]
    ) -> None:
        new = [replace(item, configuration=-1) for item in fleet]
        for hall in {item.hall for item in new}:
            near = [item for item in new if item.hall == hall]
            healthy = [item for item in near if item.contact is not StoreContact.AWAY]
            reading = [item for item in healthy if is_reader(item, new)]
            self.assertEqual(min(3, len(healthy)), len(reading))

    def test_one_that_is_alone_reads(self) -> None:
        alone = member(1, "z", StoreContact.PASSIVE)
        self.assertTrue(is_reader(alone, []))
