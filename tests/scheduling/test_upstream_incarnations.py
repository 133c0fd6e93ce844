"""Tests that updates on a former incarnation of an upstream do not affect the new one."""

from __future__ import annotations

import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.links.load_records import pack_load
from lotushill.links.load_records import unpack_loads
from lotushill.placement.fleet import Fleet
from lotushill.placement.messages import Began
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Load
from lotushill.placement.messages import Outcome
from lotushill.placement.messages import Placed
from lotushill.platform import request_head
from lotushill.platform.upstreams import parse_upstream
from lotushill.requests.upstream_pool import UpstreamPool
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from lotushill.scheduling.shared_load import SharedLoad
from lotushill.views.upstream_view import UpstreamView
from tests.entries import entry
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import ScriptedUpstream

SERVICE = Service("llm", 50, EngineProfile(8, 100_000, 1))


def incarnation(born: int, address: str = "10.0.0.1:80", state: str = "ready") -> list:  # type: ignore[type-arg]
    return [parse_upstream("i-1", entry("llm", address, born=born, state=state))]


def placed(number: int, upstream: str) -> Placed:
    return Placed(number, upstream, 500, 900, 0.2, 2.0, 0.0, (7,), (500,))


class TestUpdates(unittest.TestCase):
    """One gateway receives the updates of another while the upstream ends and starts again."""

    def setUp(self) -> None:
        self.now = 10.0
        self.view = UpstreamView()
        self.fleet = Fleet("z")
        self.shared = SharedLoad(
            "gw-1", self.fleet, lambda: self.now, lambda _: SERVICE, lambda _: None
        )

    def receive_packed(self, load: Load) -> None:
        for item in unpack_loads(pack_load(load), self.view.id_by_number):
            self.shared.receive(item)

    def test_late_updates_on_a_former_incarnation_do_not_affect_the_new_one(self) -> None:
        self.view.replace(incarnation(1), 1)
        self.receive_packed(Load("gw-2", False, placed=(placed(1, "i-1@1"),)))
        self.assertEqual(1, len(self.fleet.load("i-1@1").running))
        self.view.replace(incarnation(2), 2)
        late = Load("gw-2", False, placed=(placed(2, "i-1@1"),), began=(Began(1, 0.1),))
        self.receive_packed(late)
        self.receive_packed(Load("gw-2", False, ended=(Ended(1, Outcome.CUT, 1.0),)))
        new = self.fleet.load("i-1@2")
        self.assertEqual(({}, 0), (new.running, new.reserved_tokens))
        self.assertEqual(Fleet("z").load("x").failures.rate(10.0), new.failures.rate(10.0))

    @given(st.integers(0, 10**6), st.integers(2, 30))
    def test_the_new_incarnation_counts_only_its_own_requests_in_any_order_of_updates(
        self, seed: int, count: int
    ) -> None:
        self.setUp()
        rng = random.Random(seed)
        self.view.replace(incarnation(2), 2)
        loads = []
        for number in range(count):
            upstream = rng.choice(("i-1@1", "i-1@2"))
            loads.append(Load("gw-2", False, placed=(placed(number, upstream),)))
        sent = sum(load.placed[0].upstream == "i-1@2" for load in loads)
        rng.shuffle(loads)
        lost = rng.randrange(len(loads))
        for index, load in enumerate(loads):
            if index != lost:
                self.receive_packed(load)
        held = len(self.fleet.load("i-1@2").running)
        self.assertIn(held, (sent, sent - 1))
        self.assertEqual(0, len(self.fleet.load("i-1@1").running))

    def test_an_upstream_that_drained_ended_and_restarted_is_eligible_at_once(self) -> None:
        for revision, upstreams in enumerate(
            (incarnation(1), incarnation(1, state="draining"), [], incarnation(2))
        ):
            self.view.replace(upstreams, revision)
        self.assertEqual(["i-1@2"], [item.id for item in self.view.of("llm")])


class TestConnections(unittest.IsolatedAsyncioTestCase):
    async def test_no_connection_of_a_former_incarnation_is_used_for_the_new_one(self) -> None:
        async def whole(seen: ReceivedRequest) -> None:
            seen.answer_whole()

        server = ScriptedUpstream([whole])
        await server.start()
        pool = UpstreamPool(request_head.answer_request_id)
        (first,), (second,) = incarnation(1, server.address), incarnation(2, server.address)
        connection = await pool.acquire(first)
        connection.send("r", b"POST", b"POST / HTTP/1.1\r\nattempt-id: r\r\n\r\n")
        await connection.read_head()
        while await connection.read():
            pass
        pool.release(first, connection)
        other = await pool.acquire(second)
        self.assertIsNot(connection, other)
        pool.close_expired({second.id})
        await asyncio.sleep(0)
        self.assertFalse(connection.is_open)
        other.close()
        await server.close()
