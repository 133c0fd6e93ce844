"""A gateway that asks schedulers tells them what only it knows: who wants nothing from it."""

from __future__ import annotations

import random
import unittest
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


class AskingOnly:
    """Schedulers of which this gateway is none."""

    def is_scheduler(self) -> bool:
        return False


class Client:
    """Schedulers that answer with the first upstream that is not left out, or not at all."""

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
    """As much of a request as a placer reads."""

    need = Need("llm", "r", 0.4, 0.2, 5.0, True, 100, 20, ())
    service = SERVICE
    route = ROUTE
    arrived = 100.0
    ends = 105.0


class TestRests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.knows_fleet = True
        view = UpstreamView()
        view.replace(UPSTREAMS, 1)
        fleet = Fleet("h0")
        self.rests = Cooldowns()
        self.denials = Denials()
        self.client = Client()
        load = SharedLoad("gw", fleet, lambda: self.now, lambda _: SERVICE, lambda _: None)
        self.placer = Placer(
            "gw",
            fleet,
            load,
            view,
            random.Random(1),
            lambda: self.now,
            BarredUpstreams(self.rests, self.denials),
            StatedLimits(),
            cast("Schedulers", AskingOnly()),
            cast("PlacementClient", self.client),
            lambda: self.knows_fleet,
        )

    def ask_for_rest(self, *names: str, seconds: float = 3.0) -> None:
        for name in names:
            self.rests.note_requested(name, seconds, self.now)

    async def place(self) -> Placement | NoChoice:
        request = cast("Request", FakeRequest())
        return await self.placer.place(request, frozenset(), False)

    async def test_a_scheduler_is_told_whom_to_leave_out(self) -> None:
        self.ask_for_rest("e0", "e1", "e2")
        found = await self.place()
        assert isinstance(found, Placement)
        self.assertEqual("e3", found.choice.upstream.id)
        self.assertEqual({"e0", "e1", "e2"}, set(self.client.asks[0].excluded))

    async def test_nor_is_one_of_them_chosen_where_no_scheduler_answers(self) -> None:
        self.client.silent = True
        names = [item.id for item in UPSTREAMS[:9]]
        self.ask_for_rest(*names)
        for _ in range(50):
            found = await self.place()
            assert isinstance(found, Placement)
            self.assertTrue(found.alone)
            self.assertNotIn(found.choice.upstream.id, names)

    async def test_one_that_has_just_started_sends_to_all_by_turns(self) -> None:
        """Its model is empty: by it, every gateway would choose the same upstream."""
        self.client.silent = True
        self.knows_fleet = False
        taken = set()
        for _ in range(len(UPSTREAMS)):
            found = await self.place()
            assert isinstance(found, Placement)
            self.assertTrue(found.drawn)
            taken.add(found.choice.upstream.id)
        self.assertGreater(len(taken), len(UPSTREAMS) // 2)

    async def test_where_all_rest_nobody_is_asked_and_the_first_end_is_told(self) -> None:
        self.ask_for_rest(*(item.id for item in UPSTREAMS[1:]), seconds=9.0)
        self.ask_for_rest("e0", seconds=2.0)
        self.now += 0.5
        found = await self.place()
        assert isinstance(found, NoChoice)
        self.assertEqual((Refusal.RESTING, 1.5), (found.refusal, found.retry_after))
        self.assertEqual([], self.client.asks)

    async def test_after_its_end_it_is_chosen_again(self) -> None:
        self.ask_for_rest("e0", seconds=2.0)
        self.now += 2.0
        found = await self.place()
        assert isinstance(found, Placement)
        self.assertEqual("e0", found.choice.upstream.id)

    async def test_what_has_no_permit_is_left_out_for_its_rank_and_later_ones(self) -> None:
        self.denials.note_denied("e1", "r", 1, self.now + 2.0)
        self.denials.note_denied("e0", "r", 0, self.now + 2.0)
        found = await self.place()
        assert isinstance(found, Placement)
        self.assertEqual("e1", found.choice.upstream.id)
        self.assertEqual({"e0"}, set(self.client.asks[0].excluded))

    async def test_where_some_are_limited_and_the_others_rest_the_first_end_is_told(self) -> None:
        self.ask_for_rest(*(item.id for item in UPSTREAMS[1:]), seconds=9.0)
        self.denials.note_denied("e0", "r", 0, self.now + 2.0)
        found = await self.place()
        assert isinstance(found, NoChoice)
        self.assertEqual((Refusal.LIMITED, 2.0), (found.refusal, found.retry_after))
