"""Copies of cached prompt parts: the source, and the cases in which a copy is worthwhile."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from lotushill.placement.fetch import FetchPlanner
from lotushill.routing.service import EngineProfile
from lotushill.routing.upstream import Upstream

READ_RATE = 60_000.0
ENGINE_WITH_TRANSFER = EngineProfile(32, 400_000, 5, token_bytes=160_000, link_rate=3.0e10)
ENGINE_WITHOUT_TRANSFER = EngineProfile(32, 400_000, 5)


def upstream(name: str, hall: str = "h1") -> Upstream:
    return Upstream(name, "llm", f"10.0.0.{name[1:]}:80", hall, 8, False)


UPSTREAMS = {item.id: item for item in (upstream("b1"), upstream("b2"), upstream("b3", "h2"))}


class TestFetch(unittest.TestCase):
    def test_cached_parts_are_copied_from_the_nearer_upstream(self) -> None:
        planner = FetchPlanner(ENGINE_WITH_TRANSFER, {"b1": 0, "b2": 5000, "b3": 5000}, UPSTREAMS)
        fetch = planner.plan(UPSTREAMS["b1"], 0, READ_RATE)
        assert fetch is not None
        self.assertEqual(("b2", 5000), (fetch.source.id, fetch.tokens))
        self.assertLess(fetch.seconds, 5000 / READ_RATE)

    def test_only_missing_tokens_are_copied(self) -> None:
        planner = FetchPlanner(ENGINE_WITH_TRANSFER, {"b1": 3000, "b2": 5000}, UPSTREAMS)
        fetch = planner.plan(UPSTREAMS["b1"], 3000, READ_RATE)
        self.assertEqual(2000, fetch.tokens if fetch else 0)

    def test_parts_that_another_version_cached_are_not_copied(self) -> None:
        upstreams = {**UPSTREAMS, "b2": replace(UPSTREAMS["b2"], version="v2")}
        planner = FetchPlanner(ENGINE_WITH_TRANSFER, {"b1": 0, "b2": 5000, "b3": 3000}, upstreams)
        fetch = planner.plan(upstreams["b1"], 0, READ_RATE)
        self.assertEqual(("b3", 3000), (fetch.source.id, fetch.tokens) if fetch else None)

    def test_few_tokens_are_not_copied(self) -> None:
        planner = FetchPlanner(ENGINE_WITH_TRANSFER, {"b2": 200}, UPSTREAMS)
        self.assertIsNone(planner.plan(UPSTREAMS["b1"], 0, READ_RATE))

    def test_upstream_with_cached_parts_copies_nothing(self) -> None:
        planner = FetchPlanner(ENGINE_WITH_TRANSFER, {"b1": 5000}, UPSTREAMS)
        self.assertIsNone(planner.plan(UPSTREAMS["b1"], 5000, READ_RATE))

    def test_nothing_is_copied_without_a_transfer_rate(self) -> None:
        planner = FetchPlanner(ENGINE_WITHOUT_TRANSFER, {"b2": 5000}, UPSTREAMS)
        self.assertIsNone(planner.plan(UPSTREAMS["b1"], 0, READ_RATE))

    @given(
        st.dictionaries(st.sampled_from(sorted(UPSTREAMS)), st.integers(0, 20_000)),
        st.sampled_from(sorted(UPSTREAMS)),
        st.integers(0, 20_000),
        st.floats(1_000, 1_000_000),
    )
    def test_copy_never_takes_longer_than_prefill(
        self, kept: dict[str, int], target: str, own: int, rate: float
    ) -> None:
        fetch = FetchPlanner(ENGINE_WITH_TRANSFER, kept, UPSTREAMS).plan(
            UPSTREAMS[target], own, rate
        )
        if fetch is not None:
            self.assertLess(fetch.seconds, fetch.tokens / rate)
            self.assertEqual(kept[fetch.source.id], own + fetch.tokens)
