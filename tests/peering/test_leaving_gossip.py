"""One answer tells one gateway that an upstream leaves, and all are to know soon.

In virtual time, over a network that loses and delays datagrams: the store is away, so that the
entry says `ready` throughout. How many are told how soon, and what that costs in datagrams.
"""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.event_log import EventLog
from lotushill.peering.leaving_gossip import LeavingGossip
from lotushill.routing.upstream import Upstream
from lotushill.views.upstream_view import UpstreamView

if TYPE_CHECKING:
    from lotushill.links.messages import LeavingNews

TICK = 0.05
STEP = 0.01
HEARTBEAT = 1.2
SERVING = [Upstream(f"u{n}", "s", f"10.0.0.{n}:1", "z", 8, False) for n in range(20)]
LOSS = 0.1


@dataclass
class Gateway:
    """One gateway: its view, its keeper, and when it last looked."""

    view: UpstreamView
    keeper: LeavingGossip
    ticks_at: float


@dataclass(frozen=True)
class Packet:
    """News under way."""

    arrives: float
    to: int
    news: LeavingNews


class Gateways:
    """So many gateways that all hold the same entries."""

    def __init__(
        self, count: int, seed: int = 1, loss: float = LOSS, upstreams: int = len(SERVING)
    ) -> None:
        self.entries = [replace(SERVING[0], id=f"u{n}") for n in range(upstreams)]
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.loss = loss
        self.datagrams = 0
        self._under_way: list[Packet] = []
        self.gateways = [self._make(number) for number in range(count)]

    def _make(self, number: int) -> Gateway:
        view = UpstreamView()
        view.replace(self.entries, 1)
        keeper = LeavingGossip(
            f"gw-{number}",
            view,
            lambda news: self._tell(number, news),
            EventLog("gw", lambda _: None),
            random.Random(number),
            lambda: self.now,
        )
        return Gateway(view, keeper, self.now + self.rng.uniform(0.0, TICK))

    def join(self) -> Gateway:
        """Add a gateway that knows the entries alone."""
        self.gateways.append(self._make(len(self.gateways)))
        return self.gateways[-1]

    def _tell(self, sender: int, news: LeavingNews) -> None:
        for number in range(len(self.gateways)):
            if number == sender:
                continue
            self.datagrams += 1
            if self.rng.random() >= self.loss:
                arrives = self.now + self.rng.uniform(0.001, 0.02)
                self._under_way.append(Packet(arrives, number, news))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += STEP
            due = [item for item in self._under_way if item.arrives <= self.now]
            self._under_way = [item for item in self._under_way if item.arrives > self.now]
            for packet in due:
                self.gateways[packet.to].keeper.receive(packet.news)
            for gateway in self.gateways:
                if self.now >= gateway.ticks_at:
                    gateway.ticks_at += TICK
                    gateway.keeper.send_due()

    def knowing(self, upstream_id: str) -> int:
        """Return how many gateways send an upstream nothing new."""
        found = [gateway.view.find(upstream_id) for gateway in self.gateways]
        return sum(item is not None and item.draining for item in found)


class TestLeavingGossip(unittest.TestCase):
    def test_all_know_within_a_heartbeat_whoever_was_answered(self) -> None:
        for count in (2, 9, 81, 360):
            with self.subTest(count=count):
                fleet = Gateways(count)
                fleet.gateways[0].keeper.note_answer("u3")
                fleet.run(HEARTBEAT)
                self.assertEqual(count, fleet.knowing("u3"))
                self.assertEqual(0, fleet.knowing("u4"))

    def test_it_costs_no_more_where_all_are_answered_at_once(self) -> None:
        for count in (9, 81, 360):
            with self.subTest(count=count):
                fleet = Gateways(count)
                for gateway in fleet.gateways:
                    gateway.keeper.note_answer("u3")
                fleet.run(4.0)
                # Each telling is a datagram to each other one. Some speak together in each of the
                # five intervals; if all did, it would be 360 tellings in each.
                self.assertLess(fleet.datagrams / count, 0.15 * count + 60)

    def test_many_that_leave_together_are_all_told(self) -> None:
        fleet = Gateways(81)
        for upstream in SERVING:
            fleet.gateways[0].keeper.note_answer(upstream.id)
        fleet.run(2 * HEARTBEAT)
        self.assertEqual([81] * len(SERVING), [fleet.knowing(item.id) for item in SERVING])

    def test_so_it_is_where_a_hall_of_many_leaves_and_few_tell_of_it(self) -> None:
        fleet = Gateways(81, upstreams=150)
        for gateway in fleet.gateways:
            for number in range(149):
                gateway.keeper.note_answer(f"u{number}")
        fleet.run(20.0)
        before = fleet.datagrams
        fleet.run(20.0)
        self.assertLess((fleet.datagrams - before) / 20.0, 4 * 81)
        fleet.gateways[3].keeper.note_answer("u149")
        fleet.run(2 * HEARTBEAT)
        self.assertEqual(81, fleet.knowing("u149"))

    def test_one_that_joins_later_hears_of_it(self) -> None:
        fleet = Gateways(9, loss=0.0)
        fleet.gateways[0].keeper.note_answer("u3")
        fleet.run(20.0)
        fleet.join()
        fleet.run(6.4)
        self.assertEqual(10, fleet.knowing("u3"))

    def test_halls_that_were_cut_off_from_each_other_learn_from_each_other(self) -> None:
        fleet = Gateways(9, loss=1.0)
        fleet.gateways[0].keeper.note_answer("u3")
        fleet.gateways[8].keeper.note_answer("u5")
        fleet.run(10.0)
        self.assertEqual((1, 1), (fleet.knowing("u3"), fleet.knowing("u5")))
        fleet.loss = LOSS
        fleet.run(3.2 + 2 * HEARTBEAT)
        self.assertEqual((9, 9), (fleet.knowing("u3"), fleet.knowing("u5")))

    def test_nothing_is_told_once_the_entry_says_it(self) -> None:
        fleet = Gateways(9)
        fleet.gateways[0].keeper.note_answer("u3")
        fleet.run(HEARTBEAT)
        draining = [replace(item, draining=item.id == "u3") for item in SERVING]
        for gateway in fleet.gateways:
            gateway.view.replace(draining, 2)
        before = fleet.datagrams
        fleet.run(10.0)
        self.assertEqual(before, fleet.datagrams)

    def test_what_is_heard_before_the_entry_holds_when_it_comes(self) -> None:
        fleet = Gateways(2, loss=0.0)
        late = replace(SERVING[0], id="late")
        fleet.gateways[0].view.replace([*SERVING, late], 2)
        fleet.gateways[0].keeper.note_answer("late")
        fleet.run(HEARTBEAT)
        fleet.gateways[1].view.replace([*SERVING, late], 2)
        self.assertEqual(2, fleet.knowing("late"))
