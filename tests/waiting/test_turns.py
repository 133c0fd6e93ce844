"""Freed slots go round among up to eight schedulers, and none stays empty."""

from __future__ import annotations

import unittest

from lotushill.waiting.slot_turns import TURN_SECONDS
from lotushill.waiting.slot_turns import RemoteQueues
from lotushill.waiting.slot_turns import SlotTurns

NAMES = [f"s{n}" for n in range(8)]


def schedulers(tiers: dict[str, dict[int, int]], now: float = 0.0) -> dict[str, SlotTurns]:
    """Return the turns of schedulers that have heard what waits at each other."""
    found = {}
    for name in tiers:
        rivals = RemoteQueues(name)
        for other, waiting in tiers.items():
            if other != name:
                rivals.set_counts(other, "llm", waiting, now)
        found[name] = SlotTurns(rivals)
    return found


def takers(all_turns: dict[str, SlotTurns], tier: int, free: int, now: float) -> list[str]:
    """Return who takes slots of one engine, each as many as it may before news come."""
    found = []
    for name, turns in all_turns.items():
        left = free
        turns.note_free_slots("e0", free, now)
        while turns.may_take("llm", tier, "e0", left, now):
            turns.note_taken("e0", now)
            found.append(name)
            left -= 1
    return found


class TestTurns(unittest.TestCase):
    def test_one_slot_goes_to_one_of_eight(self) -> None:
        turns = schedulers({name: {2: 5} for name in NAMES})
        self.assertEqual(1, len(takers(turns, 2, 1, 0.0)))

    def test_as_many_slots_go_to_as_many(self) -> None:
        turns = schedulers({name: {2: 5} for name in NAMES})
        self.assertEqual(16, len(takers(turns, 2, 16, 0.0)))

    def test_one_that_its_owner_leaves_free_passes_on(self) -> None:
        turns = schedulers({name: {2: 5} for name in NAMES})
        owner = takers(turns, 2, 1, 0.0)[0]
        others = {name: item for name, item in turns.items() if name != owner}
        for item in others.values():
            item.note_free_slots("e0", 1, TURN_SECONDS * 0.9)
        self.assertEqual(1, len(takers(others, 2, 1, TURN_SECONDS * 1.5)))

    def test_the_most_urgent_go_first(self) -> None:
        for urgent in NAMES:
            tiers = {name: {0: 1} if name == urgent else {2: 5} for name in NAMES}
            turns = schedulers(tiers)
            self.assertEqual(["e0"], ["e0" for _ in takers({urgent: turns[urgent]}, 0, 1, 0.0)])
            others = {name: item for name, item in turns.items() if name != urgent}
            self.assertEqual([], takers(others, 2, 1, 0.0))

    def test_one_alone_takes_all_at_once(self) -> None:
        turns = schedulers({"s0": {2: 5}})
        self.assertEqual(["s0"] * 7, takers(turns, 2, 7, 0.0))

    def test_who_was_not_heard_of_late_has_no_part(self) -> None:
        turns = schedulers({name: {2: 5} for name in NAMES}, now=0.0)
        self.assertEqual(["s3"] * 4, takers({"s3": turns["s3"]}, 2, 4, 5.0))

    def test_an_engine_that_was_away_counts_as_just_freed(self) -> None:
        """All would otherwise fill it at once when it comes back."""
        turns = schedulers({name: {2: 5} for name in NAMES}, now=9.9)
        for item in turns.values():
            item.note_free_slots("e0", 16, 1.0)
        self.assertEqual(16, len(takers(turns, 2, 16, 10.0)))
