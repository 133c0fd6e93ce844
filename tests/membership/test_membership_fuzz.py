"""Arbitrary packets, from members with the right key and from senders without it."""

from __future__ import annotations

import unittest

import anyio
from anyio.abc import SocketAttribute
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.messages import Ping
from lotushill.links.messages import Pong
from lotushill.links.peer_links import PeerLinks
from lotushill.links.seal import Seal
from tests.membership.network import Network

NAMES = st.sampled_from([f"entry-{index}" for index in range(5)] + ["", "stranger"])
STATES = st.builds(
    MemberState,
    name=NAMES,
    address=st.sampled_from(["10.0.0.1:1", "10.0.0.9:1", "nowhere", ""]),
    hall=st.sampled_from(["hall-0", "hall-1", ""]),
    region=st.just("region"),
    incarnation=st.integers(0, 2**63),
    phase=st.sampled_from(MemberPhase),
    configuration=st.integers(-1, 9),
)
PACKETS = st.builds(
    lambda kind, *parts: kind(*parts),
    st.sampled_from([Ping, Pong]),
    NAMES,
    st.integers(0, 2**63),
    NAMES,
    st.lists(STATES, max_size=4).map(tuple),
)


class TestPackets(unittest.TestCase):
    @settings(max_examples=60)
    @given(st.lists(PACKETS, max_size=12))
    def test_a_member_is_always_live_to_itself(self, packets: list[Ping | Pong]) -> None:
        network = Network(3)
        network.run(2.0)
        member = network.members["entry-0"]
        for packet in packets:
            member.receive(packet, "10.0.0.9:1", network.now)
            member.tick(network.now)
            self.assertIn("entry-0", {state.name for state in member.live()})
            self.assertIs(member.own.phase, MemberPhase.ALIVE)

    @settings(max_examples=20)
    @given(st.lists(PACKETS, max_size=6), st.integers(0, 99))
    def test_members_agree_after_arbitrary_packets(
        self, packets: list[Ping | Pong], seed: int
    ) -> None:
        network = Network(3, seed)
        network.run(3.0)
        plausible = [item for item in packets if all(s.incarnation < 2**62 for s in item.members)]
        for packet in plausible:
            network.members["entry-0"].receive(packet, "10.0.0.9:1", network.now)
        network.run(20.0)
        for name, view in network.views().items():
            self.assertTrue(set(network.members) <= view, f"view of {name}: {view}")


class TestConnections(unittest.TestCase):
    def test_peer_with_invalid_address_is_reported_down(self) -> None:
        """An invalid address may arrive in the state of a member that runs another version."""
        down: list[str] = []

        async def main() -> None:
            links = PeerLinks(
                "own", Seal((b"k" * 16,)), lambda _: "nowhere", lambda *_: None, down.append
            )
            async with anyio.create_task_group() as group:
                links.start(group)
                links.post("peer", Ping("own", 1, "", ()))
                with anyio.move_on_after(5):
                    while not down:
                        await anyio.sleep(0.001)
                group.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual(down, ["peer"])

    @settings(max_examples=25)
    @given(st.binary(max_size=80))
    def test_bytes_without_key_deliver_no_message(self, data: bytes) -> None:
        received: list[object] = []

        async def main() -> None:
            seal = Seal((b"k" * 16,))
            links = PeerLinks(
                "own",
                seal,
                lambda _: None,
                lambda *message: received.append(message),
                received.append,
            )
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            async with anyio.create_task_group() as group:
                links.start(group)
                group.start_soon(listener.serve, links.accept)
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    await stream.send(b"c" * 16 + data)
                    await stream.send_eof()
                    with anyio.move_on_after(5):
                        while await stream.receive():
                            pass
                group.cancel_scope.cancel()

        try:
            anyio.run(main)
        except* anyio.EndOfStream:
            pass
        self.assertEqual(received, [])
