"""A scheduler that holds requests of other gateways, and a gateway that holds its own."""

from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import cast

from lotushill.availability.cooldowns import Cooldowns
from lotushill.availability.stated_limits import StatedLimits
from lotushill.limits.barred_upstreams import BarredUpstreams
from lotushill.limits.denials import Denials
from lotushill.links.messages import HELD
from lotushill.links.messages import PlacementAnswer
from lotushill.links.messages import PlacementAsk
from lotushill.links.messages import WaitingNews
from lotushill.placement.choice import NoChoice
from lotushill.placement.messages import Ended
from lotushill.routing.route import Route
from lotushill.routing.route import RouteKind
from lotushill.routing.route import WeightedService
from lotushill.routing.urgency import Urgency
from lotushill.scheduling.placement import Placement
from lotushill.scheduling.placement_responder import PlacementResponder
from lotushill.scheduling.placer import Placer
from lotushill.scheduling.queue_runner import QueueRunner
from lotushill.scheduling.shared_load import SharedLoad
from lotushill.views.upstream_view import UpstreamView
from lotushill.waiting.admission_queue import AdmissionQueue
from lotushill.waiting.entry import EXPIRY_SECONDS
from lotushill.waiting.queued_requests import QueuedRequests
from lotushill.waiting.slot_turns import RemoteQueues
from tests.waiting.entries import SERVICE
from tests.waiting.entries import UPSTREAMS
from tests.waiting.entries import chat
from tests.waiting.entries import filled_fleet

if TYPE_CHECKING:
    from lotushill.scheduling.request import Request

START = 100.0
ROUTE = Route(
    "chat", "a.example", "/p/", RouteKind.STREAM, (WeightedService("llm", 1.0),), 5.0, 0.5, 0.2,
    Urgency(0), 2, True, False,
)  # fmt: skip


def ask(number: int, waited: float = 0.0) -> PlacementAsk:
    need = chat()
    return PlacementAsk(
        "gw", number, "llm", "chat", need.target, need.target_gap, need.time_left - waited, True, False,
        False, need.prompt_tokens, need.output_tokens, (7,), (need.prompt_tokens,), 0, (),
        waited=waited, waits=True,
    )  # fmt: skip


class Scheduler:
    """The model, the line and the desk of one scheduler whose engines are full."""

    def __init__(self) -> None:
        self.now = START
        self.sent: list[tuple[PlacementAnswer, str]] = []
        self.told: list[WaitingNews] = []
        self.ready = True
        self.fleet = filled_fleet(START)
        self.load = SharedLoad("s0", self.fleet, self.clock, lambda _: SERVICE, lambda _: None)
        self.line = AdmissionQueue(self.fleet, RemoteQueues("s0"))
        self.keeper = QueueRunner(
            "s0", self.line, lambda _: SERVICE, lambda _: UPSTREAMS, self.told.append, self.clock
        )
        self.desk = PlacementResponder(
            "s0", self.fleet, self.load, lambda _: SERVICE, lambda _: UPSTREAMS,
            lambda: self.ready, StatedLimits(), self.keeper,
            lambda answer, name: self.sent.append((answer, name)),
        )  # fmt: skip

    def clock(self) -> float:
        return self.now

    def end(self, number: int) -> None:
        """Free a slot."""
        self.fleet.end(Ended(number), self.now)

    def answer(self, item: PlacementAsk) -> PlacementAnswer:
        return self.desk.answer(item, self.now)

    def look(self, seconds: float = 0.01) -> None:
        """Let time pass, and look for room."""
        self.now += seconds
        self.keeper.process_due()


