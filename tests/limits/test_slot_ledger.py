"""Which requests for a slot of a brittle upstream its owner grants.

The load: several gateways ask for the same free slot within milliseconds, and hold more than they
report after a gateway was lost, a network was partitioned or an upstream lets fewer in.
"""

from __future__ import annotations

import itertools
import unittest

from lotushill.limits.slot_ledger import Room
from lotushill.limits.slot_ledger import SlotLedger
from lotushill.links.slot_messages import SlotEnd

NOW = 1000.0
SLOTS = 4
LATER = NOW + 100.0
ROOM = Room(SLOTS, 6.0, 1.0)


class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.numbers = itertools.count(1)
        self.ledger = SlotLedger(0.0, 0.0, NOW)

    def ask(self, now: float, room: Room = ROOM, holder: str = "gw-1") -> int:
        """Ask for a slot; return the number of the permit, 0 if it is denied."""
        number = next(self.numbers)
        return number if self.ledger.request(number, holder, LATER, room, now) else 0

    def ask_until_denied(self, now: float, room: Room = ROOM, holder: str = "gw-1") -> list[int]:
        """Ask for slots at one moment; return the numbers of the permits."""
        return list(iter(lambda: self.ask(now, room, holder), 0))


class TestSlots(LedgerTest):
    def test_no_more_permits_than_slots_whoever_asks(self) -> None:
        granted = [self.ask(NOW, holder=f"gw-{number}") for number in range(20)]
        self.assertEqual(SLOTS, sum(map(bool, granted)))

    def test_a_slot_that_is_given_back_is_granted_once(self) -> None:
        first = self.ask_until_denied(NOW)[0]
        for _ in range(3):
            self.ledger.end(first, SlotEnd.SERVED, NOW + 1.0)
        self.assertEqual(1, len(self.ask_until_denied(NOW + 1.0)))

    def test_a_repeated_request_keeps_its_permit_and_gets_none_after_its_end(self) -> None:
        self.assertTrue(self.ledger.request(7, "gw-1", LATER, ROOM, NOW))
        self.assertTrue(self.ledger.request(7, "gw-1", LATER, ROOM, NOW))
        self.assertEqual(1, self.ledger.held)
        self.ledger.end(7, SlotEnd.SERVED, NOW + 0.1)
        self.assertFalse(self.ledger.request(7, "gw-1", LATER, ROOM, NOW + 0.2))
        self.ledger.adopt(7, "gw-1", LATER)
        self.assertEqual(0, self.ledger.held)

    def test_permits_expire_some_time_after_the_end_of_their_requests(self) -> None:
        self.ledger.request(7, "gw-1", NOW + 2.0, ROOM, NOW)
        self.assertEqual(SLOTS - 1, len(self.ask_until_denied(NOW + 2.9)))
        self.assertEqual(1, len(self.ask_until_denied(NOW + 3.1)))

    def test_an_attempt_that_was_cut_occupies_its_slot_for_a_moment(self) -> None:
        first = self.ask_until_denied(NOW)[0]
        self.ledger.end(first, SlotEnd.CUT, NOW + 1.0)
        self.assertEqual(0, self.ask(NOW + 1.2))
        self.assertNotEqual(0, self.ask(NOW + 1.4))

    def test_attempts_that_began_before_the_statement_are_counted(self) -> None:
        for number in range(100, 103):
            self.ledger.adopt(number, "gw-2", LATER)
        self.assertEqual(1, len(self.ask_until_denied(NOW)))

    def test_a_new_owner_counts_the_runs_in_its_load_model(self) -> None:
        room = Room(SLOTS, 1.0, 1.0, unreported=SLOTS)
        self.assertEqual(1, len(self.ask_until_denied(NOW, room)))


