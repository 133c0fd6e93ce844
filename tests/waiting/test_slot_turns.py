"""Tests that each freed slot is filled by one of up to eight schedulers, and none stays empty."""

from __future__ import annotations

import unittest

from lotushill.waiting.slot_turns import TURN_SECONDS
from lotushill.waiting.slot_turns import RemoteQueues
from lotushill.waiting.slot_turns import SlotTurns

NAMES = [f"s{n}" for n in range(8)]


def slot_turns(tiers: dict[str, dict[int, int]], now: float = 0.0) -> dict[str, SlotTurns]:
    """Return the slot turns of schedulers that have received each other's queue updates."""
    turns_by_name = {}
    for name in tiers:
        remote_queues = RemoteQueues(name)
        for other, waiting in tiers.items():
            if other != name:
                remote_queues.set_counts(other, "llm", waiting, now)
        turns_by_name[name] = SlotTurns(remote_queues)
    return turns_by_name


def slot_takers(all_turns: dict[str, SlotTurns], tier: int, free: int, now: float) -> list[str]:
    """Return the names of schedulers that take slots of one engine, before any update arrives."""
    takers = []
    for name, turns in all_turns.items():
        left = free
        turns.note_free_slots("e0", free, now)
        while turns.may_take("llm", tier, "e0", left, now):
            turns.note_taken("e0", now)
            takers.append(name)
            left -= 1
    return takers


class TestSlotTurns(unittest.TestCase):
    def test_one_slot_is_filled_by_one_of_eight_schedulers(self) -> None:
        turns = slot_turns({name: {2: 5} for name in NAMES})
        self.assertEqual(1, len(slot_takers(turns, 2, 1, 0.0)))

    def test_all_free_slots_are_filled_once(self) -> None:
        turns = slot_turns({name: {2: 5} for name in NAMES})
        self.assertEqual(16, len(slot_takers(turns, 2, 16, 0.0)))

    def test_a_slot_left_free_passes_on_to_the_next_scheduler(self) -> None:
        turns = slot_turns({name: {2: 5} for name in NAMES})
        owner = slot_takers(turns, 2, 1, 0.0)[0]
        others = {name: item for name, item in turns.items() if name != owner}
        for item in others.values():
            item.note_free_slots("e0", 1, TURN_SECONDS * 0.9)
        self.assertEqual(1, len(slot_takers(others, 2, 1, TURN_SECONDS * 1.5)))

    def test_the_scheduler_with_the_most_urgent_requests_goes_first(self) -> None:
        for urgent in NAMES:
            tiers = {name: {0: 1} if name == urgent else {2: 5} for name in NAMES}
            turns = slot_turns(tiers)
            self.assertEqual(
                ["e0"], ["e0" for _ in slot_takers({urgent: turns[urgent]}, 0, 1, 0.0)]
            )
            others = {name: item for name, item in turns.items() if name != urgent}
            self.assertEqual([], slot_takers(others, 2, 1, 0.0))

    def test_a_single_scheduler_fills_all_slots_at_once(self) -> None:
        turns = slot_turns({"s0": {2: 5}})
        self.assertEqual(["s0"] * 7, slot_takers(turns, 2, 7, 0.0))

    def test_a_scheduler_without_recent_updates_is_left_out(self) -> None:
        turns = slot_turns({name: {2: 5} for name in NAMES}, now=0.0)
        self.assertEqual(["s3"] * 4, slot_takers({"s3": turns["s3"]}, 2, 4, 5.0))

    def test_slots_of_an_engine_that_was_unreachable_count_as_just_freed(self) -> None:
        """Otherwise all schedulers would fill it at once when it is reachable again."""
        turns = slot_turns({name: {2: 5} for name in NAMES}, now=9.9)
        for item in turns.values():
            item.note_free_slots("e0", 16, 1.0)
        self.assertEqual(16, len(slot_takers(turns, 2, 16, 10.0)))
