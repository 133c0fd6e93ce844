"""Exchange of load and views between gateways on an in-memory network."""

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
from lotushill.links.origin_messages import OriginAnswer
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


async def _serve_no_relay(*_: object) -> None:
    """Serve no connection on behalf of another gateway."""


class FakeTransport:
    """Delivers datagrams immediately through the network, which counts them."""

    def __init__(self, network: Network, source: Peers) -> None:
        self._network = network
        self._source = source

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._network.deliver(self._source, data, address)


class Network:
    """Gateways in three halls."""

    def __init__(self, count: int) -> None:
        self.loads: dict[str, list[Load]] = {}
        self.paces: dict[str, list[LongTermPace]] = {}
        self.peers: dict[str, Peers] = {}
        self.datagrams = 0
        self.posted: list[tuple[Any, ...]] = []
        """Sender, receiver and messages of posts on connections, which are not delivered."""
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
            on_slots=lambda *_: None,
            on_returns=lambda _: None,
            on_origin=lambda _: None,
            on_origin_ask=lambda ask: OriginAnswer(name, ask.number),
            on_origin_answer=lambda _: None,
            on_ended=lambda _: None,
            on_tick=lambda: None,
            on_gateway_gone=lambda name: None,
            answer_placement=lambda ask, now: PlacementAnswer(name, ask.request, refusal=UNREADY),
            on_late_placement=lambda request: None,
            serve_relay=_serve_no_relay,
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
        transport: Any = FakeTransport(self, peers)
        peers._transport = transport
        self.peers[f"10.0.0.{index}"] = peers
        return peers

    def deliver(self, source: Peers, data: bytes, address: tuple[str, int]) -> None:
        target = self.peers[address[0]]
        if {source.membership.own.name, target.membership.own.name} & self.down:
            return
        self.datagrams += 1
        host, _, port = source.membership.own.address.partition(":")
        target.datagram_received(data, (host, int(port)))

    def converge(self) -> None:
        """Tick until all gateways have discovered each other."""
        for _ in range(ROUNDS):
            self.now += 0.2
            for peers in self.all():
                peers._tick(self.now)

    def run(self, seconds: float) -> None:
        """Advance the clock in steps of one tick."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += 0.05
            for peers in self.all():
                peers._tick(self.now)

    def flush(self) -> None:
        """Advance the clock by some milliseconds and pass on pending load."""
        self.now += 0.03
        for peers in self.all():
            peers._relay.flush_due(self.now)


class TestSmallFleet(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.network = Network(12)
        self.network.converge()
        self.sender = self.network.all()[0]

    def received(self) -> dict[str, int]:
        return {name: len(loads) for name, loads in self.network.loads.items()}

    async def test_each_gateway_receives_load_once(self) -> None:
        self.assertEqual(12, self.sender.count())
        self.sender.publish_load(LOAD)
        counts = self.received()
        self.assertEqual(0, counts.pop("gw-0"))
        self.assertEqual({1}, set(counts.values()))

    async def test_quick_load_updates_are_sent_in_batches(self) -> None:
        self.network.datagrams = 0
        for number in range(20):
            self.sender.publish_load(Load("gw-0", False, ended=(Ended(number),)))
        self.network.flush()
        counts_after_flush = self.received()
        self.assertEqual(
            {20}, {count for name, count in counts_after_flush.items() if name != "gw-0"}
        )
        self.assertLessEqual(self.network.datagrams, 2 * 11)

    async def test_load_reaches_the_others_while_one_gateway_is_down(self) -> None:
        self.network.down = {"gw-1"}
        for number in range(40):
            self.sender.publish_load(Load("gw-0", False, ended=(Ended(number),)))
        self.network.flush()
        counts = self.received()
        self.assertEqual({40}, {counts[name] for name in counts if name not in ("gw-0", "gw-1")})

    async def test_records_that_cannot_be_read_are_counted(self) -> None:
        self.sender._receive_records(b"x")
        self.sender._receive_records(b"\x00" * 11 + b"\xff")
        self.assertEqual(2, self.sender.malformed)

    async def test_new_gateway_pulls_the_model_from_one_other(self) -> None:
        self.network.posted.clear()
        new_gateway = self.network.add(12)
        new_gateway.membership.add_seeds([self.sender.membership.own.address])
        self.network.run(0.4)
        ((puller, source_name, pull),) = self.network.posted
        self.assertEqual("gw-12", puller)
        self.assertIsInstance(pull, ModelPull)
        self.assertFalse(new_gateway.model_sync.is_ready())
        target = next(
            item for item in self.network.all() if item.membership.own.name == source_name
        )
        self.network.posted.clear()
        target._on_message("gw-12", pull)
        ((_, receiver, page),) = self.network.posted
        self.assertEqual("gw-12", receiver)
        self.assertIsInstance(page, ModelPage)
        new_gateway._on_message(source_name, page)
        self.assertTrue(new_gateway.model_sync.is_ready())
        self.assertEqual([7], [load.ended[0].request for load in self.network.loads["gw-12"]])
        self.assertEqual([LongTermPace("e1", 2.0, 1.0)], self.network.paces["gw-12"])
        self.network.posted.clear()
        self.network.run(2.0)
        self.assertEqual([], self.network.posted)


class TestLargeFleet(unittest.IsolatedAsyncioTestCase):
    """Only the schedulers of each hall receive load updates; the other gateways query them."""

    async def asyncSetUp(self) -> None:
        self.network = Network(30)
        self.network.converge()
        everybody = self.network.all()
        self.schedulers = [item for item in everybody if item.schedulers.is_scheduler()]
        self.others = [item for item in everybody if not item.schedulers.is_scheduler()]

    def received(self) -> dict[str, int]:
        return {name: len(loads) for name, loads in self.network.loads.items() if loads}

    async def test_all_gateways_agree_on_the_schedulers_of_each_hall(self) -> None:
        names = sorted(item.membership.own.name for item in self.schedulers)
        self.assertEqual(len(HALLS) * SCHEDULERS_PER_HALL, len(names))
        for peers in self.network.all():
            held = [name for order in peers.schedulers.names_by_hall().values() for name in order]
            self.assertEqual(names, sorted(held))

    async def test_only_schedulers_receive_load_and_only_once(self) -> None:
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

    async def test_other_gateways_send_one_datagram_per_load_update(self) -> None:
        self.network.now += 1.0
        self.network.datagrams = 0
        self.others[0].publish_load(LOAD)
        self.network.flush()
        self.assertEqual(1 + len(self.schedulers) - 1, self.network.datagrams)

    async def test_silent_scheduler_is_asked_last(self) -> None:
        gateway = self.others[0]
        first, second, *_ = gateway.schedulers.query_order(self.network.now)
        gateway.schedulers.note_silent(first.name, self.network.now)
        self.assertEqual(second, gateway.schedulers.query_order(self.network.now)[0])
        gateway.schedulers.note_answer(first.name)
        self.assertEqual(first, gateway.schedulers.query_order(self.network.now)[0])

    async def test_hall_with_all_schedulers_silent_is_unreachable(self) -> None:
        scheduler = self.schedulers[0]
        hall = next(name for name in HALLS if name != scheduler.membership.own.hall)
        self.network.run(2.0)
        self.assertFalse(scheduler.is_hall_unreachable(hall))
        members = [item.membership.own for item in self.network.all()]
        self.network.down = {item.name for item in members if item.hall == hall}
        self.network.run(1.0)
        self.assertTrue(scheduler.is_hall_unreachable(hall))
        self.network.down = set()
        self.network.run(0.5)
        self.assertFalse(scheduler.is_hall_unreachable(hall))


class TestPulls(unittest.IsolatedAsyncioTestCase):
    async def test_passive_gateway_pulls_from_its_hall_at_once_and_a_reader_waits(self) -> None:
        network = Network(6)
        network.converge()
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
        behind._views._lags.clear()
        behind._views.pull_if_behind(ViewKind.CONFIGURATION, 1, behind.membership.live(), now + 10)
        self.assertEqual(["gw-0"], posted)
        behind._views.pull_if_behind(ViewKind.CONFIGURATION, 1, behind.membership.live(), now + 11)
        self.assertEqual(["gw-0", "gw-0"], posted)
