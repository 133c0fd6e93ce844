"""Gateways that pass load and views on to each other, on a network in memory."""

from __future__ import annotations

import random
import unittest
from typing import Any

from lotushill.event_log import EventLog
from lotushill.links.limit_messages import PermitAnswer
from lotushill.links.load_records import upstream_number
from lotushill.links.messages import UNREADY
from lotushill.links.messages import ModelPage
from lotushill.links.messages import ModelPull
from lotushill.links.messages import PlacementAnswer
from lotushill.links.messages import StoreContact
from lotushill.links.messages import ViewKind
from lotushill.membership.schedulers import SCHEDULERS_PER_HALL
from lotushill.peering.peers import PeerHooks
from lotushill.peering.peers import Peers
from lotushill.placement.engine_pace import LongTermPace
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Load
from lotushill.process.settings import GatewaySettings

HALLS = ("z1", "z2", "z3")
ROUNDS = 60
LOAD = Load("gw-0", False, ended=(Ended(1),))


class Wire:
    """Delivers datagrams at once, and counts them."""

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
        self.paces: dict[str, list[LongTermPace]] = {}
        self.peers: dict[str, Peers] = {}
        self.datagrams = 0
        self.posted: list[tuple[Any, ...]] = []
        """Sender, receiver and messages on connections, which are not delivered."""
        self.now = 1000.0
        self.down: set[str] = set()
        for index in range(count):
            self.add(index)
        for peers in self.peers.values():
            peers.membership.add_seeds(other.membership.own.address for other in self.all())

    def all(self) -> list[Peers]:
        return list(self.peers.values())

    def add(self, index: int) -> Peers:
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
        hooks = PeerHooks(
            view_revision=lambda kind: 1,
            view_text=lambda kind: (1, ""),
            on_view=lambda kind, revision, text: None,
            store_contact=lambda: StoreContact.PASSIVE,
            upstream_id={upstream_number("e1"): "e1"}.get,
            on_load=received.append,
            all_running=lambda: [Load(name, False, ended=(Ended(7),))],
            paces=lambda: [LongTermPace("e1", 2.0, 1.0)],
            on_paces=self.paces.setdefault(name, []).extend,
            on_work_pull=lambda pull: [],
            on_work_page=lambda page: None,
            on_suspects=lambda news: None,
            on_leaving=lambda _: None,
            on_limits=lambda _: None,
            on_permit_ask=lambda ask: PermitAnswer(ask.number, True, 0.0, 0),
            on_permit_answer=lambda _: None,
            on_returns=lambda _: None,
            on_tick=lambda: None,
            on_gateway_gone=lambda name: None,
            answer_placement=lambda ask, now: PlacementAnswer(name, ask.request, refusal=UNREADY),
            on_late_placement=lambda request: None,
        )
        peers = Peers(
            settings,
            EventLog(name, lambda line: None),
            random.Random(index),
            hooks,
            clock=lambda: self.now,
        )
        links: Any = peers.links
        links.post = lambda peer, *messages: self.posted.append((name, peer, *messages))
        wire: Any = Wire(self, peers)
        peers._transport = wire
        self.peers[f"10.0.0.{index}"] = peers
        return peers

    def deliver(self, source: Peers, data: bytes, address: tuple[str, int]) -> None:
        target = self.peers[address[0]]
        if {source.membership.own.name, target.membership.own.name} & self.down:
            return
        self.datagrams += 1
        host, _, port = source.membership.own.address.partition(":")
        target.datagram_received(data, (host, int(port)))

    def join(self) -> None:
        """Let all find one another."""
        for _ in range(ROUNDS):
            self.now += 0.2
            for peers in self.all():
                peers._tick(self.now)

    def run(self, seconds: float) -> None:
        """Let time pass in steps of a tick."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += 0.05
            for peers in self.all():
                peers._tick(self.now)

    def flush(self) -> None:
        """Let some milliseconds pass, so that what waits is passed on."""
        self.now += 0.03
        for peers in self.all():
            peers._relay.flush_due(self.now)


class TestSmallFleet(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.network = Network(12)
        self.network.join()
        self.sender = self.network.all()[0]

    def received(self) -> dict[str, int]:
        return {name: len(loads) for name, loads in self.network.loads.items()}

    async def test_each_gateway_is_told_once(self) -> None:
        self.assertEqual(12, self.sender.count())
        self.sender.publish_load(LOAD)
        told = self.received()
        self.assertEqual(0, told.pop("gw-0"))
        self.assertEqual({1}, set(told.values()))

    async def test_what_comes_quickly_is_told_in_batches(self) -> None:
        self.network.datagrams = 0
        for number in range(20):
            self.sender.publish_load(Load("gw-0", False, ended=(Ended(number),)))
        self.network.flush()
        late = self.received()
        self.assertEqual({20}, {count for name, count in late.items() if name != "gw-0"})
        self.assertLessEqual(self.network.datagrams, 2 * 11)

    async def test_one_that_is_gone_keeps_nobody_in_the_dark(self) -> None:
        self.network.down = {"gw-1"}
        for number in range(40):
            self.sender.publish_load(Load("gw-0", False, ended=(Ended(number),)))
        self.network.flush()
        told = self.received()
        self.assertEqual({40}, {told[name] for name in told if name not in ("gw-0", "gw-1")})

    async def test_records_that_cannot_be_read_are_counted(self) -> None:
        self.sender._take_records(b"x")
        self.sender._take_records(b"\x00" * 11 + b"\xff")
        self.assertEqual(2, self.sender.malformed)

    async def test_one_that_has_come_asks_one_other_for_all_that_runs(self) -> None:
        self.network.posted.clear()
        newcomer = self.network.add(12)
        newcomer.membership.add_seeds([self.sender.membership.own.address])
        self.network.run(0.4)
        ((asker, asked, pull),) = self.network.posted
        self.assertEqual("gw-12", asker)
        self.assertIsInstance(pull, ModelPull)
        self.assertFalse(newcomer.model_sync.is_ready())
        target = next(item for item in self.network.all() if item.membership.own.name == asked)
        self.network.posted.clear()
        target._on_message("gw-12", pull)
        ((_, receiver, page),) = self.network.posted
        self.assertEqual("gw-12", receiver)
        self.assertIsInstance(page, ModelPage)
        newcomer._on_message(asked, page)
        self.assertTrue(newcomer.model_sync.is_ready())
        self.assertEqual([7], [load.ended[0].request for load in self.network.loads["gw-12"]])
        self.assertEqual([LongTermPace("e1", 2.0, 1.0)], self.network.paces["gw-12"])
        self.network.posted.clear()
        self.network.run(2.0)
        self.assertEqual([], self.network.posted)


class TestLargeFleet(unittest.IsolatedAsyncioTestCase):
    """Only the schedulers of each hall hear of what runs, and the others ask them."""

    async def asyncSetUp(self) -> None:
        self.network = Network(30)
        self.network.join()
        everybody = self.network.all()
        self.schedulers = [item for item in everybody if item.schedulers.is_scheduler()]
        self.others = [item for item in everybody if not item.schedulers.is_scheduler()]

    def received(self) -> dict[str, int]:
        return {name: len(loads) for name, loads in self.network.loads.items() if loads}

    async def test_each_hall_has_as_many_schedulers_and_all_agree_on_them(self) -> None:
        names = sorted(item.membership.own.name for item in self.schedulers)
        self.assertEqual(len(HALLS) * SCHEDULERS_PER_HALL, len(names))
        for peers in self.network.all():
            held = [name for order in peers.schedulers.names_by_hall().values() for name in order]
            self.assertEqual(names, sorted(held))

    async def test_schedulers_hear_once_of_what_any_gateway_tells_and_others_do_not(self) -> None:
        for sender in (self.others[0], self.schedulers[0]):
            for loads in self.network.loads.values():
                loads.clear()
            own = sender.membership.own.name
            self.network.now += 1.0
            sender.publish_load(Load(own, False, ended=(Ended(1),)))
            self.network.flush()
            expected = {item.membership.own.name: 1 for item in self.schedulers}
            expected.pop(own, None)
            self.assertEqual(expected, self.received())

    async def test_telling_costs_one_that_does_not_schedule_one_datagram(self) -> None:
        self.network.now += 1.0
        self.network.datagrams = 0
        self.others[0].publish_load(LOAD)
        self.network.flush()
        self.assertEqual(1 + len(self.schedulers) - 1, self.network.datagrams)

    async def test_a_silent_scheduler_is_passed_over(self) -> None:
        asker = self.others[0]
        first, second, *_ = asker.schedulers.query_order(self.network.now)
        asker.schedulers.note_silent(first.name, self.network.now)
        self.assertEqual(second, asker.schedulers.query_order(self.network.now)[0])
        asker.schedulers.note_answer(first.name)
        self.assertEqual(first, asker.schedulers.query_order(self.network.now)[0])

    async def test_a_hall_whose_schedulers_are_all_silent_is_cut_off(self) -> None:
        scheduler = self.schedulers[0]
        hall = next(name for name in HALLS if name != scheduler.membership.own.hall)
        self.network.run(2.0)
        self.assertFalse(scheduler.is_cut_off(hall))
        members = [item.membership.own for item in self.network.all()]
        self.network.down = {item.name for item in members if item.hall == hall}
        self.network.run(1.0)
        self.assertTrue(scheduler.is_cut_off(hall))
        self.network.down = set()
        self.network.run(0.5)
        self.assertFalse(scheduler.is_cut_off(hall))


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
        behind._views.pull_if_behind(ViewKind.CONFIGURATION, 1, behind.membership.live(), now)
        self.assertEqual(["gw-0"], posted)
        behind.membership.set_views(1, 1, 1, StoreContact.READING)
        behind._views._behind.clear()
        behind._views.pull_if_behind(ViewKind.CONFIGURATION, 1, behind.membership.live(), now + 10)
        self.assertEqual(["gw-0"], posted)
        behind._views.pull_if_behind(ViewKind.CONFIGURATION, 1, behind.membership.live(), now + 11)
        self.assertEqual(["gw-0", "gw-0"], posted)
