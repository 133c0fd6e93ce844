"""An upstream breaks off a stream that has neither a length nor chunks, inside an event.

Such a stream ends with its connection. If the upstream closes that in order, the stream looks
complete unless it is known that it ends inside an event; the client then receives a truncated
answer that is framed as complete.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

import anyio
from anyio.abc import SocketAttribute

from lotushill.links.peer_links import PeerLinks
from lotushill.links.relay_messages import RelayOpen
from lotushill.links.seal import Seal
from lotushill.platform import request_head
from lotushill.relaying.relay_server import RelayServer
from lotushill.requests.relayed_connection import open_relayed
from lotushill.requests.upstream_connection import UpstreamConnection
from lotushill.routing.route import RouteKind
from tests.requests.rig import ReceivedAnswer
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import event
from tests.requests.test_moves import WHOLE
from tests.requests.test_moves import Site

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.requests.rig import Script

_SEAL = Seal((b"k" * 16,))
_EVENTS = 4
_BROKEN_AFTER = 2
"""Number of complete events of a stream that is broken off."""
_CRLF_EVENT = b"id: 2\r\ndata: piece-2\r\n\r\n"
_LATIN_EVENT = "id: 2\ndata: pièce-2\n\n".encode()
_PARTIAL_EVENTS = {
    "inside the id": event(2)[:4],
    "inside the data": event(2)[:12],
    "before the blank line": event(2)[:-1],
    "inside the blank line of CRLF": _CRLF_EVENT[:-1],
    "before the blank line of CRLF": _CRLF_EVENT[:-2],
    "inside a multi-byte character": _LATIN_EVENT[: _LATIN_EVENT.index(b"\xc3") + 1],
    "after a comment line": b": still working\n",
}


def _write_head(seen: ReceivedRequest) -> None:
    seen.frames_events = False
    seen.start_events()


async def goes_on(seen: ReceivedRequest) -> None:
    """Send the rest of the stream and end it."""
    _write_head(seen)
    for number in range(int(seen.headers.get("last-event-id", "-1")) + 1, _EVENTS):
        seen.event(number)
    await seen.writer.drain()
    seen.close()


class _Breaks:
    """Sends some events and part of the next one, and closes the connection in order."""

    def __init__(self, partial: bytes, events: int = _BROKEN_AFTER) -> None:
        self._partial = partial
        self._events = events

    async def __call__(self, seen: ReceivedRequest) -> None:
        _write_head(seen)
        for number in range(self._events):
            seen.event(number)
        if self._partial:
            seen.chunk(self._partial)
        await seen.writer.drain()
        seen.close()


class TestUnframedStreams(unittest.IsolatedAsyncioTestCase):
    def logged(self, rig: Rig, name: str) -> list[dict[str, object]]:
        lines = [json.loads(line) for line in rig.lines]
        return [line for line in lines if line["event"] == name]

    async def call_broken(
        self, breaks: Callable[[ReceivedRequest], object], resumable: bool
    ) -> tuple[ReceivedAnswer, Rig, list[ReceivedRequest]]:
        """Break off the first run of a request; return its answer and all requests received."""
        received: list[ReceivedRequest] = []

        async def either(seen: ReceivedRequest) -> None:
            received.append(seen)
            await (breaks if len(received) == 1 else goes_on)(seen)  # type: ignore[misc]

        upstreams = [ScriptedUpstream([either]), ScriptedUpstream([either])]
        rig = Rig(upstreams, RouteKind.STREAM, resumable, engine=True)
        async with rig:
            got = await rig.call()
        return got, rig, received

    async def test_a_stream_that_ends_between_events_is_complete(self) -> None:
        for resumable in (True, False):
            upstream = ScriptedUpstream([goes_on])
            async with Rig([upstream], RouteKind.STREAM, resumable, engine=True) as rig:
                got = await rig.call()
            self.assertEqual((200, True), (got.status, got.whole))
            self.assertEqual(b"".join(event(n) for n in range(_EVENTS)), got.body)
            self.assertEqual(1, len(upstream.requests))

    async def test_a_stream_that_ends_inside_an_event_is_not_complete(self) -> None:
        for place, partial in _PARTIAL_EVENTS.items():
            with self.subTest(place):
                got, rig, received = await self.call_broken(_Breaks(partial), resumable=False)
                self.assertEqual((200, False), (got.status, got.whole))
                self.assertEqual(1, len(received))
                (ended,) = self.logged(rig, "request.ended")
                self.assertEqual(("truncated", "upstream"), (ended["answer"], ended["cut_by"]))
                (attempt,) = self.logged(rig, "attempt.ended")
                self.assertEqual("broken", attempt["kind"])

    async def test_a_resumable_stream_that_ends_inside_an_event_continues(self) -> None:
        for place, partial in _PARTIAL_EVENTS.items():
            with self.subTest(place):
                got, _, received = await self.call_broken(_Breaks(partial), resumable=True)
                self.assertEqual((200, True), (got.status, got.whole))
                self.assertEqual(b"".join(event(n) for n in range(_EVENTS)), got.body)
                self.assertEqual("1", received[1].headers["last-event-id"])

    async def test_a_stream_that_ends_before_its_first_event_is_not_complete(self) -> None:
        for partial in (b"", event(0)[:5]):
            with self.subTest(partial):
                breaks = _Breaks(partial, events=0)
                got, _, received = await self.call_broken(breaks, resumable=False)
                self.assertEqual((502, 1), (got.status, len(received)))
                got, _, received = await self.call_broken(breaks, resumable=True)
                self.assertEqual((200, True), (got.status, got.whole))
                self.assertEqual(b"".join(event(n) for n in range(_EVENTS)), got.body)

    async def test_a_run_that_continued_from_its_backup_is_not_complete_inside_an_event(
        self,
    ) -> None:
        async def breaks_again(seen: ReceivedRequest) -> None:
            _write_head(seen)
            seen.event(_BROKEN_AFTER)
            seen.chunk(event(_BROKEN_AFTER + 1)[:-1])
            await seen.writer.drain()
            seen.close()

        async def either(seen: ReceivedRequest) -> None:
            first = _Breaks(event(_BROKEN_AFTER)[:7])
            await (breaks_again if "kv-from" in seen.headers else first)(seen)

        upstreams = [ScriptedUpstream([either]), ScriptedUpstream([either])]
        async with Rig(upstreams, RouteKind.STREAM, engine=True, backups=True) as rig:
            got = await rig.call(headers="Token-Usage: 50,20\r\n")
        self.assertEqual((200, False), (got.status, got.whole))
        self.assertEqual(b"".join(event(n) for n in range(_BROKEN_AFTER + 1)), got.body)
        self.assertEqual(2, sum(len(item.requests) for item in upstreams))

    async def test_a_broken_run_counts_as_a_failure_of_its_upstream(self) -> None:
        upstream = ScriptedUpstream([_Breaks(event(2)[:5])])
        async with Rig([upstream], RouteKind.STREAM, engine=True) as rig:
            await rig.call()
            rate = rig.components.fleet.load("b0").failures.rate(rig.clock())
        self.assertGreater(rate, 0.0)


class TestRelayedUnframedStreams(unittest.IsolatedAsyncioTestCase):
    """The connection to the upstream is opened by another gateway, which passes its end on."""

    async def asyncSetUp(self) -> None:
        relay = RelayServer(lambda _: True, lambda: True)
        links = PeerLinks(
            "relay", _SEAL, lambda _: None, lambda *_: None, lambda _: None, relay.serve
        )
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.relay_address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        serving = asyncio.create_task(listener.serve(links.accept))
        self.addCleanup(serving.cancel)

    async def open(self, upstream: str, may_be_cut: bool = True) -> UpstreamConnection:
        return await open_relayed(
            self.relay_address,
            RelayOpen("gw", upstream),
            _SEAL,
            lambda: UpstreamConnection(request_head.answer_request_id, upstream, "relay"),
        )

    async def call(self, script: Script) -> ReceivedAnswer:
        async with Rig([ScriptedUpstream([script])], RouteKind.STREAM, engine=True) as rig:
            with patch.object(rig.components.pool.dialer, "open", self.open):
                return await rig.call()

    async def test_a_relayed_stream_is_complete_between_events_only(self) -> None:
        got = await self.call(goes_on)
        self.assertEqual((200, True), (got.status, got.whole))
        for place, partial in _PARTIAL_EVENTS.items():
            with self.subTest(place):
                got = await self.call(_Breaks(partial))
                self.assertEqual((200, False), (got.status, got.whole))

    async def test_a_relayed_stream_that_is_reset_between_events_is_not_complete(self) -> None:
        async def resets(seen: ReceivedRequest) -> None:
            _write_head(seen)
            seen.event(0)
            await seen.writer.drain()
            await asyncio.sleep(0.05)
            seen.reset()

        got = await self.call(resets)
        self.assertEqual((200, False), (got.status, got.whole))


class TestUnframedStreamsThatMove(unittest.IsolatedAsyncioTestCase):
    def site(self, scripted_answers: list[int | str] | None = None) -> Site:
        site = Site(scripted_answers)
        for item in (site.source, *site.others):
            item.frames_events = False
        return site

    def assert_whole(self, got: ReceivedAnswer, site: Site) -> None:
        self.assertEqual((200, True), (got.status, got.whole))
        self.assertEqual(WHOLE, got.body)
        self.assertEqual([], site.memory.executed_twice)
        self.assertEqual([], site.memory.unreleased())

    async def test_a_stopped_stream_that_ends_between_events_continues_at_its_target(
        self,
    ) -> None:
        for stopped_bytes in (0, 5):
            with self.subTest(stopped_bytes):
                site = self.site()
                site.source.stopped_bytes = stopped_bytes
                async with site.open():
                    got = await site.call()
                    await site.wait_idle()
                self.assert_whole(got, site)
                self.assertEqual(1, site.resumed_count())

    async def test_a_stopped_stream_whose_stop_is_not_answered_continues(self) -> None:
        site = self.site([200, "lost"])
        site.source.stopped_bytes = 0
        async with site.open():
            got = await site.call()
            await site.wait_idle()
        self.assert_whole(got, site)

    async def test_a_run_that_ends_by_itself_while_it_is_to_be_stopped_is_complete(self) -> None:
        site = self.site([200, "ended"])
        async with site.open():
            got = await site.call()
            await site.wait_idle()
        self.assert_whole(got, site)
        self.assertEqual(0, site.resumed_count())
