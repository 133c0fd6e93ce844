from __future__ import annotations

import unittest
from dataclasses import replace

from lotushill.placement.choice import Choice
from lotushill.placement.messages import Began
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Placed
from lotushill.placement.shortlist import MAX_WEIGHED_UPSTREAMS
from lotushill.placement.shortlist import shortlist
from lotushill.routing.demand import PromptPart
from tests.placement.test_fleet import ENGINE
from tests.placement.test_fleet import Driver
from tests.placement.test_fleet import long
from tests.placement.test_fleet import short
from tests.placement.test_fleet import upstreams


class TestShortlist(unittest.TestCase):
    def test_all_of_few_upstreams_are_weighed(self) -> None:
        few = upstreams("llm", MAX_WEIGHED_UPSTREAMS)
        self.assertEqual(few, list(shortlist(long(), few)))

    def test_shortlist_depends_only_on_the_shared_prompt_parts(self) -> None:
        many = upstreams("llm", 600)
        one, other = shortlist(long(1), many), shortlist(long(2), list(reversed(many)))
        self.assertEqual(MAX_WEIGHED_UPSTREAMS, len(one))
        self.assertEqual({item.id for item in one}, {item.id for item in other})

    def test_different_prompts_are_spread_over_all_upstreams(self) -> None:
        many = upstreams("llm", 600)
        met = set()
        for prompt in range(200):
            need = replace(long(), parts=(PromptPart(prompt, 5000), PromptPart(9, 10)))
            met |= {item.id for item in shortlist(need, many)}
        self.assertEqual(600, len(met))


class TestManyUpstreams(unittest.TestCase):
    """Among many upstreams, the suitable one is found."""

    def test_upstream_with_the_cached_prompt_is_found_among_many(self) -> None:
        driver = Driver()
        candidates = upstreams("llm", 60)
        first = driver.place(long(1), ENGINE, candidates, 0.0)
        driver.fleet.begin(Began(1), 0.3)
        driver.fleet.end(Ended(1), 0.5)
        self.assertEqual(first, driver.place(long(2), ENGINE, candidates, 2.0))

    def test_upstream_with_free_slots_is_found_among_many_full_ones(self) -> None:
        driver = Driver()
        candidates = upstreams("llm", 60)
        slots = ENGINE.engine.slots if ENGINE.engine else 0
        free = candidates[41]
        number = 0
        for item in candidates:
            if item is free:
                continue
            for _ in range(slots):
                number += 1
                driver.fleet.start(Placed(number, item.id, 0, 700, 0.2, 2.0, 0.0), ENGINE, 0.0)
                driver.fleet.begin(Began(number), 0.0)
        found = driver.fleet.choose(short(), ENGINE, candidates, frozenset(), 0.1)
        assert isinstance(found, Choice)
        self.assertEqual(found.upstream.id, free.id)
