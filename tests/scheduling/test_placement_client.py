"""Tests of the placement queries that a gateway sends to schedulers."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from lotushill.links.messages import UNREADY
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.messages import PlacementAnswer
from lotushill.links.messages import PlacementAsk
from lotushill.membership.membership import Membership
from lotushill.membership.membership_options import MembershipOptions
from lotushill.membership.schedulers import MAX_SMALL_FLEET_GATEWAYS
from lotushill.membership.schedulers import Schedulers
from lotushill.scheduling.placement_client import PlacementClient
from tests.membership.network import Network

FLEET = MAX_SMALL_FLEET_GATEWAYS + 14
ASK = PlacementAsk(
    "gw", 0, "llm", "r", 0.4, 0.0, 5.0, True, False, False, 100, 50, (1,), (100,), 1, ()
)
Answering = Callable[[str, PlacementAsk], PlacementAnswer | None]


def large_fleet() -> Membership:
    """Return the membership of a gateway that is not a scheduler."""
    network = Network(0)
    for index in range(FLEET):
        network.add(index, seeds=[network.address(item) for item in range(FLEET)])
    network.run(6.0)
    return next(item for item in network.members.values() if not Schedulers(item).is_scheduler())


class TestPlacementClient(unittest.IsolatedAsyncioTestCase):
    membership = large_fleet()

    def setUp(self) -> None:
        self.schedulers = Schedulers(self.membership)
        self.asked: list[tuple[str, int]] = []
        self.late: list[int] = []
        self.answering: Answering = lambda name, ask: PlacementAnswer(name, ask.request, "b0")
        self.now = 0.0
        self.client = PlacementClient(
            self.schedulers, self.send, self.late.append, lambda: self.now
        )
        self.numbers = itertools.count(1)

    def make_ask(self) -> PlacementAsk:
        return replace(ASK, request=next(self.numbers))

    def send(self, ask: PlacementAsk, address: str) -> None:
        name = next(item.name for item in self.membership.live() if item.address == address)
        self.asked.append((name, ask.request))
        answer = self.answering(name, ask)
        if answer is not None:
            asyncio.get_running_loop().call_soon(self.client.receive, answer)

    async def test_the_first_scheduler_of_the_own_hall_is_asked(self) -> None:
        answer = await self.client.ask(self.make_ask)
        assert answer is not None
        first = self.schedulers.query_order(0.0, 1)[0]
        self.assertEqual(self.membership.own.hall, first.hall)
        self.assertEqual([(first.name, 1)], self.asked)
        self.assertEqual("b0", answer.upstream)

    async def test_requests_are_spread_over_the_schedulers_of_the_hall(self) -> None:
        for _ in range(10):
            await self.client.ask(self.make_ask)
        counts = Counter(name for name, _ in self.asked)
        self.assertEqual([5, 5], sorted(counts.values()))
        for name, number in self.asked:
            self.assertEqual(name, self.schedulers.query_order(0.0, number)[0].name)

    async def test_a_silent_scheduler_is_passed_over(self) -> None:
        first, second, *_ = self.schedulers.query_order(0.0, 1)
        self.answering = lambda name, ask: (
            None if name == first.name else PlacementAnswer(name, ask.request, "b1")
        )
        for _ in range(3):
            answer = await self.client.ask(self.make_ask)
            assert answer is not None
            self.assertEqual(second.name, answer.sender)
        self.assertEqual([first.name, *[second.name] * 3], [name for name, _ in self.asked])

    async def test_a_scheduler_that_is_not_ready_is_passed_over_at_once(self) -> None:
        first, second, *_ = self.schedulers.query_order(0.0, 1)
        self.answering = lambda name, ask: PlacementAnswer(
            name, ask.request, *(("", UNREADY) if name == first.name else ("b1",))
        )
        answer = await self.client.ask(self.make_ask)
        assert answer is not None
        self.assertEqual(second.name, answer.sender)
        self.assertEqual(0, self.client.unanswered)

    async def test_without_any_answer_the_gateway_decides_alone(self) -> None:
        self.answering = lambda name, ask: None
        self.assertIsNone(await self.client.ask(self.make_ask))
        asked = [name for name, _ in self.asked]
        self.assertEqual(3, len(set(asked)))
        halls = {state.hall for name in asked if (state := self.membership.find(name))}
        self.assertEqual(2, len(halls), "a scheduler of another hall is asked too")

    async def test_a_late_answer_is_given_up(self) -> None:
        answers: list[PlacementAnswer] = []

        def keep(name: str, ask: PlacementAsk) -> None:
            answers.append(PlacementAnswer(name, ask.request, "b0"))

        self.answering = keep
        self.assertIsNone(await self.client.ask(self.make_ask))
        for answer in answers:
            self.client.receive(answer)
        self.assertEqual([1, 2, 3], self.late)

    async def test_an_answer_to_a_client_that_has_left_is_given_up(self) -> None:
        self.answering = lambda name, ask: None
        task = asyncio.ensure_future(self.client.ask(self.make_ask))
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.client.receive(PlacementAnswer("any", 1, "b0"))
        self.assertEqual([1], self.late)


class TestSchedulers(unittest.TestCase):
    def test_a_single_gateway_schedules(self) -> None:
        own = MemberState("gw", "10.0.0.1:1", "h", "r", 1, MemberPhase.ALIVE)
        membership = Membership(own, (), MembershipOptions(), Network(0).rng)
        schedulers = Schedulers(membership)
        self.assertTrue(schedulers.is_scheduler())
        self.assertTrue(schedulers.is_small_fleet())
        self.assertEqual([], schedulers.query_order(0.0))

    def test_a_scheduler_that_leaves_is_replaced_by_the_next(self) -> None:
        network = Network(0)
        for index in range(FLEET):
            network.add(index, seeds=[network.address(item) for item in range(FLEET)])
        network.run(6.0)
        before = Schedulers(network.members["entry-0"]).names_by_hall()
        leaver = before["hall-0"][0]
        network.send(leaver, network.members[leaver].leave())
        network.run(3.0)
        for name, member in network.members.items():
            if name != leaver:
                after = Schedulers(member).names_by_hall()
                self.assertEqual(before["hall-1"], after["hall-1"])
                self.assertEqual(before["hall-0"][1], after["hall-0"][0])
