"""Tests of requests queued at a scheduler when datagrams or the scheduler itself are lost.

The scheduler is a fake, and each test causes one failure.
"""

from __future__ import annotations

import asyncio
import itertools
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.links.messages import HELD
from lotushill.links.messages import PlacementAnswer
from lotushill.links.messages import PlacementAsk
from lotushill.membership.schedulers import Schedulers
from lotushill.scheduling.placement_client import PlacementClient
from tests.scheduling.test_placement_client import ASK
from tests.scheduling.test_placement_client import large_fleet

if TYPE_CHECKING:
    from collections.abc import Callable

RENEW_SECONDS = 0.02


class FakeScheduler:
    """Fake scheduler that queues each request until `place` is called."""

    def __init__(self, name: str, answer: Callable[[PlacementAnswer], None]) -> None:
        self.name = name
        self.asks: list[PlacementAsk] = []
        self.left_requests: list[int] = []
        self.silent = False
        self.places_after = 10**6
        """Number of queries answered as queued before a request is placed."""
        self.grants: dict[int, PlacementAnswer] = {}
        self._answer = answer

    def handle(self, ask: PlacementAsk) -> None:
        """Handle a query; one for a placed request is answered with the same placement again."""
        if self.silent:
            return
        if ask.leaves:
            self.left_requests.append(ask.request)
            return
        self.asks.append(ask)
        if ask.request in self.grants or len(self.asks) > self.places_after:
            self.place(ask.request)
        else:
            self._answer(
                PlacementAnswer(self.name, ask.request, refusal=HELD, retry_after=RENEW_SECONDS)
            )

    def place(self, request: int, lost: bool = False) -> None:
        """Place a request; drop the answer if `lost` is true."""
        grant = self.grants.setdefault(request, PlacementAnswer(self.name, request, "b0"))
        if not lost:
            self._answer(grant)


class TestQueueing(unittest.IsolatedAsyncioTestCase):
    membership = large_fleet()

    def setUp(self) -> None:
        self.schedulers = Schedulers(self.membership)
        self.late: list[int] = []
        self.client = PlacementClient(
            self.schedulers, self.send, self.late.append, asyncio.get_event_loop().time
        )
        self.numbers = itertools.count(1)
        self.arrived = asyncio.get_event_loop().time()
        self.schedulers_by_address = {
            item.address: FakeScheduler(item.name, self.answer) for item in self.membership.live()
        }
        first, second, *_ = self.schedulers.query_order(0.0, 1)
        self.first, self.second = (
            self.schedulers_by_address[first.address],
            self.schedulers_by_address[second.address],
        )

    def send(self, ask: PlacementAsk, address: str) -> None:
        self.schedulers_by_address[address].handle(ask)

    def answer(self, answer: PlacementAnswer) -> None:
        asyncio.get_running_loop().call_soon(self.client.receive, answer)

    def make_ask(self) -> PlacementAsk:
        waited = asyncio.get_running_loop().time() - self.arrived
        return replace(ASK, request=next(self.numbers), waits=True, waited=waited)

    async def start(self) -> asyncio.Task[PlacementAnswer | None]:
        """Start a request and return once it is queued at the first scheduler."""
        task = asyncio.create_task(self.client.ask(self.make_ask))
        while not self.first.asks:
            await asyncio.sleep(0)
        return task

    async def test_a_queued_request_is_placed_as_soon_as_a_slot_is_free(self) -> None:
        task = await self.start()
        await asyncio.sleep(RENEW_SECONDS / 2)
        self.first.place(1)
        answer = await task
        assert answer is not None
        self.assertEqual(("b0", [1]), (answer.upstream, [ask.request for ask in self.first.asks]))
        self.assertEqual([], self.late + self.first.left_requests)

    async def test_renewals_carry_the_number_and_the_time_waited(self) -> None:
        self.first.places_after = 3
        answer = await self.client.ask(self.make_ask)
        assert answer is not None
        self.assertEqual([1, 1, 1, 1], [ask.request for ask in self.first.asks])
        waited = [ask.waited for ask in self.first.asks]
        self.assertEqual(sorted(waited), waited)
        self.assertGreater(waited[-1], 2 * RENEW_SECONDS)

    async def test_a_lost_scheduler_is_passed_over_and_the_time_waited_is_kept(self) -> None:
        """Killed, frozen or unreachable: in each case the scheduler no longer answers."""
        self.second.places_after = 0
        task = await self.start()
        self.first.silent = True
        answer = await asyncio.wait_for(task, 1.0)
        assert answer is not None
        self.assertEqual(self.second.name, answer.sender)
        self.assertGreater(self.second.asks[0].waited, RENEW_SECONDS)
        self.assertNotEqual(1, answer.request, "a later placement by the first must differ")

    async def test_a_late_placement_by_a_frozen_scheduler_is_given_up(self) -> None:
        self.second.places_after = 0
        task = await self.start()
        self.first.silent = True
        await task
        self.late.clear()
        self.first.place(1)
        await asyncio.sleep(RENEW_SECONDS)
        self.assertEqual([1], self.late)

    async def test_one_lost_datagram_does_not_lose_the_place_in_the_queue(self) -> None:
        task = await self.start()
        self.first.silent = True
        await asyncio.sleep(RENEW_SECONDS * 1.5)
        self.first.silent = False
        self.first.places_after = 0
        answer = await task
        assert answer is not None
        self.assertEqual((self.first.name, 1), (answer.sender, answer.request))
        self.assertEqual([], self.second.asks)

    async def test_a_lost_answer_is_repeated_on_the_next_renewal(self) -> None:
        task = await self.start()
        self.first.place(1, lost=True)
        answer = await task
        assert answer is not None
        self.assertEqual("b0", answer.upstream)
        self.assertEqual([], self.late)

    async def test_an_answer_that_crosses_a_renewal_is_used_once(self) -> None:
        task = await self.start()
        self.first.place(1)
        self.first.place(1)
        answer = await task
        assert answer is not None
        self.client.receive(self.first.grants[1])
        await asyncio.sleep(RENEW_SECONDS)
        self.assertEqual([], self.late, "the request runs and must not be ended")

    async def test_a_placement_right_after_the_queued_answer_is_not_missed(self) -> None:
        task = asyncio.create_task(self.client.ask(self.make_ask))
        await asyncio.sleep(0)
        self.client.receive(PlacementAnswer("any", 1, refusal=HELD, retry_after=RENEW_SECONDS))
        self.client.receive(PlacementAnswer("any", 1, "b0"))
        answer = await task
        assert answer is not None
        self.assertEqual("b0", answer.upstream)

    async def test_the_queue_entry_is_given_up_when_the_client_leaves(self) -> None:
        task = await self.start()
        await asyncio.sleep(RENEW_SECONDS / 2)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual([1], self.first.left_requests)
        self.assertEqual([1], self.late)
        self.assertEqual(0, self.client.waiting)
