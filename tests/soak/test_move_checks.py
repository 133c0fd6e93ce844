"""The checks of moved runs report what they are for, and nothing else."""

from __future__ import annotations

import math
import unittest

from tests.soak.ledger import Ledger
from tests.soak.records import Absence
from tests.soak.records import Answer
from tests.soak.run_memory import HeldSpan
from tests.soak.run_memory import MemoryEnd
from tests.soak.run_memory import RunEnd
from tests.soak.run_memory import RunSpan

_GATEWAY = "127.0.0.1:1"
_ENDED_AT = 3.0


def truncated_answer(ended_at: float = _ENDED_AT) -> Answer:
    return Answer("a1", "long", 0.0, 200, False, False, _GATEWAY, ended_at, deadline_seconds=7.0)


def run(end: RunEnd, until: float = _ENDED_AT, since: float = 0.0, handle: str = "") -> RunSpan:
    return RunSpan("a1", f"i-{since:g}", since, handle, until, end)


def held(end: MemoryEnd, until: float = math.inf, named_at: float = 2.0) -> HeldSpan:
    return HeldSpan("a1", "h1", "i-0", "i-2", 2.0, named_at, until, end)


class TestMoveChecks(unittest.TestCase):
    def violations(
        self,
        runs: list[RunSpan],
        memories: tuple[HeldSpan, ...] = (),
        answer: Answer | None = None,
        absences: tuple[Absence, ...] = (),
        observed_until: float = _ENDED_AT,
    ) -> list[str]:
        ledger = Ledger(answers=[answer or truncated_answer()], absences=list(absences))
        ledger.memories.runs = runs
        ledger.memories.held = list(memories)
        ledger.memories.observed_until = observed_until
        return [item.removeprefix("a1: ") for item in ledger.faults()]

    def test_a_sound_run_that_its_gateway_closed_is_a_violation(self) -> None:
        for end in (RunEnd.CLOSED, RunEnd.RUNNING, RunEnd.WHOLE):
            with self.subTest(end=end):
                found = self.violations([run(end)])
                self.assertEqual(1, len(found))
                self.assertIn("i-0 ran it soundly", found[0])

    def test_a_run_that_ended_with_its_engine_is_none(self) -> None:
        self.assertEqual([], self.violations([run(RunEnd.ENGINE_ENDED)]))

    def test_memory_of_a_stopped_run_that_was_given_up_is_a_violation(self) -> None:
        for memory in (
            held(MemoryEnd.HELD),
            held(MemoryEnd.FREED, until=3.01),
            held(MemoryEnd.ENGINE_ENDED, until=4.0),
        ):
            with self.subTest(end=memory.end):
                found = self.violations([run(RunEnd.STOPPED, until=2.5)], (memory,))
                self.assertEqual(1, len(found))
                self.assertIn("i-2 held its memory under h1", found[0])

    def test_memory_of_a_run_that_ended_with_its_engine_is_a_violation(self) -> None:
        found = self.violations([run(RunEnd.ENGINE_ENDED)], (held(MemoryEnd.HELD),))
        self.assertEqual(1, len(found))

    def test_memory_that_could_not_be_used_is_none(self) -> None:
        for memory in (
            held(MemoryEnd.USED, until=2.6),
            held(MemoryEnd.REPLACED, until=2.6),
            held(MemoryEnd.ENGINE_ENDED, until=2.6),
            held(MemoryEnd.FREED, until=2.4),
        ):
            with self.subTest(memory=memory):
                found = self.violations([run(RunEnd.STOPPED, until=2.5)], (memory,))
                self.assertEqual([], found)

    def test_memory_under_an_unnamed_handle_counts_only_if_the_run_was_stopped(self) -> None:
        memory = held(MemoryEnd.HELD, named_at=math.inf)
        self.assertEqual([], self.violations([run(RunEnd.ENGINE_ENDED)], (memory,)))
        self.assertEqual(1, len(self.violations([run(RunEnd.STOPPED, until=2.5)], (memory,))))

    def test_a_gateway_may_end_a_stream_at_its_deadline_or_if_it_is_lost(self) -> None:
        runs = [run(RunEnd.CLOSED, until=7.0)]
        self.assertEqual([], self.violations(runs, answer=truncated_answer(6.9)))
        absence = Absence(_GATEWAY, 2.5, 3.5)
        self.assertEqual([], self.violations([run(RunEnd.CLOSED)], absences=(absence,)))

    def test_two_engines_that_work_on_a_run_are_a_violation(self) -> None:
        whole = Answer("a1", "long", 0.0, 200, True, True, _GATEWAY, 3.0, deadline_seconds=7.0)
        for overlap, count in ((0.4, 0), (0.6, 1)):
            with self.subTest(overlap=overlap):
                runs = [
                    run(RunEnd.STOPPED, until=1.0 + overlap),
                    run(RunEnd.WHOLE, since=1.0, handle="h1"),
                ]
                self.assertEqual(count, len(self.violations(runs, answer=whole)))

    def test_a_run_that_begins_again_without_its_memory_is_a_violation(self) -> None:
        whole = Answer("a1", "long", 0.0, 200, True, True, _GATEWAY, 3.0, deadline_seconds=7.0)
        runs = [run(RunEnd.CLOSED, until=1.0), run(RunEnd.WHOLE, since=1.0)]
        found = self.violations(runs, answer=whole)
        self.assertEqual(["began 2 times although it may run once"], found)

    def test_memory_that_stays_held_after_its_run_is_a_violation(self) -> None:
        whole = Answer("a1", "long", 0.0, 200, True, True, _GATEWAY, 3.0, deadline_seconds=7.0)
        for memory, count in (
            (held(MemoryEnd.HELD), 1),
            (held(MemoryEnd.FREED, until=6.5), 1),
            (held(MemoryEnd.FREED, until=5.5), 0),
            (held(MemoryEnd.HELD, named_at=math.inf), 0),
        ):
            with self.subTest(memory=memory):
                found = self.violations(
                    [run(RunEnd.WHOLE)], (memory,), answer=whole, observed_until=9.0
                )
                self.assertEqual(count, len(found))
