"""Tests that placement queries exclude upstreams that accept no requests from this gateway.

Only this gateway knows them, so a scheduler would choose them without that.
"""

from __future__ import annotations

import random
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import cast

from lotushill.availability.cooldowns import Cooldowns
from lotushill.availability.stated_limits import StatedLimits
from lotushill.limits.barred_upstreams import BarredUpstreams
from lotushill.limits.denials import Denials
from lotushill.links.messages import PlacementAnswer
from lotushill.links.messages import PlacementAsk
from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.placement.fleet import Fleet
from lotushill.placement.need import Need
from lotushill.routing.route import Route
from lotushill.routing.route import RouteKind
from lotushill.routing.route import WeightedService
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from lotushill.routing.upstream import Upstream
from lotushill.routing.urgency import Urgency
from lotushill.scheduling.placement import Placement
from lotushill.scheduling.placer import Placer
from lotushill.scheduling.shared_load import SharedLoad
from lotushill.views.upstream_view import UpstreamView

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.membership.schedulers import Schedulers
    from lotushill.scheduling.placement_client import PlacementClient
    from lotushill.scheduling.request import Request

SERVICE = Service("llm", 600, EngineProfile(8, 100_000, 1))
UPSTREAMS = [Upstream(f"e{n}", "llm", f"10.0.0.{n}:1", "h0", 8, False) for n in range(12)]
ROUTE = Route(
    "r", "a.example", "/p/", RouteKind.STREAM, (WeightedService("llm", 1.0),), 5.0, 0.4, 0.2,
    Urgency(0), 2, False, False,
)  # fmt: skip


class FakeSchedulers:
    """Fake schedulers; this gateway is not one of them."""

    def is_scheduler(self) -> bool:
        return False


class FakeClient:
    """Fake client whose schedulers answer with the first upstream not excluded, or not at all."""

    def __init__(self) -> None:
        self.asks: list[PlacementAsk] = []
        self.silent = False

    async def ask(self, make: Callable[[], PlacementAsk]) -> PlacementAnswer | None:
        ask = make()
        self.asks.append(ask)
        if self.silent:
            return None
        free = [item.id for item in UPSTREAMS if item.id not in ask.excluded]
        return PlacementAnswer("scheduler", ask.request, free[0])


class FakeRequest:
    """The attributes of a request that a placer reads."""

    need = Need("llm", "r", 0.4, 0.2, 5.0, True, 100, 20, ())
    service = SERVICE
    route = ROUTE
    arrived = 100.0
    ends = 105.0


class TestBarredUpstreams(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.has_fleet_model = True
        view = self.view = UpstreamView()
        view.replace(UPSTREAMS, 1)
        fleet = Fleet("h0")
        self.cooldowns = Cooldowns()
        self.denials = Denials()
        self.client = FakeClient()
        load = SharedLoad("gw", fleet, lambda: self.now, lambda _: SERVICE, lambda _: None)
        self.placer = Placer(
            "gw",
            fleet,
            load,
            view,
            random.Random(1),
            lambda: self.now,
            BarredUpstreams(self.cooldowns, self.denials),
            StatedLimits(),
            cast("Schedulers", FakeSchedulers()),
            cast("PlacementClient", self.client),
            lambda: self.has_fleet_model,
        )

    def start_cooldowns(self, *names: str, seconds: float = 3.0) -> None:
        for name in names:
            self.cooldowns.note_requested(name, seconds, self.now)

    async def place(self) -> Placement | NoChoice:
        request = cast("Request", FakeRequest())
        return await self.placer.place(request, frozenset(), False)

    async def test_upstreams_in_cooldown_are_excluded_from_the_query(self) -> None:
        self.start_cooldowns("e0", "e1", "e2")
        result = await self.place()
        assert isinstance(result, Placement)
        self.assertEqual("e3", result.choice.upstream.id)
        self.assertEqual({"e0", "e1", "e2"}, set(self.client.asks[0].excluded))

    async def test_a_scheduler_that_knows_no_versions_is_asked_for_another_upstream(self) -> None:
        wanted = UPSTREAMS[2].id
        self.view.replace(
            [replace(item, version="v1" if item.id == wanted else "v2") for item in UPSTREAMS], 2
        )
        request = cast("Request", FakeRequest())
        request.__dict__["need"] = replace(request.need, version="v1")
        result = await self.placer.place(request, frozenset(), False)
        assert isinstance(result, Placement)
        self.assertEqual(wanted, result.choice.upstream.id)
        self.assertEqual(["v1"] * 3, [ask.version for ask in self.client.asks])

    async def test_upstreams_in_cooldown_are_not_chosen_without_a_scheduler(self) -> None:
        self.client.silent = True
        names = [item.id for item in UPSTREAMS[:9]]
        self.start_cooldowns(*names)
        for _ in range(50):
            result = await self.place()
            assert isinstance(result, Placement)
            self.assertTrue(result.alone)
            self.assertNotIn(result.choice.upstream.id, names)

    async def test_a_gateway_that_has_just_started_spreads_its_requests(self) -> None:
        """Its model is empty: by this model, every gateway would choose the same upstream."""
        self.client.silent = True
        self.has_fleet_model = False
        taken = set()
        for _ in range(len(UPSTREAMS)):
            result = await self.place()
            assert isinstance(result, Placement)
            self.assertTrue(result.drawn)
            taken.add(result.choice.upstream.id)
        self.assertGreater(len(taken), len(UPSTREAMS) // 2)

    async def test_with_all_in_cooldown_the_first_end_is_given_without_a_query(self) -> None:
        self.start_cooldowns(*(item.id for item in UPSTREAMS[1:]), seconds=9.0)
        self.start_cooldowns("e0", seconds=2.0)
        self.now += 0.5
        result = await self.place()
        assert isinstance(result, NoChoice)
        self.assertEqual((Refusal.RESTING, 1.5), (result.refusal, result.retry_after))
        self.assertEqual([], self.client.asks)

    async def test_an_upstream_is_chosen_again_after_its_cooldown(self) -> None:
        self.start_cooldowns("e0", seconds=2.0)
        self.now += 2.0
        result = await self.place()
        assert isinstance(result, Placement)
        self.assertEqual("e0", result.choice.upstream.id)

    async def test_an_upstream_without_a_permit_is_excluded_for_its_rank_and_later_ones(
        self,
    ) -> None:
        self.denials.note_denied("e1", "r", 1, self.now + 2.0)
        self.denials.note_denied("e0", "r", 0, self.now + 2.0)
        result = await self.place()
        assert isinstance(result, Placement)
        self.assertEqual("e1", result.choice.upstream.id)
        self.assertEqual({"e0"}, set(self.client.asks[0].excluded))

    async def test_with_some_limited_and_others_in_cooldown_the_first_end_is_given(self) -> None:
        self.start_cooldowns(*(item.id for item in UPSTREAMS[1:]), seconds=9.0)
        self.denials.note_denied("e0", "r", 0, self.now + 2.0)
        result = await self.place()
        assert isinstance(result, NoChoice)
        self.assertEqual((Refusal.LIMITED, 2.0), (result.refusal, result.retry_after))
