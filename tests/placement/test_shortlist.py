from __future__ import annotations

import unittest
from dataclasses import replace

from lotushill.placement.shortlist import MOST_WEIGHED
from lotushill.placement.shortlist import shortlist
from lotushill.routing.demand import PromptPart
from tests.placement.test_fleet import long
from tests.placement.test_fleet import upstreams


class TestShortlist(unittest.TestCase):
    def test_of_a_few_all_are_weighed(self) -> None:
        few = upstreams("llm", MOST_WEIGHED)
        self.assertEqual(few, list(shortlist(long(), few)))

    def test_of_many_the_same_are_weighed_for_the_same_prompt_whatever_its_own_part(self) -> None:
        many = upstreams("llm", 600)
        one, other = shortlist(long(1), many), shortlist(long(2), list(reversed(many)))
        self.assertEqual(MOST_WEIGHED, len(one))
        self.assertEqual({item.id for item in one}, {item.id for item in other})

    def test_other_prompts_are_spread_over_all(self) -> None:
        many = upstreams("llm", 600)
        met = set()
        for prompt in range(200):
            need = replace(long(), parts=(PromptPart(prompt, 5000), PromptPart(9, 10)))
            met |= {item.id for item in shortlist(need, many)}
        self.assertEqual(600, len(met))
