from __future__ import annotations

import unittest
from dataclasses import dataclass
from dataclasses import field

from hypothesis import given
from hypothesis import strategies as st

from lotushill.placement.choice import Choice
from lotushill.placement.messages import Placed
from lotushill.placement.messages import route_number
from lotushill.placement.need import Need
from lotushill.placement.recent_starts import RECENT_STARTS_SECONDS
from lotushill.placement.recent_starts import RecentStarts
from lotushill.placement.shedding import Shedding
from lotushill.routing.upstream import Upstream

UPSTREAM = Upstream("b", "llm", "10.0.0.1:80", "z", 48, False)
OVERLOADED = Choice(UPSTREAM, 1.0, 60.0, 0, 0, 60.0, wait_seconds=60.0)


def need(tier: int, tokens: int) -> Need:
    return Need("llm", f"r{tier}", 0.4, 0.2, 10.0, True, tokens, 100, (), tier=tier)


def placed(request: int, tier: int, tokens: int, age: float = 0.0) -> Placed:
    return Placed(
        request, "b", tokens, tokens, 0.2, 3.0, age, route=route_number(f"r{tier}"), tier=tier,
        prompt=tokens,
    )  # fmt: skip


@dataclass
class History:
    """Requests started in a fleet, and the refusals of one gateway that receives all reports."""

    shedding: Shedding = field(default_factory=Shedding)
    began: list[tuple[float, int, int]] = field(default_factory=list)

    def begin(self, now: float, tier: int, tokens: int) -> None:
        self.shedding.note(placed(len(self.began), tier, tokens), "llm", now)
        self.began.append((now, tier, tokens))

    def larger_began(self, now: float, tier: int, tokens: int) -> bool:
        return any(
            now - at <= RECENT_STARTS_SECONDS and other > tier and size > 2 * tokens
            for at, other, size in self.began
        )


TIERS = st.integers(0, 2)
TOKENS = st.integers(1, 60_000)
EVENTS = st.lists(
    st.tuples(st.floats(0.0, 1.5), st.booleans(), TIERS, TOKENS), min_size=1, max_size=60
)


class TestShedding(unittest.TestCase):
    def test_long_requests_are_refused_if_all_weighed_upstreams_are_full(self) -> None:
        """Only some of many upstreams are weighed, and these may be full while others are not."""
        shedding = Shedding()
        for number in range(4):
            shedding.note(placed(number, 2, 12_000), "llm", 0.0)
        open_one = Choice(UPSTREAM, 0.1, 0.1, 0, 0, 3.0)
        self.assertIsNone(shedding.refuse(need(2, 12_000), [open_one], 0.1))
        full = Choice(UPSTREAM, 0.1, 0.1, 0, 0, 3.0, is_full=True)
        self.assertIsNotNone(shedding.refuse(need(2, 12_000), [full], 0.1))

    @given(EVENTS)
    def test_nothing_is_refused_while_less_urgent_larger_requests_start(
        self, events: list[tuple[float, bool, int, int]]
    ) -> None:
        history = History()
        now = 0.0
        for pause, begins, tier, tokens in events:
            now += pause
            if begins:
                history.begin(now, tier, tokens)
                continue
            refused = history.shedding.refuse(need(tier, tokens), [OVERLOADED], now)
            if refused is not None:
                self.assertFalse(history.larger_began(now, tier, tokens), (now, tier, tokens))

    def test_least_urgent_request_is_refused_if_no_less_urgent_one_starts(self) -> None:
        history = History()
        history.begin(0.0, 0, 50_000)
        self.assertIsNotNone(history.shedding.refuse(need(2, 9_000), [OVERLOADED], 1.0))

    def test_old_starts_do_not_prevent_a_refusal(self) -> None:
        history = History()
        history.begin(0.0, 2, 50_000)
        later = RECENT_STARTS_SECONDS + 1.0
        self.assertIsNotNone(history.shedding.refuse(need(1, 100), [OVERLOADED], later))

    def test_long_routes_are_determined_from_requests_of_all_gateways(self) -> None:
        shedding = Shedding()
        for n in range(30):
            shedding.note(placed(n, n % 3, (800, 2_400, 12_000)[n % 3]), "llm", 0.0)
        self.assertEqual(
            [False, False, True], [shedding.is_long(need(tier, 2_400)) for tier in range(3)]
        )
        self.assertFalse(Shedding().is_long(need(0, 50_000)))


class TestRecentStarts(unittest.TestCase):
    def test_stored_slices_do_not_grow_with_traffic(self) -> None:
        starts = RecentStarts()
        for n in range(10_000):
            starts.note("llm", 2, 100 + n % 7, n * 0.01)
        self.assertEqual(106, starts.largest_less_urgent("llm", 1, 100.0))
        self.assertEqual(0, starts.largest_less_urgent("llm", 2, 100.0))
        slices = starts._slices["llm"][2]
        self.assertLess(len(slices), 15)
