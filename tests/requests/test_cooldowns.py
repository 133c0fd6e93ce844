"""An engine rejected a request, asked for a cooldown of three seconds, and received three more.

Guards against ignoring the cooldown that an engine states in an answer: the rejected request went
elsewhere, and the next ones were placed as if nothing had been stated. The failure raised the cost
of the engine for a while, which kept most requests away, until other engines cost even more. In one
log an engine was sent a request 1.124 s after it had answered 503 with Retry-After: 3, by the
gateway that had received the answer, although the round trip takes 6 ms. In a later simulation an
engine in a cooldown received 17 requests from nine gateways within eight seconds and rejected all
of them. With all six engines in a cooldown, one received 39 requests in 1.5 s from one gateway.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from lotushill.placement.choice import Choice
from lotushill.placement.failure_rate import FailureRate
from lotushill.routing.route import RouteKind
from tests.requests.rig import SIGNED
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream

if TYPE_CHECKING:
    from lotushill.placement.choice import NoChoice
    from lotushill.requests.upstream_connection import UpstreamConnection
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.placement import Placement
    from lotushill.scheduling.request import Request

COOLDOWN_SECONDS = 120.0
"""Cooldown in seconds, longer than any test."""
COOLDOWN_HEAD = (
    f"503 Busy\r\nContent-Length: 0\r\nNot-Executed: 1\r\nRetry-After: {COOLDOWN_SECONDS}\r\n"
)


async def asks_for_cooldown(seen: ReceivedRequest) -> None:
    seen.answer(COOLDOWN_HEAD)


async def whole(seen: ReceivedRequest) -> None:
    seen.answer_whole()


class TestOneGateway(unittest.IsolatedAsyncioTestCase):
    async def test_upstreams_without_a_cooldown_get_all_requests(self) -> None:
        upstreams = [ScriptedUpstream([asks_for_cooldown]) for _ in range(2)] + [
            ScriptedUpstream([whole])
        ]
        async with Rig(upstreams) as rig:
            got = [await rig.call(f"r{number}") for number in range(20)]
        self.assertEqual({200}, {item.status for item in got})
        self.assertGreaterEqual(1, max(len(item.requests) for item in upstreams[:2]))

    async def test_no_upstream_gets_requests_while_all_are_in_cooldown(self) -> None:
        upstreams = [ScriptedUpstream([asks_for_cooldown]) for _ in range(3)]
        async with Rig(upstreams, max_attempts=5) as rig:
            got = [await rig.call(f"r{number}") for number in range(20)]
        self.assertEqual({503}, {item.status for item in got})
        self.assertEqual([1, 1, 1], [len(item.requests) for item in upstreams])

    async def test_a_cooldown_ends_in_time_after_a_suspension(self) -> None:
        upstream = ScriptedUpstream([asks_for_cooldown, whole])
        async with Rig([upstream]) as rig:
            await rig.call("r1")
            rig.suspend(COOLDOWN_SECONDS - 5.0)
            early = await rig.call("r2")
            rig.suspend(10.0)
            late = await rig.call("r3")
        self.assertEqual((503, 200), (early.status, late.status))

    async def test_an_upstream_that_may_have_run_the_request_gets_a_cooldown(self) -> None:
        async def fails(seen: ReceivedRequest) -> None:
            seen.answer(
                f"503 Busy\r\nContent-Length: 0\r\nRetry-After: {COOLDOWN_SECONDS}\r\n{SIGNED}"
            )

        upstream = ScriptedUpstream([fails, whole])
        async with Rig([upstream], RouteKind.NON_IDEMPOTENT) as rig:
            await rig.call("r1")
            await rig.call("r2")
        self.assertEqual(1, len(upstream.requests))

    async def test_malformed_retry_after_values_are_ignored(self) -> None:
        for text in ("soon", "-1", "nan", "1e999", "", "Wed, 21 Oct 2026 07:28:00 GMT"):
            with self.subTest(text=text):

                async def odd(seen: ReceivedRequest, text: str = text) -> None:
                    head = "503 Busy\r\nContent-Length: 0\r\nNot-Executed: 1\r\n"
                    seen.answer(f"{head}Retry-After: {text}\r\n")

                upstream = ScriptedUpstream([odd, whole])
                async with Rig([upstream]) as rig:
                    await rig.call("r1")
                    got = await rig.call("r2")
                self.assertEqual(200, got.status)


class TestEverySend(unittest.IsolatedAsyncioTestCase):
    """No request is written to an upstream in its cooldown, however the upstream was chosen."""

    async def test_a_request_that_waited_for_a_connection_is_placed_again(self) -> None:
        upstreams = [ScriptedUpstream([asks_for_cooldown]), ScriptedUpstream([whole])]
        async with Rig(upstreams, max_attempts=1, slack=0.0) as rig:
            delay_connection(rig, "b0", "r1")
            got = await rig.call("r1")
        self.assertEqual(200, got.status)
        self.assertEqual(["asked"], [item.id for item in upstreams[0].requests])

    async def test_a_placement_that_ignores_the_cooldown_is_not_used(self) -> None:
        upstreams = [ScriptedUpstream([asks_for_cooldown]), ScriptedUpstream([whole])]
        async with Rig(upstreams, max_attempts=1, slack=2.0) as rig:
            prefer(rig, "b0")
            got = [await rig.call(f"r{number}") for number in range(5)]
        self.assertEqual({200}, {item.status for item in got})
        self.assertEqual(1, len(upstreams[0].requests))

    async def test_a_run_is_not_continued_at_an_upstream_in_cooldown(self) -> None:
        async def serve(seen: ReceivedRequest) -> None:
            if seen.id == "asked":
                return seen.answer(COOLDOWN_HEAD)
            if "kv-from" in seen.headers:
                return seen.answer_whole()
            seen.start_events()
            seen.event(0)
            await seen.writer.drain()
            copy = next(item for item in rig.view.all() if item.address == backup_of(seen))
            prefer(rig, copy.id)
            await rig.call("asked", headers="Token-Usage: 50,20\r\n")
            # As after some seconds, when the failure no longer counts and the cooldown still does.
            rig.components.fleet.load(copy.id).failures = FailureRate()
            seen.reset()
            return None

        upstreams = [ScriptedUpstream([serve]) for _ in range(2)]
        async with Rig(upstreams, RouteKind.STREAM, engine=True, backups=True) as rig:
            got = await rig.call("runs", headers="Token-Usage: 50,20\r\n")
        sent = [seen for item in upstreams for seen in item.requests if seen.id == "runs"]
        self.assertFalse(got.whole)
        self.assertEqual(1, len(sent))
        # It must not be chosen without being used either, which would spend a retry.
        self.assertNotIn(b'"kind":"barred"', b"".join(rig.lines))


def backup_of(seen: ReceivedRequest) -> str:
    return seen.headers["kv-backup"]


def delay_connection(rig: Rig, upstream_id: str, request_id: str) -> None:
    """Delay the first connection to an upstream until that has rejected another request."""
    acquire = rig.components.pool.acquire
    waited: list[str] = []

    async def wait(upstream: Upstream, may_be_cut: bool = True) -> UpstreamConnection:
        if upstream.id == upstream_id and not waited:
            waited.append(upstream.id)
            await rig.call("asked")
        return await acquire(upstream, may_be_cut)

    prefer(rig, upstream_id)
    rig.components.pool.acquire = wait  # type: ignore[method-assign]


def prefer(rig: Rig, upstream_id: str) -> None:
    """Place requests at one upstream unless it is excluded, as if its cooldown were unknown."""
    place = rig.components.placer.place
    wanted = rig.view.find(upstream_id)
    assert wanted is not None
    choice = Choice(wanted, 0.0, 0.0, 0, 0, 0.0)

    async def chosen(
        request: Request, excluded: frozenset[str], again: bool, waits: bool = True
    ) -> Placement | NoChoice:
        if upstream_id in excluded:
            return await place(request, excluded, again, waits)
        return rig.components.placer.continuation_placement(request, choice)

    rig.components.placer.place = chosen  # type: ignore[method-assign]
