"""Who waits, who goes first, and who is given up.

The load: all slots of all engines are taken, and more comes than ends.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.placement.choice import Choice
from lotushill.placement.choice import NoChoice
from lotushill.placement.fleet import Fleet
from lotushill.placement.messages import Began
from lotushill.placement.messages import Ended
from lotushill.routing.service import Service
from lotushill.waiting.admission_queue import AdmissionQueue
from lotushill.waiting.entry import Queued
from lotushill.waiting.entry import QueueEntry
from lotushill.waiting.slot_turns import RemoteQueues
from tests.waiting.entries import SERVICE
from tests.waiting.entries import UPSTREAMS
from tests.waiting.entries import chat
from tests.waiting.entries import filled_fleet
from tests.waiting.entries import letter
from tests.waiting.entries import placed
from tests.waiting.entries import triage
from tests.waiting.entries import waiting

if TYPE_CHECKING:
    from lotushill.placement.need import Need

START = 100.0


class LeastFirst:
    """Shares of teams by name."""

    def excess_standing(self, need: Need, now: float) -> float:
        del now
        return {"had much": 3.0, "had some": 1.5}.get(need.team, 0.0)


class Told:
    """Callers that come back as they were told."""

    def is_due(self, caller: int, now: float) -> bool:
        del now
        return caller == 7


class TestLine(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = filled_fleet(START)
        self.line = AdmissionQueue(self.fleet, RemoteQueues("s0"))

    def place(self, entry: QueueEntry, now: float = START) -> Choice | NoChoice | Queued:
        return self.line.place(entry, SERVICE, UPSTREAMS, now)

    def due(self, now: float) -> list[tuple[int, bool]]:
        """Return the keys of what is due, with whether it was placed, and count that in."""
        found = []
        for entry, answer in self.line.due(SERVICE, UPSTREAMS, now):
            if isinstance(answer, Choice):
                told = placed(entry.key, answer.upstream.id, entry.need)
                self.fleet.start(told, SERVICE, now)
            found.append((entry.key, isinstance(answer, Choice)))
        return found

    def end(self, number: int, now: float) -> None:
        self.fleet.end(Ended(number), now)

    def test_nothing_waits_while_engines_have_room(self) -> None:
        line = AdmissionQueue(Fleet("z"), RemoteQueues("s0"))
        found = line.place(waiting(1, letter()), SERVICE, UPSTREAMS, START)
        self.assertIsInstance(found, Choice)
        self.assertEqual(0, len(line.requests))

    def test_a_plain_service_has_no_line(self) -> None:
        plain = Service("app", 100, None)
        self.assertIsInstance(self.line.place(waiting(1, chat()), plain, UPSTREAMS, START), Choice)

    def test_what_finds_no_slot_waits_and_is_placed_when_one_comes_free(self) -> None:
        self.assertIsInstance(self.place(waiting(1, chat())), Queued)
        self.assertEqual([], self.due(START + 0.01))
        self.end(1_003, START + 0.02)
        self.assertEqual([(1, True)], self.due(START + 0.02))
        self.assertEqual(0, len(self.line.requests))

    def test_each_slot_is_given_once(self) -> None:
        for key in range(1, 6):
            self.place(waiting(key, chat()))
        self.end(1_003, START + 0.02)
        self.end(1_004, START + 0.02)
        self.assertEqual([(1, True), (2, True)], self.due(START + 0.02))
        self.assertEqual([], self.due(START + 0.03))

    def test_the_more_urgent_go_first_and_then_who_came_first(self) -> None:
        self.place(waiting(1, triage(), START))
        self.place(waiting(2, chat(), START + 0.02), START + 0.02)
        self.place(waiting(3, chat(), START + 0.01), START + 0.02)
        for number in (1_002, 1_003, 1_004):
            self.end(number, START + 0.03)
        self.assertEqual([3, 2, 1], [key for key, _ in self.due(START + 0.03)])

    def test_a_short_one_goes_to_a_queue_in_which_it_is_in_time(self) -> None:
        """Held here it would hear of a free slot later than the engine that frees it."""
        slow = replace(chat(), target=60.0)
        self.assertIsInstance(self.place(waiting(1, slow)), Choice)
        self.assertIsInstance(self.place(waiting(2, chat())), Queued)
        later = START + 0.01
        found = self.place(waiting(3, slow, later), later)
        self.assertIsInstance(found, Queued, "it stands behind the other")

    def test_a_newcomer_does_not_overtake_those_that_wait(self) -> None:
        self.place(waiting(1, chat()))
        self.end(1_003, START + 0.02)
        self.assertIsInstance(self.place(waiting(2, chat(), START + 0.02), START + 0.02), Queued)
        self.assertEqual([(1, True)], self.due(START + 0.03))

    def test_who_can_be_in_time_goes_before_who_cannot(self) -> None:
        self.place(waiting(1, chat(), START))
        late = START + 0.7
        self.place(waiting(2, chat(), late), late)
        self.end(1_003, late)
        self.assertEqual([(2, True)], self.due(late))

    def test_who_had_less_of_its_share_goes_first_and_who_returns_before_that(self) -> None:
        """Who returns goes before others of its share, and of a team over it before nobody."""
        for first, needs in (
            (2, (chat(team="had much"), chat(team="had little"), chat(caller=7))),
            (1, (chat(team="had much", caller=7), chat(team="had little"), chat(team="had some"))),
        ):
            with self.subTest(first=first):
                self.fleet = filled_fleet(START)
                line = self.line = AdmissionQueue(
                    self.fleet, RemoteQueues("s0"), LeastFirst(), Told()
                )
                for key, need in enumerate(needs):
                    line.place(waiting(key, need), SERVICE, UPSTREAMS, START)
                for number in (1_002, 1_003, 1_004):
                    self.end(number, START + 0.01)
                order = [key for key, _ in self.due(START + 0.01)]
                self.assertEqual([first, 3 - first, 0], order)

    def test_a_long_one_is_given_up_as_soon_as_it_cannot_be_in_time(self) -> None:
        entry = waiting(1, letter())
        self.assertIsInstance(self.place(entry), Queued)
        target = START + entry.need.target
        self.assertEqual([], self.due(target - 0.5))
        self.assertEqual([(1, False)], self.due(target))
        self.assertEqual(0, len(self.line.requests))

    def test_a_short_one_waits_as_long_as_its_client(self) -> None:
        entry = waiting(1, chat())
        self.place(entry)
        self.assertEqual([], self.due(START + 1.0))
        self.assertEqual([(1, False)], self.due(START + entry.need.first_event_timeout))

    def test_a_refusal_after_a_wait_is_final(self) -> None:
        self.place(waiting(1, letter()))
        for _, found in self.line.due(SERVICE, UPSTREAMS, START + 2.0):
            assert isinstance(found, NoChoice)
            self.assertTrue(found.final)
            self.assertGreaterEqual(found.retry_after, 1.0)

    def test_a_long_one_behind_a_long_line_is_refused_at_once(self) -> None:
        for key in range(5):
            self.place(waiting(key, letter()))
        found = self.place(waiting(9, letter()))
        assert isinstance(found, NoChoice)
        self.assertTrue(found.final)

    def test_an_urgent_one_is_not_refused_while_larger_ones_begin(self) -> None:
        now = START + 1.0
        for key in range(60):
            came = START + key / 60
            self.place(waiting(key, chat(), came), came)
        self.assertIsInstance(self.place(waiting(90, chat(), now), now), NoChoice)
        self.end(1_002, now)
        self.fleet.start(placed(2_000, "e0", letter()), SERVICE, now)
        self.assertIsInstance(self.place(waiting(91, chat(), now), now), Queued)

    def test_what_began_after_a_wait_in_an_engine_counts_from_then(self) -> None:
        """Queued for six seconds it would be forgotten, and begin while urgent ones are refused."""
        told = replace(placed(2_000, "e0", letter()), began=False)
        self.fleet.start(told, SERVICE, START - 6.0)
        self.assertFalse(self.fleet.shedding.must_serve(chat(), START))
        self.fleet.begin(_began(2_000), START)
        self.assertTrue(self.fleet.shedding.must_serve(chat(), START))

    def test_a_renewal_keeps_its_place_and_none_waits_twice(self) -> None:
        self.place(waiting(1, chat(), START))
        self.place(waiting(2, chat(), START + 0.01), START + 0.01)
        for moment in (0.2, 0.4):
            renewed = replace(waiting(1, chat(), START), renewed_at=START + moment)
            self.assertIsInstance(self.place(renewed, START + moment), Queued)
        self.assertEqual(2, len(self.line.requests))
        self.end(1_003, START + 0.41)
        self.assertEqual([(1, True)], self.due(START + 0.41))

    def test_one_that_comes_from_another_holder_keeps_its_place(self) -> None:
        self.place(waiting(1, chat(), START + 0.1), START + 0.1)
        moved = waiting(2, replace(chat(), waited=0.2), START)
        self.place(replace(moved, renewed_at=START + 0.2), START + 0.2)
        self.end(1_003, START + 0.21)
        self.assertEqual([(2, True)], self.due(START + 0.21))

    def test_while_urgent_ones_had_to_wait_a_long_one_does_not_begin(self) -> None:
        self.place(waiting(1, letter(), START + 0.3), START + 0.3)
        self.place(waiting(2, chat(), START), START + 0.3)
        for number in range(1_002, 1_010):
            self.end(number, START + 0.3)
        self.assertEqual([(2, True)], self.due(START + 0.3))
        self.assertEqual([(1, True)], self.due(START + 0.9))


def _began(number: int) -> Began:
    return Began(number, 0.5)
