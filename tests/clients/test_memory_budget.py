"""A crowd holds memory that others need: who keeps it, who is given up, and who is refused.

Replays crowds against the budget alone, with a clock of the test.
"""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.clients.memory_budget import MIN_SHED_SECONDS
from lotushill.clients.memory_budget import SMALL_BYTES
from lotushill.clients.memory_budget import HeldMemory
from lotushill.clients.memory_budget import MemoryBudget

_LIMIT = 64 * SMALL_BYTES
_BODY = 8 * SMALL_BYTES
_SECONDS = st.floats(0.0, 3.0)
_STEPS = st.lists(
    st.tuples(
        st.integers(0, 9),
        st.sampled_from(("hold", "hold unchecked", "release", "sheddable", "kept", "close")),
        st.integers(0, _LIMIT // 4),
        _SECONDS,
    ),
    max_size=60,
)


class BudgetCase(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.budget = MemoryBudget(_LIMIT, lambda: self.now)
        self.shed: list[str] = []

    def client(self, name: str, size: int = 0, is_sheddable: bool = False) -> HeldMemory:
        """Return the memory of a client that holds some bytes, if there are any for it."""

        def shed() -> None:
            self.shed.append(name)
            memory.release_above(0)

        memory = self.budget.open(shed)
        if memory.hold(size) and is_sheddable:
            memory.set_sheddable(self.now)
        return memory


class TestMemoryBudget(BudgetCase):
    def test_a_crowd_of_unfinished_bodies_is_given_up_for_the_next_one(self) -> None:
        stalled = [self.client(f"stalled-{n}", _BODY, is_sheddable=True) for n in range(6)]
        self.assertEqual([_BODY] * 6, [memory.size for memory in stalled])
        self.now += MIN_SHED_SECONDS
        newcomer = self.client("newcomer")
        self.assertTrue(newcomer.hold(_BODY))
        self.assertEqual(1, len(self.shed))

    def test_bodies_that_arrive_in_time_are_not_given_up_for_new_ones(self) -> None:
        """Otherwise a burst of large requests that are all in order would complete none."""
        for number in range(6):
            self.client(f"fresh-{number}", _BODY, is_sheddable=True)
        self.now += MIN_SHED_SECONDS / 2
        self.assertFalse(self.client("newcomer").hold(_BODY))
        self.assertEqual([], self.shed)

    def test_the_one_that_held_most_for_longest_is_given_up(self) -> None:
        self.client("small and old", SMALL_BYTES // 8, is_sheddable=True)
        self.now += 2.0
        self.client("large", 3 * _BODY, is_sheddable=True)
        self.client("larger, but new", _BODY, is_sheddable=True)
        self.client("runs", 2 * _BODY - SMALL_BYTES)
        self.now += 2.0
        self.assertTrue(self.client("newcomer").hold(_BODY))
        self.assertEqual(["large"], self.shed)

    def test_large_clients_leave_memory_for_small_ones(self) -> None:
        while self.client("large").hold(2 * SMALL_BYTES):
            pass
        self.assertTrue(self.client("small").hold(SMALL_BYTES))
        self.assertEqual([], self.shed)

    def test_memory_in_use_is_held_beyond_the_budget(self) -> None:
        self.client("stalled", _BODY, is_sheddable=True)
        self.now += MIN_SHED_SECONDS
        memory = self.client("writes")
        memory.hold_unchecked(_LIMIT)
        self.assertEqual((["stalled"], _LIMIT), (self.shed, self.budget.used))

    def test_a_client_is_not_given_up_for_itself(self) -> None:
        memory = self.client("alone", _BODY, is_sheddable=True)
        self.now += 60.0
        self.assertFalse(memory.hold(_LIMIT))
        self.assertEqual(([], _BODY), (self.shed, memory.size))


class TestAnyCrowd(unittest.TestCase):
    @given(_STEPS)
    def test_what_is_held_stays_within_the_budget(
        self, steps: list[tuple[int, str, int, float]]
    ) -> None:
        now, unchecked = 0.0, 0
        budget = MemoryBudget(_LIMIT, lambda: now)
        clients: dict[int, HeldMemory] = {}
        for number, action, size, seconds in steps:
            now += seconds
            memory = clients.get(number)
            if memory is None:
                memory = clients[number] = budget.open(lambda n=number: clients[n].close())  # type: ignore[misc]
            if action == "hold":
                held, used = memory.size, budget.used
                if not memory.hold(size):
                    self.assertEqual(held, memory.size)
                    self.assertLessEqual(budget.used, used)
            elif action == "hold unchecked":
                memory.hold_unchecked(size)
                unchecked += size
            elif action == "release":
                memory.release(size)
            elif action == "close":
                memory.close()
            else:
                memory.set_sheddable(now if action == "sheddable" else None)
            self.assertEqual(budget.used, sum(item.size for item in clients.values()))
            self.assertGreaterEqual(min(item.size for item in clients.values()), 0)
            self.assertLessEqual(budget.used, _LIMIT + unchecked)
