from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.placement.prefix_cache_model import PrefixCacheModel
from lotushill.placement.recent_parts import RecentParts
from lotushill.routing.demand import PromptPart

_PROMPT = st.lists(
    st.builds(PromptPart, st.integers(0, 3), st.integers(1, 50)), min_size=1, max_size=4
)


class TestPrefixCacheModel(unittest.TestCase):
    @given(st.lists(_PROMPT, max_size=20), st.integers(0, 400))
    def test_matched_tokens_exceed_neither_capacity_nor_prompt(
        self, prompts: list[list[PromptPart]], capacity: int
    ) -> None:
        kept = PrefixCacheModel()
        for prompt in prompts:
            kept.touch(prompt, capacity)
            matched = kept.matched_tokens(prompt)
            self.assertLessEqual(matched, min(capacity, sum(part.tokens for part in prompt)))

    def test_part_after_a_different_prefix_is_a_different_part(self) -> None:
        kept = PrefixCacheModel()
        kept.touch([PromptPart(1, 10), PromptPart(2, 10)], 1000)
        self.assertEqual(0, kept.matched_tokens([PromptPart(2, 10)]))
        self.assertEqual(10, kept.matched_tokens([PromptPart(1, 10), PromptPart(3, 10)]))

    def test_parts_without_tokens_are_bounded(self) -> None:
        """Parts that callers state to have no tokens filled no cache, and all were kept."""
        kept = PrefixCacheModel()
        for prompt in range(400):
            kept.touch([PromptPart(prompt * 255 + n, 0) for n in range(255)], 500_000)
        self.assertLess(len(kept), 10_000)

    def test_least_recently_used_part_is_evicted(self) -> None:
        kept = PrefixCacheModel()
        for name in (1, 2, 3):
            kept.touch([PromptPart(name, 10)], 30)
        kept.touch([PromptPart(1, 10)], 30)
        kept.touch([PromptPart(4, 10)], 30)
        self.assertEqual(10, kept.matched_tokens([PromptPart(1, 10)]))
        self.assertEqual(0, kept.matched_tokens([PromptPart(2, 10)]))


class TestRecentParts(unittest.TestCase):
    def test_parts_that_callers_make_up_are_bounded(self) -> None:
        """All parts of ten seconds were kept, of which a caller makes thousands in a request."""
        recent = RecentParts(10.0)
        shared = [PromptPart(7, 100), PromptPart(8, 0)]
        for prompt in range(1_000):
            recent.note([PromptPart(prompt * 255 + n, 0) for n in range(1_000, 1_255)], 0.0)
            recent.note(shared, 0.0)
        self.assertLess(len(recent), 150_000)
        self.assertEqual(100, recent.reread_tokens(shared, 0, 1.0))

    def test_only_recently_used_shared_parts_count(self) -> None:
        recent = RecentParts(10.0)
        prompt = [PromptPart(1, 100), PromptPart(2, 200), PromptPart(3, 300)]
        recent.note(prompt, 0.0)
        self.assertEqual(300, recent.reread_tokens(prompt, 0, 5.0))
        self.assertEqual(200, recent.reread_tokens(prompt, 100, 5.0))
        self.assertEqual(0, recent.reread_tokens(prompt, 300, 5.0))
        self.assertEqual(0, recent.reread_tokens(prompt, 0, 20.0))
