"""A connection to an upstream is opened by the way that works, and dead ones are told as dead.

The failure: while a gateway was partitioned from upstreams, each attempt waited for the timeout of
its own connection, at one upstream after another, until its request was given up.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING

from lotushill.links.relay_messages import RelayOutcome
from lotushill.links.seal import Seal
from lotushill.platform import request_head
from lotushill.relaying.relay_choice import Peer
from lotushill.relaying.relays import Relays
from lotushill.requests.exceptions import NotSentError
from lotushill.requests.relayed_connection import RelayFailedError
from lotushill.requests.upstream_connection import UpstreamConnection
from lotushill.requests.upstream_dialer import CONNECT_TIMEOUT_SECONDS
from lotushill.requests.upstream_dialer import UpstreamDialer
from tests.virtual_time import run_virtually

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

PEERS = [Peer(f"gw-{n}", f"10.1.0.{n}:7", f"hall-{n % 2}") for n in range(4)]
UPSTREAMS = [f"10.0.0.{n}:1" for n in range(3)]
ROUND_TRIP_SECONDS = 0.002


class ScriptedDialer(UpstreamDialer):
    """Dialer whose connections succeed, hang or are refused as the test says."""

    def __init__(self, has_peers: bool = True) -> None:
        relays = Relays(
            "gw", "hall-0", lambda: PEERS if has_peers else [], Seal((b"k",)), random.Random(1)
        )
        loop = asyncio.get_running_loop()
        super().__init__(request_head.answer_request_id, loop.time, relays)
        self.direct = "open"
        """What happens to direct connections: "open", "hangs", "refused" or "drops the first"."""
        self.relayed: RelayOutcome | None = RelayOutcome.OPEN
        """Answer of the relays; None for none."""
        self.answers: dict[str, RelayOutcome] = {}
        """Answers of single relays, by name."""
        self.direct_tries = 0
        self.asked: list[str] = []

    async def _connect(self, address: str) -> UpstreamConnection:
        self.direct_tries += 1
        if self.direct == "drops the first" and self.direct_tries == 1:
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise TimeoutError
        if self.direct == "hangs":
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise TimeoutError
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        if self.direct == "refused":
            raise ConnectionRefusedError
        return UpstreamConnection(request_head.answer_request_id, address)

    async def _ask(self, peer: Peer, address: str) -> UpstreamConnection:
        self.asked.append(peer.name)
        await asyncio.sleep(2 * ROUND_TRIP_SECONDS)
        outcome = self.answers.get(peer.name, self.relayed)
        if outcome is not RelayOutcome.OPEN:
            raise RelayFailedError(outcome)
        return UpstreamConnection(request_head.answer_request_id, address, peer.name)


def run(play: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await play()

    run_virtually(main())


class TestUpstreamDialer(unittest.TestCase):
    def test_a_connection_that_can_be_opened_directly_asks_nobody(self) -> None:
        async def play() -> None:
            dialer = ScriptedDialer()
            connection = await dialer.open(UPSTREAMS[0])
            self.assertEqual(("", []), (connection.relay, dialer.asked))

        run(play)

    def test_a_hanging_connection_is_overtaken_by_a_relayed_one(self) -> None:
        async def play() -> None:
            dialer, loop = ScriptedDialer(), asyncio.get_running_loop()
            dialer.direct = "hangs"
            began = loop.time()
            connection = await dialer.open(UPSTREAMS[0])
            self.assertTrue(connection.relay)
            self.assertLess(loop.time() - began, CONNECT_TIMEOUT_SECONDS / 2)

        run(play)

    def test_a_dropped_opening_packet_is_sent_again_before_a_relay_is_asked(self) -> None:
        """Relayed streams ended with the relay, when gateways were stopped in turn."""

        async def play() -> None:
            dialer = ScriptedDialer()
            dialer.direct = "drops the first"
            connection = await dialer.open(UPSTREAMS[0])
            self.assertEqual(("", []), (connection.relay, dialer.asked))

        run(play)

    def test_what_may_not_be_cut_is_relayed_only_where_no_direct_connection_opens(self) -> None:
        async def play() -> None:
            dialer, loop = ScriptedDialer(), asyncio.get_running_loop()
            dialer.direct = "hangs"
            opening = asyncio.create_task(dialer.open(UPSTREAMS[0], may_be_cut=False))
            await asyncio.sleep(0.9 * CONNECT_TIMEOUT_SECONDS)
            self.assertEqual([], dialer.asked)
            self.assertTrue((await opening).relay)
            # From then on the partition is known.
            began = loop.time()
            self.assertTrue((await dialer.open(UPSTREAMS[0], may_be_cut=False)).relay)
            self.assertLess(loop.time() - began, CONNECT_TIMEOUT_SECONDS / 2)

        run(play)

    def test_where_the_partition_is_known_nobody_waits_for_a_direct_connection(self) -> None:
        async def play() -> None:
            dialer, loop = ScriptedDialer(), asyncio.get_running_loop()
            dialer.direct = "hangs"
            for address in UPSTREAMS[:2]:
                await dialer.open(address)
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
            self.assertTrue(dialer.reachability.is_partitioned_from_all)
            began, tries = loop.time(), dialer.direct_tries
            connection = await dialer.open(UPSTREAMS[2])
            self.assertTrue(connection.relay)
            self.assertAlmostEqual(2 * ROUND_TRIP_SECONDS, loop.time() - began)
            self.assertEqual(tries, dialer.direct_tries)

        run(play)

    def test_a_refused_connection_is_relayed_at_once(self) -> None:
        async def play() -> None:
            dialer, loop = ScriptedDialer(), asyncio.get_running_loop()
            dialer.direct = "refused"
            began = loop.time()
            self.assertTrue((await dialer.open(UPSTREAMS[0])).relay)
            self.assertLess(loop.time() - began, 5 * ROUND_TRIP_SECONDS)
            await asyncio.sleep(ROUND_TRIP_SECONDS)
            self.assertTrue(dialer.reachability.is_partitioned(UPSTREAMS[0]))

        run(play)

    def test_an_upstream_that_nobody_reaches_is_dead_and_not_partitioned(self) -> None:
        async def play() -> None:
            for direct, relayed, refused in (
                ("refused", RelayOutcome.REFUSED, True),
                ("hangs", RelayOutcome.REFUSED, True),
                ("hangs", RelayOutcome.UNREACHABLE, False),
                ("hangs", RelayOutcome.UNAVAILABLE, False),
            ):
                with self.subTest(direct=direct, relayed=relayed):
                    dialer = ScriptedDialer()
                    dialer.direct, dialer.relayed = direct, relayed
                    with self.assertRaises(NotSentError) as raised:
                        await dialer.open(UPSTREAMS[0])
                    is_refused = isinstance(raised.exception.__cause__, ConnectionRefusedError)
                    self.assertEqual(refused, is_refused)
                    self.assertEqual(0, dialer.reachability.partitioned_count)

        run(play)

    def test_peers_that_are_refused_as_well_do_not_make_an_upstream_dead(self) -> None:
        # All gateways of a hall are partitioned and do not know it yet; those of another are not.
        async def play() -> None:
            dialer = ScriptedDialer()
            dialer.direct = "refused"
            dialer.answers = {"gw-0": RelayOutcome.REFUSED, "gw-2": RelayOutcome.REFUSED}
            for _ in range(5):
                self.assertTrue((await dialer.open(UPSTREAMS[0])).relay)

        run(play)

    def test_answers_of_peers_that_differ_leave_it_unknown_whether_an_upstream_is_dead(
        self,
    ) -> None:
        async def play() -> None:
            dialer = ScriptedDialer()
            dialer.direct, dialer.relayed = "refused", RelayOutcome.UNREACHABLE
            dialer.answers = {"gw-0": RelayOutcome.REFUSED, "gw-2": RelayOutcome.REFUSED}
            with self.assertRaises(NotSentError) as raised:
                await dialer.open(UPSTREAMS[0])
            self.assertNotIsInstance(raised.exception.__cause__, ConnectionRefusedError)

        run(play)

    def test_a_refusal_here_alone_does_not_make_an_upstream_dead(self) -> None:
        async def play() -> None:
            for outcome in (RelayOutcome.UNREACHABLE, RelayOutcome.UNAVAILABLE, None):
                dialer = ScriptedDialer()
                dialer.direct, dialer.relayed = "refused", outcome
                with self.assertRaises(NotSentError) as raised:
                    await dialer.open(UPSTREAMS[0])
                self.assertNotIsInstance(raised.exception.__cause__, ConnectionRefusedError)

        run(play)

    def test_without_peers_a_refusal_here_makes_an_upstream_dead(self) -> None:
        async def play() -> None:
            dialer = ScriptedDialer(has_peers=False)
            dialer.direct = "refused"
            with self.assertRaises(NotSentError) as raised:
                await dialer.open(UPSTREAMS[0])
            self.assertIsInstance(raised.exception.__cause__, ConnectionRefusedError)

        run(play)

    def test_the_end_of_a_partition_is_found_by_a_probe(self) -> None:
        async def play() -> None:
            dialer = ScriptedDialer()
            dialer.direct = "hangs"
            for address in UPSTREAMS[:2]:
                await dialer.open(address)
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
            dialer.direct = "open"
            for _ in range(25):
                dialer.probe_due()
                await asyncio.sleep(0.05)
            self.assertFalse(dialer.reachability.is_partitioned_from_all)
            self.assertEqual(0, dialer.reachability.partitioned_count)
            self.assertEqual("", (await dialer.open(UPSTREAMS[2])).relay)

        run(play)

    def test_a_gateway_without_peers_fails_as_soon_as_its_own_connection_does(self) -> None:
        async def play() -> None:
            dialer, loop = ScriptedDialer(has_peers=False), asyncio.get_running_loop()
            dialer.direct = "hangs"
            began = loop.time()
            with self.assertRaises(NotSentError):
                await dialer.open(UPSTREAMS[0])
            self.assertAlmostEqual(CONNECT_TIMEOUT_SECONDS, loop.time() - began)

        run(play)
