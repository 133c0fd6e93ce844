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
    def test_of_a_few_all_are_weighed(self) -> None:
        few = upstreams("llm", MAX_WEIGHED_UPSTREAMS)
        self.assertEqual(few, list(shortlist(long(), few)))

    def test_of_many_the_same_are_weighed_for_the_same_prompt_whatever_its_own_part(self) -> None:
        many = upstreams("llm", 600)
        one, other = shortlist(long(1), many), shortlist(long(2), list(reversed(many)))
        self.assertEqual(MAX_WEIGHED_UPSTREAMS, len(one))
        self.assertEqual({item.id for item in one}, {item.id for item in other})

    def test_other_prompts_are_spread_over_all(self) -> None:
        many = upstreams("llm", 600)
        met = set()
        for prompt in range(200):
            need = replace(long(), parts=(PromptPart(prompt, 5000), PromptPart(9, 10)))
            met |= {item.id for item in shortlist(need, many)}
        self.assertEqual(600, len(met))


class TestAmongMany(unittest.TestCase):
    """Of many upstreams the one that fits is found."""

    def test_the_one_that_keeps_the_prompt_is_found_among_many(self) -> None:
        driver = Driver()
        among = upstreams("llm", 60)
        first = driver.place(long(1), ENGINE, among, 0.0)
        driver.fleet.begin(Began(1), 0.3)
        driver.fleet.end(Ended(1), 0.5)
        self.assertEqual(first, driver.place(long(2), ENGINE, among, 2.0))

    def test_one_with_free_slots_is_found_among_many_that_are_full(self) -> None:
        driver = Driver()
        among = upstreams("llm", 60)
        slots = ENGINE.engine.slots if ENGINE.engine else 0
        free = among[41]
        number = 0
        for item in among:
            if item is free:
                continue
            for _ in range(slots):
                number += 1
                driver.fleet.start(Placed(number, item.id, 0, 700, 0.2, 2.0, 0.0), ENGINE, 0.0)
                driver.fleet.begin(Began(number), 0.0)
        found = driver.fleet.choose(short(), ENGINE, among, frozenset(), 0.1)
        assert isinstance(found, Choice)
        self.assertEqual(found.upstream.id, free.id)
