"""Tests of queueing at a scheduler, for requests of other gateways and for its own."""

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
from lotushill.waiting.entry import ENTRY_EXPIRY_SECONDS
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
        "gw", number, "llm", "chat", need.target, need.target_gap, need.time_left - waited, True,
        False, False, need.prompt_tokens, need.output_tokens, (7,), (need.prompt_tokens,), 0, (),
        waited=waited, waits=True,
    )  # fmt: skip


class Scheduler:
    """The model, queue and placement responder of one scheduler whose engines are full."""

    def __init__(self) -> None:
        self.now = START
        self.sent: list[tuple[PlacementAnswer, str]] = []
        self.updates: list[WaitingNews] = []
        self.ready = True
        self.fleet = filled_fleet(START)
        self.load = SharedLoad("s0", self.fleet, self.clock, lambda _: SERVICE, lambda _: None)
        self.queue = AdmissionQueue(self.fleet, RemoteQueues("s0"))
        self.runner = QueueRunner(
            "s0",
            self.queue,
            lambda _: SERVICE,
            lambda _: UPSTREAMS,
            self.updates.append,
            self.clock,
        )
        self.responder = PlacementResponder(
            "s0", self.fleet, self.load, lambda _: SERVICE, lambda _: UPSTREAMS,
            lambda: self.ready, StatedLimits(), self.runner,
            lambda answer, name: self.sent.append((answer, name)),
        )  # fmt: skip

    def clock(self) -> float:
        return self.now

    def end(self, number: int) -> None:
        """End a running request, which frees its slot."""
        self.fleet.end(Ended(number), self.now)

    def answer(self, item: PlacementAsk) -> PlacementAnswer:
        return self.responder.answer(item, self.now)

    def process(self, seconds: float = 0.01) -> None:
        """Advance the clock and process the queue."""
        self.now += seconds
        self.runner.process_due()


