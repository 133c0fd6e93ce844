from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.placement.backup import backup_target
from lotushill.placement.backup import is_worth_copying
from lotushill.placement.interruption_rate import InterruptionRate
from lotushill.placement.messages import Placed
from lotushill.placement.need import Need
from lotushill.placement.upstream_load import UpstreamLoad
from lotushill.routing.service import EngineProfile
from lotushill.routing.upstream import Upstream

ENGINE = EngineProfile(32, 10_000, 3, can_back_up_memory=True)


def need(tokens: int) -> Need:
    return Need("llm", "chat", 0.6, 0.2, 12.0, True, tokens, 100, ())


def upstream(name: str, hall: str = "z") -> Upstream:
    return Upstream(name, "llm", "10.0.0.1:80", hall, 32, False)


def load_with_tokens(tokens: int) -> UpstreamLoad:
    load = UpstreamLoad()
    load.start(Placed(1, "b", 0, tokens, 0.2, 1.0, 0.0), ENGINE.memory_tokens, 0.0)
    return load


class TestIsWorthCopying(unittest.TestCase):
    def test_short_prompts_are_copied_if_streams_are_often_lost(self) -> None:
        self.assertTrue(is_worth_copying(need(800), 2.0, 0.02))
        self.assertFalse(is_worth_copying(need(12_000), 2.0, 0.02))
        self.assertFalse(is_worth_copying(need(800), 2.0, 0.001))

    def test_copying_stops_after_a_minute_without_losses_and_starts_after_some(self) -> None:
        rate = InterruptionRate()
        self.assertTrue(is_worth_copying(need(800), 2.0, rate.rate))
        for second in range(60):
            rate.note(4.0, False, float(second))
        self.assertFalse(is_worth_copying(need(800), 2.0, rate.rate))
        for _ in range(4):
            rate.note(1.0, True, 60.0)
        self.assertTrue(is_worth_copying(need(800), 2.0, rate.rate))

    def test_old_losses_decay(self) -> None:
        rate = InterruptionRate()
        for _ in range(100):
            rate.note(0.0, True, 0.0)
        rate.note(1.0, False, 1200.0)
        self.assertLess(rate.rate, 0.03)


class TestBackupTarget(unittest.TestCase):
    @given(st.lists(st.integers(0, 12_000), min_size=1, max_size=6), st.integers(0, 5))
    def test_target_is_another_upstream_with_free_memory(self, held: list[int], index: int) -> None:
        candidates = [upstream(f"b{n}", "z" if n % 2 else "y") for n in range(len(held))]
        loads = {item.id: load_with_tokens(tokens) for item, tokens in zip(candidates, held)}
        chosen = candidates[index % len(candidates)]
        target = backup_target(chosen, need(500), ENGINE, candidates, loads, 0.0)
        suitable = [
            item for item in candidates if item != chosen and loads[item.id].reserved_tokens < 6_400
        ]
        if target is None:
            self.assertEqual([], suitable)
            return
        self.assertIn(target, suitable)
        other_halls = [item for item in suitable if item.hall != chosen.hall]
        self.assertTrue(target in other_halls or not other_halls)

    def test_unreachable_upstream_holds_no_copy(self) -> None:
        load = UpstreamLoad()
        load.note_unreachable(0.0)
        candidates = [upstream("a"), upstream("b")]
        self.assertIsNone(
            backup_target(candidates[0], need(500), ENGINE, candidates, {"b": load}, 0.1)
        )
