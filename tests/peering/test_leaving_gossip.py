"""Propagation of an upstream's announcement that it leaves from one gateway to all others.

In simulated time, over a network that loses and delays datagrams. The store is unreachable, so that
the upstream's entry stays `ready`. Checks how many gateways receive the update how soon, and how
many datagrams that costs.
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

TICK_SECONDS = 0.05
STEP_SECONDS = 0.01
HEARTBEAT_SECONDS = 1.2
SERVING = [Upstream(f"u{n}", "s", f"10.0.0.{n}:1", "z", 8, False) for n in range(20)]
LOSS_FRACTION = 0.1


@dataclass
class Gateway:
    """One gateway: its view, its gossip, and the time of its next tick."""

    view: UpstreamView
    gossip: LeavingGossip
    next_tick_at: float


@dataclass(frozen=True)
class Packet:
    """An update in transit."""

    arrives_at: float
    receiver: int
    update: LeavingNews


class VirtualFleet:
    """Gateways that all have the same entries."""

    def __init__(
        self, count: int, seed: int = 1, loss: float = LOSS_FRACTION, upstreams: int = len(SERVING)
    ) -> None:
        self.entries = [replace(SERVING[0], id=f"u{n}") for n in range(upstreams)]
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.loss = loss
        self.datagrams = 0
        self._in_transit: list[Packet] = []
        self.gateways = [self._make(number) for number in range(count)]

    def _make(self, number: int) -> Gateway:
        view = UpstreamView()
        view.replace(self.entries, 1)
        gossip = LeavingGossip(
            f"gw-{number}",
            view,
            lambda news: self._broadcast(number, news),
            EventLog("gw", lambda _: None),
            random.Random(number),
            lambda: self.now,
        )
        return Gateway(view, gossip, self.now + self.rng.uniform(0.0, TICK_SECONDS))

    def join(self) -> Gateway:
        """Add a gateway that has only the entries."""
        self.gateways.append(self._make(len(self.gateways)))
        return self.gateways[-1]

    def _broadcast(self, sender: int, update: LeavingNews) -> None:
        for number in range(len(self.gateways)):
            if number == sender:
                continue
            self.datagrams += 1
            if self.rng.random() >= self.loss:
                arrives_at = self.now + self.rng.uniform(0.001, 0.02)
                self._in_transit.append(Packet(arrives_at, number, update))

    def run(self, seconds: float) -> None:
        """Advance the clock, deliver datagrams that arrive and tick the gateways."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += STEP_SECONDS
            due = [item for item in self._in_transit if item.arrives_at <= self.now]
            self._in_transit = [item for item in self._in_transit if item.arrives_at > self.now]
            for packet in due:
                self.gateways[packet.receiver].gossip.receive(packet.update)
            for gateway in self.gateways:
                if self.now >= gateway.next_tick_at:
                    gateway.next_tick_at += TICK_SECONDS
                    gateway.gossip.send_due()

    def count_draining(self, upstream_id: str) -> int:
        """Return the number of gateways that send an upstream no new requests."""
        found = [gateway.view.find(upstream_id) for gateway in self.gateways]
        return sum(item is not None and item.draining for item in found)


class TestLeavingGossip(unittest.TestCase):
    def test_all_gateways_know_within_a_heartbeat(self) -> None:
        for count in (2, 9, 81, 360):
            with self.subTest(count=count):
                fleet = VirtualFleet(count)
                fleet.gateways[0].gossip.note_answer("u3")
                fleet.run(HEARTBEAT_SECONDS)
                self.assertEqual(count, fleet.count_draining("u3"))
                self.assertEqual(0, fleet.count_draining("u4"))

    def test_announcements_stay_few_if_all_gateways_learn_at_once(self) -> None:
        for count in (9, 81, 360):
            with self.subTest(count=count):
                fleet = VirtualFleet(count)
                for gateway in fleet.gateways:
                    gateway.gossip.note_answer("u3")
                fleet.run(4.0)
                # An announcement is one datagram to each other gateway. Several gateways send it in
                # each of the five intervals; if all did, it would be 360 announcements in each.
                self.assertLess(fleet.datagrams / count, 0.15 * count + 60)

    def test_many_upstreams_leaving_together_are_all_announced(self) -> None:
        fleet = VirtualFleet(81)
        for upstream in SERVING:
            fleet.gateways[0].gossip.note_answer(upstream.id)
        fleet.run(2 * HEARTBEAT_SECONDS)
        self.assertEqual([81] * len(SERVING), [fleet.count_draining(item.id) for item in SERVING])

    def test_new_announcement_spreads_among_many_old_ones_at_bounded_cost(self) -> None:
        fleet = VirtualFleet(81, upstreams=150)
        for gateway in fleet.gateways:
            for number in range(149):
                gateway.gossip.note_answer(f"u{number}")
        fleet.run(20.0)
        before = fleet.datagrams
        fleet.run(20.0)
        self.assertLess((fleet.datagrams - before) / 20.0, 4 * 81)
        fleet.gateways[3].gossip.note_answer("u149")
        fleet.run(2 * HEARTBEAT_SECONDS)
        self.assertEqual(81, fleet.count_draining("u149"))

    def test_gateway_that_joins_later_is_notified(self) -> None:
        fleet = VirtualFleet(9, loss=0.0)
        fleet.gateways[0].gossip.note_answer("u3")
        fleet.run(20.0)
        fleet.join()
        fleet.run(6.4)
        self.assertEqual(10, fleet.count_draining("u3"))

    def test_gateways_exchange_announcements_after_a_partition(self) -> None:
        fleet = VirtualFleet(9, loss=1.0)
        fleet.gateways[0].gossip.note_answer("u3")
        fleet.gateways[8].gossip.note_answer("u5")
        fleet.run(10.0)
        self.assertEqual((1, 1), (fleet.count_draining("u3"), fleet.count_draining("u5")))
        fleet.loss = LOSS_FRACTION
        fleet.run(3.2 + 2 * HEARTBEAT_SECONDS)
        self.assertEqual((9, 9), (fleet.count_draining("u3"), fleet.count_draining("u5")))

    def test_announcements_end_once_the_entry_shows_draining(self) -> None:
        fleet = VirtualFleet(9)
        fleet.gateways[0].gossip.note_answer("u3")
        fleet.run(HEARTBEAT_SECONDS)
        draining = [replace(item, draining=item.id == "u3") for item in SERVING]
        for gateway in fleet.gateways:
            gateway.view.replace(draining, 2)
        before = fleet.datagrams
        fleet.run(10.0)
        self.assertEqual(before, fleet.datagrams)

    def test_announcement_before_the_entry_applies_when_the_entry_arrives(self) -> None:
        fleet = VirtualFleet(2, loss=0.0)
        late = replace(SERVING[0], id="late")
        fleet.gateways[0].view.replace([*SERVING, late], 2)
        fleet.gateways[0].gossip.note_answer("late")
        fleet.run(HEARTBEAT_SECONDS)
        fleet.gateways[1].view.replace([*SERVING, late], 2)
        self.assertEqual(2, fleet.count_draining("late"))
