"""Connections between gateways that fall silent: they stay open and deliver nothing.

A message that is posted on such a connection is lost without a sign, and so is the answer of a peer
that uses a silent connection from before although the question came on a new one.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

import anyio

from lotushill.links.messages import ViewKind
from lotushill.links.messages import ViewPage
from lotushill.links.messages import ViewPull
from lotushill.links.peer_links import PeerLinks
from lotushill.links.seal import Seal
from tests.peering.silent_network import Pipe
from tests.virtual_time import run_virtually

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lotushill.links.codec import Message
    from tests.peering.silent_network import Stream

_PULL = ViewPull(ViewKind.CONFIGURATION, 1)
_PAGE = ViewPage(ViewKind.CONFIGURATION, 2, "{}")
_PULL_INTERVAL_SECONDS = 0.5
_ADDRESSES = {"a": "10.0.0.1:7", "b": "10.0.0.2:7"}


class Pair:
    """Two processes; "b" answers each pull with a page."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        self._group = group
        self.pipes: list[Pipe] = []
        self.received: list[Message] = []
        self.pulls = 0
        self._links = {"a": self._create("a"), "b": self._create("b")}
        for links in self._links.values():
            links.start(group)

    def post(self, sender: str, receiver: str, message: Message) -> None:
        self._links[sender].post(receiver, message)

    def silence(self) -> None:
        for pipe in self.pipes:
            pipe.is_silent = True

    async def connect(self, host: str, port: int) -> Stream:
        name = next(name for name, item in _ADDRESSES.items() if item == f"{host}:{port}")
        pipe = Pipe()
        self.pipes.append(pipe)
        self._group.start_soon(self._links[name].accept, pipe.ends[1])
        return pipe.ends[0]

    def _create(self, name: str) -> PeerLinks:
        return PeerLinks(name, Seal((b"k" * 16,)), _ADDRESSES.get, self._receive, lambda _: None)

    def _receive(self, peer: str, message: Message) -> None:
        if isinstance(message, ViewPull):
            self.pulls += 1
            self._links["b" if peer == "a" else "a"].post(peer, _PAGE)
        else:
            self.received.append(message)


def run(play: Callable[[Pair], Awaitable[None]]) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            pair = Pair(group)
            with patch("lotushill.links.peer_links.anyio.connect_tcp", pair.connect):
                await play(pair)
            group.cancel_scope.cancel()

    run_virtually(main())


class TestPeerLinks(unittest.TestCase):
    def test_a_pull_is_answered_on_a_new_connection_after_the_former_fell_silent(self) -> None:
        async def play(pair: Pair) -> None:
            pair.post("a", "b", _PULL)
            await anyio.sleep(0.1)
            pair.silence()
            for _ in range(3):
                pair.post("a", "b", _PULL)
                await anyio.sleep(_PULL_INTERVAL_SECONDS)
            self.assertEqual([_PAGE, _PAGE], pair.received[:2])

        run(play)

    def test_an_answer_is_sent_on_the_connection_that_the_peer_has_opened_last(self) -> None:
        async def play(pair: Pair) -> None:
            pair.post("b", "a", _PAGE)
            await anyio.sleep(0.1)
            pair.silence()
            await anyio.sleep(0.1)
            pair._links["a"]._links.clear()
            pair.post("a", "b", _PULL)
            await anyio.sleep(0.1)
            self.assertEqual((1, [_PAGE, _PAGE]), (pair.pulls, pair.received))

        run(play)

    def test_an_unused_connection_is_closed_before_its_peer_sends_on_it(self) -> None:
        async def play(pair: Pair) -> None:
            for _ in range(3):
                pair.post("a", "b", _PULL)
                await anyio.sleep(1.5)
                pair.post("b", "a", _PULL)
                await anyio.sleep(1.5)
            self.assertEqual(6, len(pair.received))
            self.assertEqual(6, len(pair.pipes))

        run(play)

    def test_all_ends_of_silent_connections_are_closed(self) -> None:
        async def play(pair: Pair) -> None:
            for _ in range(4):
                pair.post("a", "b", _PULL)
                await anyio.sleep(0.1)
                pair.silence()
                pair.post("a", "b", _PULL)
                pair.post("b", "a", _PULL)
            await anyio.sleep(3.0)
            self.assertTrue(all(end.is_closed for pipe in pair.pipes for end in pipe.ends))

        run(play)

    def test_a_page_that_takes_long_to_send_is_not_cut_off(self) -> None:
        async def play(pair: Pair) -> None:
            pair.post("a", "b", _PULL)
            await anyio.sleep(0.1)
            pair.pipes[0].latency_seconds = 4.0
            pair.pipes[0].trickles = True
            pair.post("a", "b", _PULL)
            await anyio.sleep(9.0)
            self.assertEqual([_PAGE, _PAGE], pair.received)

        run(play)


if __name__ == "__main__":
    unittest.main()
