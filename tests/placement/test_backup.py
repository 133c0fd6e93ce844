from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.placement.backup import backup_target
from lotushill.placement.backup import is_worth_copying
from lotushill.placement.cut_rate import CutRate
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


def loaded(tokens: int) -> UpstreamLoad:
    load = UpstreamLoad()
    load.start(Placed(1, "b", 0, tokens, 0.2, 1.0, 0.0), ENGINE.memory_tokens, 0.0)
    return load


class TestWorth(unittest.TestCase):
    def test_short_prompts_of_streams_that_are_often_cut_are_copied(self) -> None:
        self.assertTrue(is_worth_copying(need(800), 2.0, 0.02))
        self.assertFalse(is_worth_copying(need(12_000), 2.0, 0.02))
        self.assertFalse(is_worth_copying(need(800), 2.0, 0.001))

    def test_a_minute_of_calm_ends_copying_and_some_cuts_begin_it(self) -> None:
        rate = CutRate()
        self.assertTrue(is_worth_copying(need(800), 2.0, rate.rate))
        for second in range(60):
            rate.note(4.0, False, float(second))
        self.assertFalse(is_worth_copying(need(800), 2.0, rate.rate))
        for _ in range(4):
            rate.note(1.0, True, 60.0)
        self.assertTrue(is_worth_copying(need(800), 2.0, rate.rate))

    def test_old_cuts_are_forgotten(self) -> None:
        rate = CutRate()
        for _ in range(100):
            rate.note(0.0, True, 0.0)
        rate.note(1.0, False, 1200.0)
        self.assertLess(rate.rate, 0.03)


class TestTarget(unittest.TestCase):
    @given(st.lists(st.integers(0, 12_000), min_size=1, max_size=6), st.integers(0, 5))
    def test_it_is_another_upstream_with_room(self, held: list[int], index: int) -> None:
        among = [upstream(f"b{n}", "z" if n % 2 else "y") for n in range(len(held))]
        loads = {item.id: loaded(tokens) for item, tokens in zip(among, held)}
        chosen = among[index % len(among)]
        found = backup_target(chosen, need(500), ENGINE, among, loads, 0.0)
        fit = [item for item in among if item != chosen and loads[item.id].reserved_tokens < 6_400]
        if found is None:
            self.assertEqual([], fit)
            return
        self.assertIn(found, fit)
        elsewhere = [item for item in fit if item.hall != chosen.hall]
        self.assertTrue(found in elsewhere or not elsewhere)

    def test_one_that_cannot_be_reached_keeps_no_copy(self) -> None:
        load = UpstreamLoad()
        load.note_unreachable(0.0)
        among = [upstream("a"), upstream("b")]
        self.assertIsNone(backup_target(among[0], need(500), ENGINE, among, {"b": load}, 0.1))