class TestDesk(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = Scheduler()

    def test_what_finds_no_room_is_held_and_answered_when_there_is(self) -> None:
        held = self.scheduler.answer(ask(1))
        self.assertEqual((HELD, ""), (held.refusal, held.upstream))
        self.assertGreater(held.retry_after, 0.1)
        self.scheduler.look()
        self.assertEqual([], self.scheduler.sent)
        self.scheduler.end(1_003)
        self.scheduler.look()
        answer, name = self.scheduler.sent[0]
        self.assertEqual((1, "e0", "gw"), (answer.request, answer.upstream, name))
        self.assertTrue(self.scheduler.fleet.is_running(1), "it is counted in")

    def test_a_gateway_that_cannot_wait_is_answered_as_before(self) -> None:
        answer = self.scheduler.answer(replace(ask(1), waits=False))
        self.assertNotEqual(HELD, answer.refusal)
        self.assertEqual(0, len(self.scheduler.line.requests))

    def test_an_answer_that_may_be_lost_is_given_again_and_counted_once(self) -> None:
        self.scheduler.answer(ask(1))
        self.scheduler.end(1_003)
        self.scheduler.end(1_004)
        self.scheduler.look()
        again = self.scheduler.answer(ask(1, 0.2))
        self.assertEqual(self.scheduler.sent[0][0], again)
        self.scheduler.look()
        self.assertEqual(1, len(self.scheduler.sent))
        self.assertEqual(3, len(self.scheduler.fleet.load("e0").running))

    def test_one_that_leaves_is_placed_no_more(self) -> None:
        self.scheduler.answer(ask(1))
        self.scheduler.answer(replace(ask(1), leaves=True))
        self.scheduler.end(1_003)
        self.scheduler.look()
        self.assertEqual([], self.scheduler.sent)

    def test_one_whose_gateway_is_gone_is_placed_no_more(self) -> None:
        self.scheduler.answer(ask(1))
        self.scheduler.answer(ask(2))
        self.scheduler.keeper.drop_gateway("gw")
        self.scheduler.end(1_003)
        self.scheduler.look()
        self.assertEqual(([], 0), (self.scheduler.sent, len(self.scheduler.line.requests)))

    def test_one_that_is_asked_for_no_more_expires(self) -> None:
        """Its gateway was killed, or cut off: a slot would be kept for nobody."""
        self.scheduler.answer(ask(1))
        self.scheduler.now += EXPIRY_SECONDS + 0.1
        self.scheduler.end(1_003)
        self.scheduler.look()
        self.assertEqual([], self.scheduler.sent)

    def test_where_the_room_is_full_it_is_refused_at_once(self) -> None:
        self.scheduler.line.requests = QueuedRequests(max_requests=1)
        self.assertEqual(HELD, self.scheduler.answer(ask(1)).refusal)
        self.assertNotIn(self.scheduler.answer(ask(2)).refusal, ("", HELD))

    def test_one_that_started_again_takes_a_renewal_for_a_new_request(self) -> None:
        held = Scheduler().answer(ask(1, 0.4))
        self.assertEqual(HELD, held.refusal)

    def test_others_are_told_while_requests_wait_and_once_that_none_does(self) -> None:
        self.scheduler.answer(ask(1))
        self.scheduler.look()
        self.scheduler.look()
        self.assertEqual([WaitingNews("s0", "llm", (0,), (1,))], self.scheduler.told)
        self.scheduler.end(1_003)
        self.scheduler.look()
        self.scheduler.look(0.1)
        self.assertEqual(WaitingNews("s0", "llm", (), ()), self.scheduler.told[-1])
        self.assertEqual(2, len(self.scheduler.told))


class FakeRequest:
    """As much of a request as a placer reads."""

    need = chat()
    service = SERVICE
    route = ROUTE
    arrived = START
    ends = START + 12.0


class TestOwnRequests(unittest.IsolatedAsyncioTestCase):
    """A small fleet, in which each gateway places by its own model."""

    def setUp(self) -> None:
        self.scheduler = Scheduler()
        view = UpstreamView()
        view.replace(UPSTREAMS, 1)
        self.placer = Placer(
            "s0", self.scheduler.fleet, self.scheduler.load, view, random.Random(1),
            self.scheduler.clock, BarredUpstreams(Cooldowns(), Denials()), StatedLimits(),
            queue_runner=self.scheduler.keeper,
        )  # fmt: skip

    async def start(self) -> asyncio.Task[Placement | NoChoice]:
        """Have a request of this gateway wait."""
        request = cast("Request", FakeRequest())
        task = asyncio.create_task(self.placer.place(request, frozenset(), False))
        await asyncio.sleep(0)
        self.assertEqual(1, len(self.scheduler.line.requests))
        return task

    async def test_it_waits_and_is_placed(self) -> None:
        task = await self.start()
        self.scheduler.end(1_003)
        self.scheduler.look()
        found = await task
        assert isinstance(found, Placement)
        self.assertEqual("e0", found.choice.upstream.id)

    async def test_two_that_wait_do_not_get_one_slot(self) -> None:
        first, second = await self.start(), None
        request = cast("Request", FakeRequest())
        second = asyncio.create_task(self.placer.place(request, frozenset(), False))
        await asyncio.sleep(0)
        self.scheduler.end(1_003)
        self.scheduler.look()
        found = await first
        assert isinstance(found, Placement)
        self.scheduler.load.start(found.placed, SERVICE)
        self.scheduler.look()
        self.assertFalse(second.done())
        second.cancel()

    async def test_where_its_client_leaves_it_waits_no_longer(self) -> None:
        task = await self.start()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(0, len(self.scheduler.line.requests))

    async def test_it_is_refused_when_its_client_would_leave(self) -> None:
        task = await self.start()
        self.scheduler.look(chat().first_event_timeout + 0.1)
        found = await task
        assert isinstance(found, NoChoice)
        self.assertTrue(found.final)
