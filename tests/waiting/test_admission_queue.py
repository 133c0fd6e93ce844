"""Tests of queueing, order and refusal in the admission queue.

All slots of all engines are taken, and more requests arrive than end.
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
from tests.waiting.entries import SLOTS
from tests.waiting.entries import UPSTREAMS
from tests.waiting.entries import chat
from tests.waiting.entries import filled_fleet
from tests.waiting.entries import letter
from tests.waiting.entries import placed
from tests.waiting.entries import queue_entry
from tests.waiting.entries import triage

if TYPE_CHECKING:
    from lotushill.placement.need import Need

START = 100.0


class FakeTeamStandings:
    """Fake team shares, by the name of the team."""

    def excess_standing(self, need: Need, now: float) -> float:
        del now
        return {"had much": 3.0, "had some": 1.5}.get(need.team, 0.0)


class FakePromisedReturns:
    """Fake promised returns: only caller 7 has one."""

    def is_due(self, caller: int, now: float) -> bool:
        del now
        return caller == 7


class TestAdmissionQueue(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = filled_fleet(START)
        self.queue = AdmissionQueue(self.fleet, RemoteQueues("s0"))

    def place(self, entry: QueueEntry, now: float = START) -> Choice | NoChoice | Queued:
        return self.queue.place(entry, SERVICE, UPSTREAMS, now)

    def due(self, now: float) -> list[tuple[int, bool]]:
        """Return the due keys and whether each was placed; add placed ones to the model."""
        due_entries = []
        for entry, answer in self.queue.due(SERVICE, UPSTREAMS, now):
            if isinstance(answer, Choice):
                message = placed(entry.key, answer.upstream.id, entry.need)
                self.fleet.start(message, SERVICE, now)
            due_entries.append((entry.key, isinstance(answer, Choice)))
        return due_entries

    def end(self, number: int, now: float) -> None:
        self.fleet.end(Ended(number), now)

    def test_no_request_is_queued_while_engines_have_free_slots(self) -> None:
        queue = AdmissionQueue(Fleet("z"), RemoteQueues("s0"))
        decision = queue.place(queue_entry(1, letter()), SERVICE, UPSTREAMS, START)
        self.assertIsInstance(decision, Choice)
        self.assertEqual(0, len(queue.requests))

    def test_a_plain_service_has_no_queue(self) -> None:
        plain = Service("app", 100, None)
        self.assertIsInstance(
            self.queue.place(queue_entry(1, chat()), plain, UPSTREAMS, START), Choice
        )

    def test_a_request_without_a_slot_is_queued_and_placed_when_one_is_free(self) -> None:
        self.assertIsInstance(self.place(queue_entry(1, chat())), Queued)
        self.assertEqual([], self.due(START + 0.01))
        self.end(1_003, START + 0.02)
        self.assertEqual([(1, True)], self.due(START + 0.02))
        self.assertEqual(0, len(self.queue.requests))

    def test_each_slot_is_filled_once(self) -> None:
        for key in range(1, 6):
            self.place(queue_entry(key, chat()))
        self.end(1_003, START + 0.02)
        self.end(1_004, START + 0.02)
        self.assertEqual([(1, True), (2, True)], self.due(START + 0.02))
        self.assertEqual([], self.due(START + 0.03))

    def test_requests_are_ordered_by_tier_and_then_by_arrival(self) -> None:
        self.place(queue_entry(1, triage(), START))
        self.place(queue_entry(2, chat(), START + 0.02), START + 0.02)
        self.place(queue_entry(3, chat(), START + 0.01), START + 0.02)
        for number in (1_002, 1_003, 1_004):
            self.end(number, START + 0.03)
        self.assertEqual([3, 2, 1], [key for key, _ in self.due(START + 0.03)])

    def test_a_short_request_is_sent_to_an_engine_queue_if_on_time_there(self) -> None:
        """In the queue it would get a free slot later than in the engine that frees it."""
        slow = replace(chat(), target=60.0)
        self.assertIsInstance(self.place(queue_entry(1, slow)), Choice)
        self.assertIsInstance(self.place(queue_entry(2, chat())), Queued)
        later = START + 0.01
        decision = self.place(queue_entry(3, slow, later), later)
        self.assertIsInstance(decision, Queued, "it must not overtake the queued request")

    def test_a_new_request_does_not_overtake_queued_ones(self) -> None:
        self.place(queue_entry(1, chat()))
        self.end(1_003, START + 0.02)
        self.assertIsInstance(
            self.place(queue_entry(2, chat(), START + 0.02), START + 0.02), Queued
        )
        self.assertEqual([(1, True)], self.due(START + 0.03))

    def test_a_stream_bound_to_a_full_version_does_not_hold_up_others(self) -> None:
        upstreams = [
            replace(item, version=f"v{index}") for index, item in enumerate(UPSTREAMS, start=1)
        ]
        for key, version in ((1, "v1"), (2, ""), (3, "v2")):
            need = replace(chat(), version=version)
            entry = queue_entry(key, need, START + 0.01 * key)
            self.queue.place(entry, SERVICE, upstreams, START + 0.01 * key)
        self.fleet.end(Ended(1_000 + 2 + SLOTS), START + 0.1)
        due = [
            (entry.key, decision.upstream.version)
            for entry, decision in self.queue.due(SERVICE, upstreams, START + 0.2)
            if isinstance(decision, Choice)
        ]
        self.assertEqual([(2, "v2")], due[:1])

    def test_requests_that_can_be_on_time_precede_late_ones(self) -> None:
        self.place(queue_entry(1, chat(), START))
        late = START + 0.7
        self.place(queue_entry(2, chat(), late), late)
        self.end(1_003, late)
        self.assertEqual([(2, True)], self.due(late))

    def test_teams_within_their_share_are_ordered_by_rank(self) -> None:
        """Engines are not told the rank, so that only the queue orders teams of a tier by it."""
        self.queue = AdmissionQueue(self.fleet, RemoteQueues("s0"), FakeTeamStandings())
        needs = (
            replace(chat(team="had much"), team_rank=0),
            replace(chat(team="last"), team_rank=2),
            replace(chat(team="first"), team_rank=0),
            triage(),
        )
        for key, need in enumerate(needs):
            self.place(queue_entry(key, need))
        for number in range(1_002, 1_006):
            self.end(number, START + 0.01)
        self.assertEqual([2, 1, 0, 3], [key for key, _ in self.due(START + 0.01)])

    def test_order_by_team_standing_and_promised_return(self) -> None:
        """A returning caller precedes equal teams only, and none if its team is over its share."""
        for first, needs in (
            (2, (chat(team="had much"), chat(team="had little"), chat(caller=7))),
            (1, (chat(team="had much", caller=7), chat(team="had little"), chat(team="had some"))),
        ):
            with self.subTest(first=first):
                self.fleet = filled_fleet(START)
                queue = self.queue = AdmissionQueue(
                    self.fleet, RemoteQueues("s0"), FakeTeamStandings(), FakePromisedReturns()
                )
                for key, need in enumerate(needs):
                    queue.place(queue_entry(key, need), SERVICE, UPSTREAMS, START)
                for number in (1_002, 1_003, 1_004):
                    self.end(number, START + 0.01)
                order = [key for key, _ in self.due(START + 0.01)]
                self.assertEqual([first, 3 - first, 0], order)

    def test_a_long_request_is_refused_as_soon_as_it_cannot_be_on_time(self) -> None:
        entry = queue_entry(1, letter())
        self.assertIsInstance(self.place(entry), Queued)
        target = START + entry.need.target
        self.assertEqual([], self.due(target - 0.5))
        self.assertEqual([(1, False)], self.due(target))
        self.assertEqual(0, len(self.queue.requests))

    def test_a_short_request_is_queued_as_long_as_its_client_waits(self) -> None:
        entry = queue_entry(1, chat())
        self.place(entry)
        self.assertEqual([], self.due(START + 1.0))
        self.assertEqual([(1, False)], self.due(START + entry.need.first_event_timeout))

    def test_a_refusal_after_a_wait_is_final(self) -> None:
        self.place(queue_entry(1, letter()))
        for _, decision in self.queue.due(SERVICE, UPSTREAMS, START + 2.0):
            assert isinstance(decision, NoChoice)
            self.assertTrue(decision.final)
            self.assertGreaterEqual(decision.retry_after, 1.0)

    def test_a_long_request_behind_a_long_queue_is_refused_at_once(self) -> None:
        for key in range(5):
            self.place(queue_entry(key, letter()))
        decision = self.place(queue_entry(9, letter()))
        assert isinstance(decision, NoChoice)
        self.assertTrue(decision.final)

    def test_an_urgent_request_is_not_refused_while_larger_ones_begin(self) -> None:
        now = START + 1.0
        for key in range(60):
            came = START + key / 60
            self.place(queue_entry(key, chat(), came), came)
        self.assertIsInstance(self.place(queue_entry(90, chat(), now), now), NoChoice)
        self.end(1_002, now)
        self.fleet.start(placed(2_000, "e0", letter()), SERVICE, now)
        self.assertIsInstance(self.place(queue_entry(91, chat(), now), now), Queued)

    def test_a_request_that_waited_in_an_engine_counts_from_its_first_event(self) -> None:
        """Counted from when it was sent, six seconds ago, it would no longer count as just begun.

        Urgent requests would then be refused although the larger one has begun.
        """
        message = replace(placed(2_000, "e0", letter()), began=False)
        self.fleet.start(message, SERVICE, START - 6.0)
        self.assertFalse(self.fleet.shedding.must_serve(chat(), START))
        self.fleet.begin(_began(2_000), START)
        self.assertTrue(self.fleet.shedding.must_serve(chat(), START))

    def test_a_renewal_keeps_its_place_and_adds_no_entry(self) -> None:
        self.place(queue_entry(1, chat(), START))
        self.place(queue_entry(2, chat(), START + 0.01), START + 0.01)
        for moment in (0.2, 0.4):
            renewed = replace(queue_entry(1, chat(), START), renewed_at=START + moment)
            self.assertIsInstance(self.place(renewed, START + moment), Queued)
        self.assertEqual(2, len(self.queue.requests))
        self.end(1_003, START + 0.41)
        self.assertEqual([(1, True)], self.due(START + 0.41))

    def test_a_request_from_another_scheduler_keeps_its_place(self) -> None:
        self.place(queue_entry(1, chat(), START + 0.1), START + 0.1)
        moved = queue_entry(2, replace(chat(), waited=0.2), START)
        self.place(replace(moved, renewed_at=START + 0.2), START + 0.2)
        self.end(1_003, START + 0.21)
        self.assertEqual([(2, True)], self.due(START + 0.21))

    def test_a_long_request_does_not_begin_after_urgent_ones_had_to_wait(self) -> None:
        self.place(queue_entry(1, letter(), START + 0.3), START + 0.3)
        self.place(queue_entry(2, chat(), START), START + 0.3)
        for number in range(1_002, 1_010):
            self.end(number, START + 0.3)
        self.assertEqual([(2, True)], self.due(START + 0.3))
        self.assertEqual([(1, True)], self.due(START + 0.9))


def _began(number: int) -> Began:
    return Began(number, 0.5)
