from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.placement.prefill_queue import PrefillQueue

RATE = 1000.0
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["add", "read", "give up"]),
        st.integers(0, 8),
        st.integers(0, 2),
        st.integers(1, 5_000),
        st.floats(0.0, 1.0),
    ),
    max_size=60,
)


class TestPrefillQueue(unittest.TestCase):
    def test_urgent_prompts_overtake_queued_ones_but_not_the_current_one(self) -> None:
        prompts = PrefillQueue()
        for request in range(3):
            prompts.add(request, 2, 4_000, 0.0)
        self.assertEqual(3_000.0, prompts.tokens_ahead(0, RATE, 1.0))
        self.assertEqual(11_000.0, prompts.tokens_ahead(2, RATE, 1.0))
        prompts.add(9, 0, 500, 1.0)
        self.assertEqual(3_500.0, prompts.tokens_ahead(0, RATE, 1.0))
        prompts.finish(0, 4.0)
        self.assertAlmostEqual(400.0, prompts.tokens_ahead(0, RATE, 4.1))

    def test_cancelling_a_queued_prompt_leaves_the_current_one(self) -> None:
        prompts = PrefillQueue()
        prompts.add(1, 2, 4_000, 0.0)
        prompts.add(2, 0, 500, 0.0)
        prompts.cancel(2, 1.0)
        self.assertEqual(2_000.0, prompts.remaining_tokens(RATE, 2.0))

    @given(EVENTS)
    def test_totals_are_consistent_after_any_history(
        self, events: list[tuple[str, int, int, int, float]]
    ) -> None:
        prompts = PrefillQueue()
        left: dict[int, int] = {}
        now = 0.0
        for what, request, tier, tokens, pause in events:
            now += pause
            if what == "add" and request not in left:
                prompts.add(request, tier, tokens, now)
                left[request] = tokens
            elif what == "read":
                prompts.finish(request, now)
                left.pop(request, None)
            elif what == "give up":
                prompts.cancel(request, now)
                left.pop(request, None)
            total = prompts.remaining_tokens(RATE, now)
            self.assertLessEqual(total, sum(left.values()))
            self.assertGreaterEqual(total, sum(left.values()) - max(left.values(), default=0))
            by_tier = [prompts.tokens_ahead(other, RATE, now) for other in range(3)]
            self.assertEqual(sorted(by_tier), by_tier)
            self.assertAlmostEqual(total, by_tier[-1])
