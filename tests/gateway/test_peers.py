"""Gateways that pass load and views on to each other, on a network in memory."""

from __future__ import annotations

import random
import unittest
from typing import Any

from lotushill.event_log import EventLog
from lotushill.gateway.peers import Peers
from lotushill.gateway.settings import GatewaySettings
from lotushill.links.messages import LoadNews
from lotushill.links.messages import StoreContact
from lotushill.links.messages import ViewKind
from lotushill.placement.messages import Load

HALLS = ("z1", "z2", "z3")
ROUNDS = 60
LOAD = Load("gw-0", False, ended=(1,))


class Wire:
    """Delivers datagrams at once, and counts those that leave a hall."""

    def __init__(self, network: Network, source: Peers) -> None:
        self._network = network
        self._source = source

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._network.deliver(self._source, data, address)


class Network:
    """Some gateways in three halls."""

    def __init__(self, count: int) -> None:
        self.loads: dict[str, list[Load]] = {}
        self.peers: dict[str, Peers] = {}
        self.between_halls = 0
        self.now = 1000.0
        self.down: set[str] = set()
        for index in range(count):
            self._add(index)
        for peers in self.peers.values():
            peers.membership.add_seeds(other.membership.own.address for other in self.all())

    def all(self) -> list[Peers]:
        return list(self.peers.values())

    def _add(self, index: int) -> None:
        name = f"gw-{index}"
        received = self.loads.setdefault(name, [])
        settings = GatewaySettings(
            name=name,
            hall=HALLS[index % len(HALLS)],
            region="r",
            clients="10.0.0.1:1",
            readiness="10.0.0.1:2",
            peers=f"10.0.0.{index}:7",
            store="10.0.1.1:1",
        )
        peers = Peers(
            settings,
            EventLog(name, lambda line: None),
            random.Random(index),
            on_load=received.append,
            on_come=lambda: None,
            on_gone=lambda name: None,
            view_revision=lambda kind: 1,
            upstream_id=lambda number: None,
            contact=lambda: StoreContact.PASSIVE,
            view_text=lambda kind: (1, ""),
            on_view=lambda kind, revision, text: None,
            clock=lambda: self.now,
        )
        wire: Any = Wire(self, peers)
        peers._transport = wire
        self.peers[f"10.0.0.{index}"] = peers

    def deliver(self, source: Peers, data: bytes, address: tuple[str, int]) -> None:
        target = self.peers[address[0]]
        if {source.membership.own.name, target.membership.own.name} & self.down:
            return
        self.between_halls += source.membership.own.hall != target.membership.own.hall
        host, _, port = source.membership.own.address.partition(":")
        target.datagram_received(data, (host, int(port)))

    def join(self) -> None:
        """Let all find one another."""
        for _ in range(ROUNDS):
            self.now += 0.2
            for peers in self.all():
                peers._tick(self.now)

    def flush(self) -> None:
        """Let some milliseconds pass, so that what waits is passed on."""
        self.now += 0.02
        for peers in self.all():
            peers._relay.flush_due(self.now)


class TestLoad(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.network = Network(12)
        self.network.join()
        self.sender = self.network.all()[0]

    def received(self) -> dict[str, int]:
        return {name: len(loads) for name, loads in self.network.loads.items()}

    async def test_each_gateway_is_told_once_and_each_hall_once_from_afar(self) -> None:
        self.assertEqual(12, self.sender.count())
        self.network.between_halls = 0
        self.sender.tell_load(LOAD)
        told = self.received()
        self.assertEqual(0, told.pop("gw-0"))
        self.assertEqual({1}, set(told.values()))
        self.assertEqual(len(HALLS) - 1, self.network.between_halls)

    async def test_what_comes_quickly_is_passed_on_in_batches(self) -> None:
        for number in range(20):
            self.sender.tell_load(Load("gw-0", False, ended=(number,)))
        early = self.received()
        self.network.flush()
        late = self.received()
        self.assertEqual({20}, {count for name, count in late.items() if name != "gw-0"})
        self.assertLess(min(early[name] for name in late if name != "gw-0"), 20)

    async def test_one_that_is_gone_does_not_keep_its_hall_in_the_dark(self) -> None:
        for collector in ("gw-1", "gw-4", "gw-7", "gw-10"):
            self.network.down = {collector}
            for loads in self.network.loads.values():
                loads.clear()
            for number in range(40):
                self.sender.tell_load(Load("gw-0", False, ended=(number,)))
            self.network.flush()
            told = self.received()
            others = {"gw-1", "gw-4", "gw-7", "gw-10"} - {collector}
            self.assertGreaterEqual(min(told[name] for name in others), 20, collector)

    async def test_records_that_cannot_be_read_are_counted(self) -> None:
        self.sender._take_load(LoadNews(b"x"), 0.0)
        self.sender._take_load(LoadNews(b"\\x00" * 9 + b"\\xff"), 0.0)
        self.assertEqual(2, self.sender.malformed)


class TestPulls(unittest.IsolatedAsyncioTestCase):
    async def test_a_passive_one_pulls_at_once_from_its_hall_and_a_reader_waits(self) -> None:
        network = Network(6)
        network.join()
        ahead, behind = network.all()[0], network.all()[3]
        posted: list[str] = []
        links: Any = behind.links
        links.post = lambda peer, *messages: posted.append(peer)
        now = network.now + 100
        ahead.membership.set_views(5, 1, 1, StoreContact.READING)
        ahead._send_all(ahead.membership.announce())
        behind._catch_up(ViewKind.CONFIGURATION, 1, behind.membership.live(), now)
        self.assertEqual(["gw-0"], posted)
        behind.membership.set_views(1, 1, 1, StoreContact.READING)
        behind._behind.clear()
        behind._catch_up(ViewKind.CONFIGURATION, 1, behind.membership.live(), now + 10)
        self.assertEqual(["gw-0"], posted)
        behind._catch_up(ViewKind.CONFIGURATION, 1, behind.membership.live(), now + 11)
        self.assertEqual(["gw-0", "gw-0"], posted)
