"""A gateway whose request waits at a scheduler: what is lost on the way, or with its holder.

The scheduler is a fake, and one failure is brought about in each test.
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

RENEW = 0.02


class Holder:
    """A scheduler that holds what it is asked for, until it is told to place it."""

    def __init__(self, name: str, answer: Callable[[PlacementAnswer], None]) -> None:
        self.name = name
        self.asks: list[PlacementAsk] = []
        self.left: list[int] = []
        self.silent = False
        self.places_after = 10**6
        """Asks that are answered as held."""
        self.grants: dict[int, PlacementAnswer] = {}
        self._answer = answer

    def take(self, ask: PlacementAsk) -> None:
        """Take in an ask; one that was placed is answered alike again."""
        if self.silent:
            return
        if ask.leaves:
            self.left.append(ask.request)
            return
        self.asks.append(ask)
        if ask.request in self.grants or len(self.asks) > self.places_after:
            self.place(ask.request)
        else:
            self._answer(PlacementAnswer(self.name, ask.request, refusal=HELD, retry_after=RENEW))

    def place(self, request: int, lost: bool = False) -> None:
        """Place a request, and have its answer lost on the way if so told."""
        grant = self.grants.setdefault(request, PlacementAnswer(self.name, request, "b0"))
        if not lost:
            self._answer(grant)


class TestWaiting(unittest.IsolatedAsyncioTestCase):
    membership = large_fleet()

    def setUp(self) -> None:
        self.schedulers = Schedulers(self.membership)
        self.late: list[int] = []
        self.client = PlacementClient(
            self.schedulers, self.send, self.late.append, asyncio.get_event_loop().time
        )
        self.numbers = itertools.count(1)
        self.arrived = asyncio.get_event_loop().time()
        self.holders = {
            item.address: Holder(item.name, self.answer) for item in self.membership.live()
        }
        first, second, *_ = self.schedulers.query_order(0.0, 1)
        self.first, self.second = self.holders[first.address], self.holders[second.address]

    def send(self, ask: PlacementAsk, address: str) -> None:
        self.holders[address].take(ask)

    def answer(self, answer: PlacementAnswer) -> None:
        asyncio.get_running_loop().call_soon(self.client.receive, answer)

    def make(self) -> PlacementAsk:
        waited = asyncio.get_running_loop().time() - self.arrived
        return replace(ASK, request=next(self.numbers), waits=True, waited=waited)

    async def start(self) -> asyncio.Task[PlacementAnswer | None]:
        """Have a request wait at the first scheduler."""
        task = asyncio.create_task(self.client.ask(self.make))
        while not self.first.asks:
            await asyncio.sleep(0)
        return task

    async def test_it_is_placed_as_soon_as_there_is_room(self) -> None:
        task = await self.start()
        await asyncio.sleep(RENEW / 2)
        self.first.place(1)
        answer = await task
        assert answer is not None
        self.assertEqual(("b0", [1]), (answer.upstream, [ask.request for ask in self.first.asks]))
        self.assertEqual([], self.late + self.first.left)

    async def test_it_is_asked_for_again_with_its_number_and_the_time_waited(self) -> None:
        self.first.places_after = 3
        answer = await self.client.ask(self.make)
        assert answer is not None
        self.assertEqual([1, 1, 1, 1], [ask.request for ask in self.first.asks])
        waited = [ask.waited for ask in self.first.asks]
        self.assertEqual(sorted(waited), waited)
        self.assertGreater(waited[-1], 2 * RENEW)

    async def test_a_holder_that_is_lost_is_passed_over_and_the_place_kept(self) -> None:
        """Killed, frozen and cut off look the same from here: it no longer answers."""
        self.second.places_after = 0
        task = await self.start()
        self.first.silent = True
        answer = await asyncio.wait_for(task, 1.0)
        assert answer is not None
        self.assertEqual(self.second.name, answer.sender)
        self.assertGreater(self.second.asks[0].waited, RENEW)
        self.assertNotEqual(1, answer.request, "what the first may place later is told apart")

    async def test_what_a_frozen_holder_places_later_is_given_up(self) -> None:
        self.second.places_after = 0
        task = await self.start()
        self.first.silent = True
        await task
        self.late.clear()
        self.first.place(1)
        await asyncio.sleep(RENEW)
        self.assertEqual([1], self.late)

    async def test_one_lost_datagram_costs_no_place(self) -> None:
        task = await self.start()
        self.first.silent = True
        await asyncio.sleep(RENEW * 1.5)
        self.first.silent = False
        self.first.places_after = 0
        answer = await task
        assert answer is not None
        self.assertEqual((self.first.name, 1), (answer.sender, answer.request))
        self.assertEqual([], self.second.asks)

    async def test_an_answer_that_was_lost_comes_with_the_next_ask(self) -> None:
        task = await self.start()
        self.first.place(1, lost=True)
        answer = await task
        assert answer is not None
        self.assertEqual("b0", answer.upstream)
        self.assertEqual([], self.late)

    async def test_an_answer_that_crosses_an_ask_is_used_once(self) -> None:
        task = await self.start()
        self.first.place(1)
        self.first.place(1)
        answer = await task
        assert answer is not None
        self.client.receive(self.first.grants[1])
        await asyncio.sleep(RENEW)
        self.assertEqual([], self.late, "it runs, and is not to be ended")

    async def test_an_answer_right_behind_the_word_that_it_waits_is_not_missed(self) -> None:
        task = asyncio.create_task(self.client.ask(self.make))
        await asyncio.sleep(0)
        self.client.receive(PlacementAnswer("any", 1, refusal=HELD, retry_after=RENEW))
        self.client.receive(PlacementAnswer("any", 1, "b0"))
        answer = await task
        assert answer is not None
        self.assertEqual("b0", answer.upstream)

    async def test_where_its_client_leaves_the_place_is_given_up(self) -> None:
        task = await self.start()
        await asyncio.sleep(RENEW / 2)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual([1], self.first.left)
        self.assertEqual([1], self.late)
        self.assertEqual(0, self.client.waiting)
