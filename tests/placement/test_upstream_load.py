from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from lotushill.placement.messages import Placed
from lotushill.placement.upstream_load import UpstreamLoad

RATE = 1000.0


def placed(name: int, reading: int = 500, **changes: object) -> Placed:
    item = Placed(name, "b", reading, reading + 100, 0.15, 1.0, 0.0)
    return replace(item, **changes)  # type: ignore[arg-type]


_OPERATIONS = st.lists(
    st.tuples(st.sampled_from(["start", "begin", "end"]), st.integers(0, 6), st.floats(0, 1)),
    max_size=60,
)


class TestUpstreamLoad(unittest.TestCase):
    @given(_OPERATIONS)
    def test_totals_are_consistent_after_any_history_and_end_at_zero(
        self, operations: list[tuple[str, int, float]]
    ) -> None:
        load = UpstreamLoad()
        now = 0.0
        running: dict[int, bool] = {}
        for what, number, pause in operations:
            now += pause
            name = number
            if what == "start":
                load.start(placed(name), 100_000, now)
                running.setdefault(name, False)
            elif what == "begin":
                load.begin(name, now)
                if name in running:
                    running[name] = True
            else:
                load.end(name, now)
                running.pop(name, None)
            unread = sum(500 for began in running.values() if not began)
            self.assertEqual(set(running), set(load.running))
            self.assertEqual(600 * len(running), load.reserved_tokens)
            self.assertLessEqual(load.prefill_queue.remaining_tokens(RATE, now), unread)
            self.assertGreaterEqual(load.prefill_queue.remaining_tokens(RATE, now), unread - 500)
        for name in list(running):
            load.end(name, now)
        self.assertEqual(
            (0, 0.0, {}),
            (
                load.reserved_tokens,
                load.prefill_queue.remaining_tokens(RATE, now),
                dict(load.streams_by_target_gap),
            ),
        )

    def test_prompt_is_queued_until_its_first_event(self) -> None:
        load = UpstreamLoad()
        load.start(placed(97, 500), 100_000, 0.0)
        load.start(placed(98, 2000), 100_000, 0.0)
        self.assertEqual(2000.0, load.prefill_queue.remaining_tokens(RATE, 60.0))
        load.begin(97, 60.0)
        self.assertEqual(2000.0, load.prefill_queue.remaining_tokens(RATE, 60.0))
        load.begin(98, 61.0)
        self.assertEqual(0.0, load.prefill_queue.remaining_tokens(RATE, 61.0))

    def test_slowness_decays_without_samples(self) -> None:
        load = UpstreamLoad()
        for _ in range(50):
            load.note_pace(4.0, 10.0)
        self.assertGreater(load.slowness(10.0), 3.0)
        self.assertEqual(1.0, load.slowness(30.0))

    def test_unreachable_upstream_is_tried_again_after_the_back_off(self) -> None:
        load = UpstreamLoad()
        load.note_unreachable(0.0)
        self.assertTrue(load.is_unreachable(0.1))
        self.assertFalse(load.is_unreachable(5.0))
        load.note_unreachable(5.0)
        load.note_reached()
        self.assertFalse(load.is_unreachable(5.1))


class TestSlots(unittest.TestCase):
    """Requests that hold a slot against a new request.

    Requests of the middle tier were not served for 2.4 s at engines where they had been predicted
    to begin after 0.08 s: less urgent requests held the slots to their end, and were not counted.
    """

    def load_of(self, tiers: list[int], begun: int) -> UpstreamLoad:
        load = UpstreamLoad()
        for number, tier in enumerate(tiers):
            load.start(placed(number, tier=tier), 100_000, 0.0)
            if number < begun:
                load.begin(number, 0.1)
        return load

    def test_begun_requests_keep_their_slots_against_any_tier(self) -> None:
        load = self.load_of([2, 2, 0], begun=2)
        self.assertEqual([3, 3, 3], [load.count_before(tier) for tier in range(3)])

    def test_less_urgent_requests_that_have_not_begun_are_admitted_later(self) -> None:
        load = self.load_of([2, 1, 0], begun=0)
        self.assertEqual([1, 2, 3], [load.count_before(tier) for tier in range(3)])

    def test_ended_request_releases_its_slot_once(self) -> None:
        load = self.load_of([2, 2], begun=2)
        load.begin(0, 0.2)
        load.end(0, 0.3)
        load.end(0, 0.4)
        self.assertEqual(1, load.count_before(0))

    def test_mean_expected_duration_follows_the_running_requests(self) -> None:
        load = UpstreamLoad()
        self.assertEqual(0.0, load.mean_expected_seconds)
        load.start(placed(1, seconds=3.0), 100_000, 0.0)
        load.start(placed(2, seconds=1.0), 100_000, 0.0)
        self.assertEqual(2.0, load.mean_expected_seconds)
        load.end(1, 0.5)
        self.assertEqual(1.0, load.mean_expected_seconds)
