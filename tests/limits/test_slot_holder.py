"""Which gateways are told of an attempt that has ended.

The failure: gateways that had been restarted, or had been cut off, took different ones for the
owner of a brittle upstream. Each owner knew the rejections that it had caused itself, and together
they caused more than the upstream bore.
"""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING
from typing import Any

from lotushill.limits.limit_owners import LimitOwners
from lotushill.limits.slot_holder import SlotHolder
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.slot_messages import SlotEnd
from lotushill.load.limits.emulated_members import EmulatedMembers
from lotushill.membership.schedulers import Schedulers
from lotushill.routing.upstream import Upstream

if TYPE_CHECKING:
    from lotushill.links.slot_messages import SlotReport

NOW = 1000.0
UPSTREAM = Upstream("e1", "llm", "10.0.0.1:1", "h0", 4, False)


def member(number: int) -> MemberState:
    return MemberState(f"gw-{number}", "", f"h{number % 2}", "r", 1, MemberPhase.ALIVE)


class TestSlotHolder(unittest.TestCase):
    def setUp(self) -> None:
        members: Any = EmulatedMembers(member(0), [member(number) for number in range(1, 6)])
        self.owners = LimitOwners(members, Schedulers(members), lambda: 6)
        self.told: list[str] = []
        self.holder = SlotHolder(self.owners, self.note, random.Random(1))
        self.owner = self.owners.owner_of(UPSTREAM).name

    def note(self, _: SlotReport, owner: MemberState) -> None:
        self.told.append(owner.name)

    def end(self, how: SlotEnd, owner: str) -> list[str]:
        """Return the gateways that are told of an attempt whose slot `owner` granted."""
        number = self.holder.new_number()
        self.holder.begin(number, UPSTREAM, NOW + 10.0, owner)
        self.holder.end(number, how, NOW + 1.0)
        return self.told

    def test_the_owner_alone_is_told_of_an_attempt_that_was_served(self) -> None:
        self.assertEqual([self.owner], self.end(SlotEnd.SERVED, self.owner))

    def test_all_that_may_become_the_owner_are_told_of_a_rejection(self) -> None:
        candidates = self.owners.candidates(UPSTREAM)
        self.assertGreater(len(candidates), 1)
        self.assertEqual(sorted(candidates), self.end(SlotEnd.REJECTED, self.owner))

    def test_so_is_one_that_granted_the_slot_and_is_not_the_owner_any_more(self) -> None:
        self.assertIn("gw-1", self.end(SlotEnd.REJECTED, "gw-1"))

    def test_nobody_is_told_while_nothing_is_stated(self) -> None:
        self.assertEqual([], self.end(SlotEnd.REJECTED, ""))