class TestPlacementResponder(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = Scheduler()

    def test_a_request_without_a_slot_is_queued_and_answered_when_one_is_free(self) -> None:
        held = self.scheduler.answer(ask(1))
        self.assertEqual((HELD, ""), (held.refusal, held.upstream))
        self.assertGreater(held.retry_after, 0.1)
        self.scheduler.process()
        self.assertEqual([], self.scheduler.sent)
        self.scheduler.end(1_003)
        self.scheduler.process()
        answer, name = self.scheduler.sent[0]
        self.assertEqual((1, "e0", "gw"), (answer.request, answer.upstream, name))
        self.assertTrue(self.scheduler.fleet.is_running(1), "the model contains the request")

    def test_a_query_without_waits_is_answered_at_once(self) -> None:
        answer = self.scheduler.answer(replace(ask(1), waits=False))
        self.assertNotEqual(HELD, answer.refusal)
        self.assertEqual(0, len(self.scheduler.queue.requests))

    def test_an_answer_that_may_be_lost_is_repeated_and_counted_once(self) -> None:
        self.scheduler.answer(ask(1))
        self.scheduler.end(1_003)
        self.scheduler.end(1_004)
        self.scheduler.process()
        again = self.scheduler.answer(ask(1, 0.2))
        self.assertEqual(self.scheduler.sent[0][0], again)
        self.scheduler.process()
        self.assertEqual(1, len(self.scheduler.sent))
        self.assertEqual(3, len(self.scheduler.fleet.load("e0").running))

    def test_a_request_that_leaves_is_not_placed(self) -> None:
        self.scheduler.answer(ask(1))
        self.scheduler.answer(replace(ask(1), leaves=True))
        self.scheduler.end(1_003)
        self.scheduler.process()
        self.assertEqual([], self.scheduler.sent)

    def test_requests_of_a_gateway_that_has_left_are_not_placed(self) -> None:
        self.scheduler.answer(ask(1))
        self.scheduler.answer(ask(2))
        self.scheduler.runner.drop_gateway("gw")
        self.scheduler.end(1_003)
        self.scheduler.process()
        self.assertEqual(([], 0), (self.scheduler.sent, len(self.scheduler.queue.requests)))

    def test_a_request_without_renewal_expires(self) -> None:
        """If its gateway was killed or is unreachable, a slot would be reserved for no request."""
        self.scheduler.answer(ask(1))
        self.scheduler.now += ENTRY_EXPIRY_SECONDS + 0.1
        self.scheduler.end(1_003)
        self.scheduler.process()
        self.assertEqual([], self.scheduler.sent)

    def test_a_request_is_refused_at_once_when_the_queue_is_full(self) -> None:
        self.scheduler.queue.requests = QueuedRequests(max_requests=1)
        self.assertEqual(HELD, self.scheduler.answer(ask(1)).refusal)
        self.assertNotIn(self.scheduler.answer(ask(2)).refusal, ("", HELD))

    def test_a_restarted_scheduler_queues_a_renewal_as_a_new_request(self) -> None:
        held = Scheduler().answer(ask(1, 0.4))
        self.assertEqual(HELD, held.refusal)

    def test_updates_are_sent_while_requests_wait_and_once_when_none_does(self) -> None:
        self.scheduler.answer(ask(1))
        self.scheduler.process()
        self.scheduler.process()
        self.assertEqual([WaitingNews("s0", "llm", (0,), (1,))], self.scheduler.updates)
        self.scheduler.end(1_003)
        self.scheduler.process()
        self.scheduler.process(0.1)
        self.assertEqual(WaitingNews("s0", "llm", (), ()), self.scheduler.updates[-1])
        self.assertEqual(2, len(self.scheduler.updates))


class FakeRequest:
    """The attributes of a request that a placer reads."""

    need = chat()
    service = SERVICE
    route = ROUTE
    arrived = START
    ends = START + 12.0


class TestOwnRequests(unittest.IsolatedAsyncioTestCase):
    """Tests in a small fleet, in which each gateway places by its own model."""

    def setUp(self) -> None:
        self.scheduler = Scheduler()
        view = UpstreamView()
        view.replace(UPSTREAMS, 1)
        self.placer = Placer(
            "s0", self.scheduler.fleet, self.scheduler.load, view, random.Random(1),
            self.scheduler.clock, BarredUpstreams(Cooldowns(), Denials()), StatedLimits(),
            queue_runner=self.scheduler.runner,
        )  # fmt: skip

    async def start(self) -> asyncio.Task[Placement | NoChoice]:
        """Start a request of this gateway and return once it is queued."""
        request = cast("Request", FakeRequest())
        task = asyncio.create_task(self.placer.place(request, frozenset(), False))
        await asyncio.sleep(0)
        self.assertEqual(1, len(self.scheduler.queue.requests))
        return task

    async def test_an_own_request_is_queued_and_placed(self) -> None:
        task = await self.start()
        self.scheduler.end(1_003)
        self.scheduler.process()
        result = await task
        assert isinstance(result, Placement)
        self.assertEqual("e0", result.choice.upstream.id)

    async def test_two_queued_requests_do_not_get_the_same_slot(self) -> None:
        first, second = await self.start(), None
        request = cast("Request", FakeRequest())
        second = asyncio.create_task(self.placer.place(request, frozenset(), False))
        await asyncio.sleep(0)
        self.scheduler.end(1_003)
        self.scheduler.process()
        result = await first
        assert isinstance(result, Placement)
        self.scheduler.load.start(result.placed, SERVICE)
        self.scheduler.process()
        self.assertFalse(second.done())
        second.cancel()

    async def test_an_own_request_leaves_the_queue_with_its_client(self) -> None:
        task = await self.start()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(0, len(self.scheduler.queue.requests))

    async def test_an_own_request_is_refused_when_its_client_would_give_up(self) -> None:
        task = await self.start()
        self.scheduler.process(chat().first_event_timeout + 0.1)
        result = await task
        assert isinstance(result, NoChoice)
        self.assertTrue(result.final)
