from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.placement.kept_parts import KeptParts
from lotushill.placement.kept_parts import chained
from lotushill.placement.recent_parts import RecentParts
from lotushill.routing.demand import PromptPart

_PROMPT = st.lists(
    st.builds(PromptPart, st.integers(0, 3), st.integers(1, 50)), min_size=1, max_size=4
)


class TestKeptParts(unittest.TestCase):
    @given(st.lists(_PROMPT, max_size=20), st.integers(0, 400))
    def test_never_more_is_matched_than_fits_and_than_was_sent(
        self, prompts: list[list[PromptPart]], capacity: int
    ) -> None:
        kept = KeptParts()
        for prompt in prompts:
            kept.touch(prompt, capacity)
            matched = kept.matched(prompt)
            self.assertLessEqual(matched, min(capacity, sum(part.tokens for part in prompt)))

    def test_a_part_behind_another_part_is_another_part(self) -> None:
        kept = KeptParts()
        kept.touch([PromptPart(1, 10), PromptPart(2, 10)], 1000)
        self.assertEqual(0, kept.matched([PromptPart(2, 10)]))
        self.assertEqual(10, kept.matched([PromptPart(1, 10), PromptPart(3, 10)]))

    def test_the_longest_unused_gives_way(self) -> None:
        kept = KeptParts()
        for name in (1, 2, 3):
            kept.touch([PromptPart(name, 10)], 30)
        kept.touch([PromptPart(1, 10)], 30)
        kept.touch([PromptPart(4, 10)], 30)
        self.assertEqual(10, kept.matched([PromptPart(1, 10)]))
        self.assertEqual(0, kept.matched([PromptPart(2, 10)]))


class TestRecentParts(unittest.TestCase):
    def test_only_shared_parts_used_of_late_count(self) -> None:
        recent = RecentParts(10.0)
        prompt = [PromptPart(1, 100), PromptPart(2, 200), PromptPart(3, 300)]
        recent.note(prompt, 0.0)
        self.assertEqual(300, recent.again(prompt, 0, 5.0))
        self.assertEqual(200, recent.again(prompt, 100, 5.0))
        self.assertEqual(0, recent.again(prompt, 300, 5.0))
        self.assertEqual(0, recent.again(prompt, 0, 20.0))


class TestUnreadParts(unittest.TestCase):
    """What an engine is still to read cannot be copied from it.

    Seen in a burst of long prompts: half of the shared tokens that were read again had been asked
    of engines where the request that was to read them still waited.
    """

    PARTS = (PromptPart(1, 500), PromptPart(2, 4800), PromptPart(3, 900))

    def setUp(self) -> None:
        self.kept = KeptParts()
        self.kept.expect(7, self.PARTS)
        self.kept.touch(self.PARTS, 100_000)

    def test_a_part_is_copied_only_once_it_was_read(self) -> None:
        chain = tuple(chained(self.PARTS))
        self.assertEqual(self.kept.matched_chain(chain), 6200)
        self.assertEqual(self.kept.read_chain(chain), 0)
        self.kept.note_read(7)
        self.assertEqual(self.kept.read_chain(chain), 6200)

    def test_what_was_never_read_is_not_kept(self) -> None:
        self.kept.note_not_read(7)
        self.assertEqual(self.kept.matched(self.PARTS), 0)

    def test_a_second_request_is_not_waited_for(self) -> None:
        self.kept.note_read(7)
        self.kept.expect(8, self.PARTS)
        self.assertEqual(self.kept.read_chain(tuple(chained(self.PARTS))), 6200)
        self.kept.note_not_read(8)
        self.assertEqual(self.kept.matched(self.PARTS), 6200)
