"""Tests that all gateways determine the same limit owner, and that the fractions on both sides of a
network partition add up to no more than one."""

from __future__ import annotations

import unittest

from lotushill.limits.limit_owners import LimitOwners
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.load.limits.emulated_members import EmulatedMembers
from lotushill.membership.schedulers import Schedulers
from lotushill.routing.upstream import Upstream

ENGINES = [Upstream(f"e{n}", "llm", f"10.0.0.{n}:1", f"h{n % 4}", 8, False) for n in range(20)]


def states(count: int) -> list[MemberState]:
    return [
        MemberState(f"gw-{n}", f"10.1.0.{n}:7", f"h{n % 4}", "r", 1, MemberPhase.ALIVE)
        for n in range(count)
    ]


def view_of(known: list[MemberState], number: int) -> tuple[EmulatedMembers, LimitOwners]:
    members = EmulatedMembers(known[number], [item for item in known if item != known[number]])
    return members, LimitOwners(members, Schedulers(members), lambda: 0)


class TestLimitOwners(unittest.TestCase):
    def test_all_gateways_determine_the_same_owner_in_the_hall_of_the_engine(self) -> None:
        for count in (9, 81):
            with self.subTest(gateways=count):
                known = states(count)
                views = [view_of(known, number)[1] for number in range(count)]
                for engine in ENGINES:
                    (owner,) = {view.owner_of(engine).name for view in views}
                    self.assertEqual(engine.hall, views[0].owner_of(engine).hall)
                    own = [view.own_name for view in views if view.is_own(engine)]
                    self.assertEqual([owner], own)

    def test_without_a_gateway_in_its_hall_any_other_one_is_the_owner(self) -> None:
        known = [item for item in states(9) if item.hall != "h1"]
        views = [view_of(known, number)[1] for number in range(len(known))]
        self.assertEqual(1, len({view.owner_of(ENGINES[1]).name for view in views}))

    def test_a_single_gateway_is_the_owner(self) -> None:
        self.assertTrue(view_of(states(1), 0)[1].is_own(ENGINES[3]))

    def test_the_fractions_of_both_sides_of_a_partition_are_at_most_one(self) -> None:
        known = states(9)
        fractions = []
        for number, side in ((0, known[:4]), (5, known[4:])):
            members, owners = view_of(known, number)
            for item in known:
                if item not in side:
                    members.mark_lost(item.name)
            fractions.append(owners.usable_fraction())
        self.assertLessEqual(sum(fractions), 1.0 + 1e-9)

    def test_registered_gateways_that_are_never_seen_count_as_lost(self) -> None:
        members = EmulatedMembers(states(1)[0], [])
        self.assertEqual(
            0.25, LimitOwners(members, Schedulers(members), lambda: 4).usable_fraction()
        )
