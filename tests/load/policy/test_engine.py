from __future__ import annotations

import unittest

from lotushill.load.policy.engine import Engine
from lotushill.load.policy.engine import EngineFigures
from lotushill.load.policy.engine import Run

FIGURES = EngineFigures(slots=2, queue=2)


class TestEngine(unittest.TestCase):
    def setUp(self) -> None:
        self.ended: list[tuple[int, float]] = []
        self.engine = Engine(
            FIGURES, 1.0, lambda run, at: None, lambda run, at: self.ended.append((run.number, at))
        )

    def run_engine(self, ends: float = 60.0) -> None:
        now: float | None = 0.0
        while now is not None and now < ends:
            now = self.engine.step(now)

    def new_run(
        self, number: int, tier: int = 1, prompt_tokens: int = 100, output: int = 50
    ) -> Run:
        return Run(number, tier, prompt_tokens, output, prompt_tokens)

    def test_pauses_grow_during_the_prefill_of_a_prompt(self) -> None:
        stream = self.new_run(1, output=400)
        self.engine.accept(stream, 0.0)
        now: float | None = 0.0
        while now is not None and now < 0.5:
            now = self.engine.step(now)
        assert now is not None
        self.engine.accept(self.new_run(2, prompt_tokens=20_000), now)
        self.run_engine()
        pauses = [after - before for before, after in zip(stream.events, stream.events[1:])]
        self.assertGreater(max(pauses), 3 * pauses[2])

    def test_urgent_requests_are_admitted_first_without_preemption(self) -> None:
        for number, tier in ((1, 2), (2, 2), (3, 2), (4, 0)):
            self.engine.accept(self.new_run(number, tier), 0.0)
            self.engine.step(0.0)
        self.run_engine()
        order = [number for number, _ in self.ended]
        self.assertLess(order.index(4), order.index(3))
        self.assertEqual(set(order[:2]), {1, 2})

    def test_requests_beyond_the_queue_limit_are_refused(self) -> None:
        taken = [self.engine.accept(self.new_run(number), 0.0) for number in range(4)]
        self.assertEqual(taken, [True, True, False, False])