class TestRejections(LedgerTest):
    def reject_all(self, room: Room, seconds: float) -> list[float]:
        """Ask every ten milliseconds; return the times of permits, which are all rejected."""
        times = []
        for step in range(int(seconds / 0.01)):
            now = NOW + step * 0.01
            number = self.ask(now, room)
            if number:
                times.append(now)
                self.ledger.end(number, SlotEnd.REJECTED, now + 0.005)
        return times

    def test_an_upstream_without_any_room_rejects_no_more_than_it_bears(self) -> None:
        for most in (0, 1, 3, 6, 40):
            with self.subTest(most=most):
                self.setUp()
                times = self.reject_all(Room(SLOTS, float(most), 1.0), 20.0)
                in_a_second = max(sum(at <= other < at + 1.0 for other in times) for at in times)
                self.assertLessEqual(in_a_second, max(1, most))

    def test_requests_on_their_way_count_as_rejections(self) -> None:
        for most in (1, 3):
            with self.subTest(most=most):
                self.setUp()
                room = Room(16, float(most), 1.0)
                self.assertEqual(most, len(self.ask_until_denied(NOW, room)))
                self.assertEqual(most, len(self.ask_until_denied(NOW + 0.06, room)))

    def test_two_sides_of_a_partition_together_stay_within_half_of_what_it_bears(self) -> None:
        times = []
        for fraction in (0.75, 0.25):
            self.setUp()
            self.ledger = SlotLedger(float(SLOTS), 0.0, NOW)
            times += self.reject_all(Room(SLOTS, 6.0, fraction), 30.0)
        self.assertLessEqual(len(times), 30 * 6.0 / 2 + 2)

    def test_a_rejection_below_the_slots_takes_one_off_until_a_try_succeeds(self) -> None:
        held = self.ask_until_denied(NOW)
        self.ledger.end(held[0], SlotEnd.REJECTED, NOW + 1.0)
        self.assertEqual(1, self.ledger.doubt)
        tried = self.ask(NOW + 2.1)
        self.assertNotEqual(0, tried)
        self.ledger.end(tried, SlotEnd.SERVED, NOW + 2.2)
        self.assertEqual(0, self.ledger.doubt)


class TestDoubt(LedgerTest):
    def test_slots_of_a_lost_gateway_are_tried_one_after_the_other(self) -> None:
        self.ask_until_denied(NOW, holder="lost")
        self.ledger.drop_holder("lost")
        room = Room(SLOTS, 2.0, 1.0)
        self.assertEqual(1, len(self.ask_until_denied(NOW + 1.0, room)))
        self.assertEqual(1, len(self.ask_until_denied(NOW + 1.2, room)))
        self.assertEqual(SLOTS - 1, self.ledger.doubt)

    def test_all_are_in_use_again_soon_if_nothing_is_rejected(self) -> None:
        self.ledger = SlotLedger(float(SLOTS), 0.0, NOW)
        for step in range(100):
            self.ask(NOW + step * 0.01)
        self.assertEqual(SLOTS, self.ledger.held)

    def test_attempts_that_are_reported_are_no_doubt_any_more(self) -> None:
        self.ledger = SlotLedger(float(SLOTS), 0.0, NOW)
        for number in range(100, 100 + SLOTS):
            self.ledger.adopt(number, "gw-2", LATER)
        self.assertEqual(0, self.ledger.doubt)

    def test_tries_begin_at_a_time_that_differs_between_small_sides(self) -> None:
        """A side of a tenth of the gateways may cause one rejection in 10 s: half of 2, a tenth."""
        side = Room(SLOTS, 2.0, 0.1)
        self.ledger = SlotLedger(float(SLOTS), 0.5, NOW)
        self.assertEqual(0, self.ask(NOW + 4.9, room=side))
        self.assertNotEqual(0, self.ask(NOW + 5.1, room=side))

    def test_tries_do_not_wait_for_what_a_new_process_did_not_know_yet(self) -> None:
        """An owner whose process has just started hears from the first request what is borne."""
        self.ledger = SlotLedger(float(SLOTS), 0.9, NOW)
        self.assertNotEqual(0, self.ask(NOW, room=Room(SLOTS, 6.0, 1.0)))
