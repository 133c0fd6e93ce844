"""A gateway gives up a silent attempt only when another upstream has the request.

An upstream that pauses may still answer. Whatever is missing for a replacement (an attempt, a
retry, room, or an upstream that accepts the request), the answer of the first upstream is awaited.
"""

from __future__ import annotations

import asyncio
import functools
import time
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.placement.messages import Placed
from lotushill.process.settings import RetrySettings
from lotushill.routing.route import RouteKind
from lotushill.scheduling.placement import Placement
from tests.requests.moving_upstream import EVENTS
from tests.requests.moving_upstream import STEP
from tests.requests.rig import ReceivedAnswer
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import event
from tests.requests.test_cooldowns import prefer
from tests.requests.test_moves import LONG
from tests.requests.test_moves import Site

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.placement.choice import NoChoice
    from lotushill.placement.need import Need
    from lotushill.requests.upstream_gate import Permit
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.request import Request
    from tests.requests.rig import Script

PAUSE_SECONDS = 1.3
"""Pause of a sound upstream, longer than the time after which it counts as silent."""
WHOLE = b"".join(event(number) for number in range(3))
MAX_OVERLAP_SECONDS = 0.4
"""Longest time for which two upstreams may work on one run after a continuation."""
_SLOTS = 8


async def pauses(seen: ReceivedRequest) -> None:
    """Send an event, and the others after a pause."""
    seen.start_events()
    seen.event(0)
    await seen.writer.drain()
    await asyncio.sleep(PAUSE_SECONDS)
    await continues(seen)


async def continues(seen: ReceivedRequest) -> None:
    """Send the events after the first one."""
    seen.event(1)
    seen.event(2)
    seen.end_events()


async def resumes(seen: ReceivedRequest) -> None:
    """Answer with the events that the client does not have."""
    seen.start_events()
    for number in range(int(seen.headers.get("last-event-id", "-1")) + 1, 3):
        seen.event(number)
    seen.end_events()


async def silent(seen: ReceivedRequest) -> None:
    """Answer nothing."""
    await seen.reader.read()


async def stalls(seen: ReceivedRequest) -> None:
    """Send an event and nothing else."""
    seen.start_events()
    seen.event(0)
    await silent(seen)


async def slow(seen: ReceivedRequest) -> None:
    """Send a plain answer after a pause."""
    await asyncio.sleep(PAUSE_SECONDS)
    seen.answer_whole(b"slow")


async def answers(seen: ReceivedRequest) -> None:
    """Send a plain answer."""
    seen.answer_whole()


async def rejects(seen: ReceivedRequest) -> None:
    """State that the request is not run."""
    seen.answer("503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n")


async def fails(seen: ReceivedRequest) -> None:
    """Answer with an error."""
    seen.answer_whole(b"oops", "500 Error")


async def resets(seen: ReceivedRequest) -> None:
    """Reset the connection."""
    seen.reset()


class SilentUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """Base of tests in which the upstream b0 receives the request first."""

    def rig(
        self,
        first: Script,
        others: list[Script],
        kind: RouteKind = RouteKind.STREAM,
        max_attempts: int = 2,
        slack: float = 100.0,
    ) -> Rig:
        is_stream = kind is RouteKind.STREAM
        upstreams = [ScriptedUpstream([script]) for script in (first, *others)]
        return Rig(
            upstreams, kind, is_stream, engine=is_stream, max_attempts=max_attempts, slack=slack
        )

    async def call(
        self, rig: Rig, before: Callable[[Rig], None] = lambda _: None
    ) -> ReceivedAnswer:
        async with rig:
            prefer(rig, "b0")
            before(rig)
            got = await rig.call()
            await asyncio.sleep(0.05)
            self.assert_nothing_held(rig)
        return got

    def assert_nothing_held(self, rig: Rig) -> None:
        """Assert that no request counts as running, and that no retry stays reserved."""
        running = [rig.components.fleet.load(f"b{n}").running for n in range(len(rig.upstreams))]
        fillers = [number for load in running for number in load if number < _SLOTS]
        self.assertEqual(len(fillers), sum(len(load) for load in running))
        self.assertEqual(0, rig.components.budgets.reserved("s"))

    def counts(self, rig: Rig) -> list[int]:
        """Return the number of requests that each upstream received."""
        return [len(item.requests) for item in rig.upstreams]


def fill(rig: Rig, seconds: float) -> None:
    """Let other requests of some seconds take all slots of the second upstream."""
    for number in range(_SLOTS):
        placed = Placed(number, "b1", 10, 100, target_gap=0.0, seconds=seconds, age=0.0)
        rig.components.shared_load.start(placed, rig.service)


class TestStreams(SilentUpstreamTest):
    async def assert_first_answers(
        self, rig: Rig, before: Callable[[Rig], None] = lambda _: None
    ) -> None:
        """Assert that the paused stream of the first upstream is read to its end."""
        got = await self.call(rig, before)
        self.assertEqual((200, True, WHOLE), (got.status, got.whole, got.body))
        self.assertEqual(1, self.counts(rig)[0])

    async def test_without_an_attempt_left_a_paused_stream_is_read_on(self) -> None:
        rig = self.rig(pauses, [resumes], max_attempts=1)
        await self.assert_first_answers(rig)
        self.assertEqual([1, 0], self.counts(rig))

    async def test_without_a_retry_left_a_paused_stream_is_read_on(self) -> None:
        rig = self.rig(pauses, [resumes], slack=0.0)
        await self.assert_first_answers(rig)
        self.assertEqual([1, 0], self.counts(rig))

    async def test_without_another_upstream_a_paused_stream_is_read_on(self) -> None:
        await self.assert_first_answers(self.rig(pauses, []))

    async def test_without_room_elsewhere_a_paused_stream_is_read_on(self) -> None:
        for seconds in (0.2, 30.0):
            with self.subTest(seconds=seconds):
                rig = self.rig(pauses, [resumes])
                await self.assert_first_answers(rig, functools.partial(fill, seconds=seconds))
                self.assertEqual([1, 0], self.counts(rig))

    async def test_while_no_other_upstream_accepts_requests_a_paused_stream_is_read_on(
        self,
    ) -> None:
        def rest(rig: Rig) -> None:
            rig.cooldowns.note_requested("b1", 5.0, rig.clock())

        rig = self.rig(pauses, [resumes])
        await self.assert_first_answers(rig, rest)
        self.assertEqual([1, 0], self.counts(rig))

    async def test_a_paused_stream_is_read_on_if_others_do_not_accept_it(self) -> None:
        for answer in (rejects, fails, resets):
            with self.subTest(answer=answer.__name__):
                rig = self.rig(pauses, [answer])
                await self.assert_first_answers(rig)
                self.assertEqual([1, 1], self.counts(rig))

    async def test_a_paused_stream_is_read_on_if_no_other_upstream_can_be_reached(self) -> None:
        await self.assert_first_answers(
            self.rig(pauses, [resumes]), lambda rig: rig.upstreams[1].stop()
        )

    async def test_a_stream_that_goes_on_while_it_is_replaced_is_read_on(self) -> None:
        replaced = asyncio.Event()
        dropped: list[float] = []

        async def goes_on(seen: ReceivedRequest) -> None:
            seen.start_events()
            seen.event(0)
            await seen.writer.drain()
            await replaced.wait()
            await continues(seen)

        async def replaces(seen: ReceivedRequest) -> None:
            replaced.set()
            asked_at = time.monotonic()
            await seen.reader.read()
            dropped.append(time.monotonic() - asked_at)

        rig = self.rig(goes_on, [replaces])
        await self.assert_first_answers(rig)
        self.assertEqual([1, 1], self.counts(rig))
        self.assertEqual(1, len(dropped))
        self.assertLess(dropped[0], MAX_OVERLAP_SECONDS)

    async def test_what_was_reserved_is_released_if_the_stream_goes_on(self) -> None:
        asked_for_permit = asyncio.Event()
        given_up: list[int] = []

        async def goes_on(seen: ReceivedRequest) -> None:
            seen.start_events()
            seen.event(0)
            await seen.writer.drain()
            await asked_for_permit.wait()
            await continues(seen)

        def interrupt(rig: Rig) -> None:
            place, admit = rig.components.placer.place, rig.components.gate.admit

            async def placed_by_scheduler(
                request: Request, excluded: frozenset[str], again: bool, waits: bool = True
            ) -> Placement | NoChoice:
                result = await place(request, excluded, again, waits)
                assert isinstance(result, Placement)
                return replace(result, scheduler="g1") if "b0" in excluded else result

            async def never_admitted(upstream: Upstream, need: Need, ends: float) -> Permit | None:
                if upstream.id == "b0":
                    return await admit(upstream, need, ends)
                asked_for_permit.set()
                await asyncio.sleep(30.0)
                return None

            rig.components.placer.place = placed_by_scheduler  # type: ignore[method-assign]
            rig.components.gate.admit = never_admitted  # type: ignore[method-assign]
            load = rig.components.shared_load
            load.give_up = lambda request: given_up.append(request)  # type: ignore[method-assign]

        rig = self.rig(goes_on, [resumes])
        await self.assert_first_answers(rig, interrupt)
        self.assertEqual([1, 0], self.counts(rig))
        self.assertEqual(1, len(given_up))

    async def test_a_stream_that_ends_while_it_is_replaced_continues_elsewhere(self) -> None:
        replaced = asyncio.Event()

        async def breaks(seen: ReceivedRequest) -> None:
            seen.start_events()
            seen.event(0)
            await seen.writer.drain()
            await replaced.wait()
            seen.reset()

        async def replaces(seen: ReceivedRequest) -> None:
            replaced.set()
            await asyncio.sleep(0.03)
            await resumes(seen)

        rig = self.rig(breaks, [replaces])
        got = await self.call(rig)
        self.assertEqual((200, True, WHOLE), (got.status, got.whole, got.body))
        self.assertEqual([1, 1], self.counts(rig))

    async def test_a_stalled_stream_is_replaced_at_once_and_then_closed(self) -> None:
        for accepts_after in (0.0, 0.3):
            with self.subTest(accepts_after=accepts_after):
                times: dict[str, float] = {}

                async def stalls_until_closed(
                    seen: ReceivedRequest, times: dict[str, float] = times
                ) -> None:
                    await stalls(seen)
                    times["closed"] = time.monotonic()

                async def replaces(
                    seen: ReceivedRequest,
                    times: dict[str, float] = times,
                    delay: float = accepts_after,
                ) -> None:
                    times["replaced"] = time.monotonic()
                    await asyncio.sleep(delay)
                    await resumes(seen)

                rig = self.rig(stalls_until_closed, [replaces])
                begun = time.monotonic()
                got = await self.call(rig)
                self.assertEqual((200, True, WHOLE), (got.status, got.whole, got.body))
                self.assertLess(times["replaced"] - begun, 1.1)
                self.assertLess(times["closed"] - times["replaced"], 0.25)

    async def test_a_replacement_is_looked_for_again_while_the_stream_stalls(self) -> None:
        async def recover(rig: Rig) -> None:
            await asyncio.sleep(1.2)
            rig.components.budgets.change(RetrySettings(ratio=0.2, slack=100.0))

        rig = self.rig(stalls, [resumes], slack=0.0)
        recovering: list[asyncio.Task[None]] = []
        got = await self.call(rig, lambda rig: recovering.append(asyncio.create_task(recover(rig))))
        self.assertEqual((200, True, WHOLE), (got.status, got.whole, got.body))
        self.assertEqual([1, 1], self.counts(rig))


class TestPlainRequests(SilentUpstreamTest):
    async def assert_first_answers(
        self, rig: Rig, before: Callable[[Rig], None] = lambda _: None
    ) -> None:
        got = await self.call(rig, before)
        self.assertEqual((200, b"slow"), (got.status, got.body))

    def plain(self, others: list[Script], max_attempts: int = 2, slack: float = 100.0) -> Rig:
        return self.rig(slow, others, RouteKind.IDEMPOTENT, max_attempts, slack)

    async def test_without_an_attempt_left_a_slow_answer_is_awaited(self) -> None:
        await self.assert_first_answers(self.plain([fails], max_attempts=1))

    async def test_without_a_retry_left_a_slow_answer_is_awaited(self) -> None:
        await self.assert_first_answers(self.plain([fails], slack=0.0))

    async def test_without_another_upstream_a_slow_answer_is_awaited(self) -> None:
        await self.assert_first_answers(self.plain([]))

    async def test_a_slow_answer_is_awaited_if_others_do_not_accept_the_request(self) -> None:
        for answer in (rejects, fails, resets):
            with self.subTest(answer=answer.__name__):
                await self.assert_first_answers(self.plain([answer]))

    async def test_a_silent_upstream_is_replaced(self) -> None:
        async def answers(seen: ReceivedRequest) -> None:
            seen.answer_whole(b"fast")

        rig = self.rig(silent, [answers], RouteKind.IDEMPOTENT)
        got = await self.call(rig)
        self.assertEqual((200, b"fast"), (got.status, got.body))


class TestBackups(SilentUpstreamTest):
    async def call_with_backup(self, backup: Script) -> tuple[ReceivedAnswer, int]:
        """Pause a stream that must not run twice; return the answer and the tries to continue."""

        async def either(seen: ReceivedRequest) -> None:
            await (backup if "kv-from" in seen.headers else pauses)(seen)

        upstreams = [ScriptedUpstream([either]), ScriptedUpstream([either])]
        async with Rig(upstreams, RouteKind.STREAM, engine=True, backups=True) as rig:
            got = await rig.call(headers="Token-Usage: 50,20\r\n")
            await asyncio.sleep(0.05)
            self.assert_nothing_held(rig)
        tries = [seen for item in upstreams for seen in item.requests if "kv-from" in seen.headers]
        return got, len(tries)

    async def test_a_paused_stream_whose_backup_is_missing_is_read_on(self) -> None:
        got, tries = await self.call_with_backup(rejects)
        self.assertEqual((200, True, WHOLE), (got.status, got.whole, got.body))
        self.assertGreater(tries, 0)

    async def test_a_paused_stream_continues_from_its_backup(self) -> None:
        got, tries = await self.call_with_backup(resumes)
        self.assertEqual((200, True, WHOLE), (got.status, got.whole, got.body))
        self.assertEqual(1, tries)


class TestMovableStreams(unittest.IsolatedAsyncioTestCase):
    async def test_without_a_retry_left_a_late_first_event_is_awaited(self) -> None:
        async with Site(resumable=True, slack=0.0).open() as site:
            for _ in range(200):
                site.rig.mover.first_event_waits.note("s", 0.02)
            site.source.stalls_after = 0
            calling = asyncio.create_task(site.rig.call(headers=LONG))
            await asyncio.sleep(PAUSE_SECONDS)
            site.source.stalls_after = None
            got = await calling
        self.assertEqual((200, True), (got.status, got.whole))
        self.assertEqual([], [other.requests for other in site.others if other.requests])

    async def test_a_movable_stream_that_pauses_without_a_retry_left_is_read_on(self) -> None:
        async with Site(resumable=True, slack=0.0).open() as site:
            site.source.stalls_after = 10
            calling = asyncio.create_task(site.call(leaves=False))
            await asyncio.sleep(STEP * 10 + PAUSE_SECONDS)
            site.source.stalls_after = None
            got = await calling
        self.assertEqual((200, True), (got.status, got.whole))
        self.assertEqual([], [other.requests for other in site.others if other.requests])

    async def test_a_run_that_its_silent_engine_may_have_stopped_continues_elsewhere_once(
        self,
    ) -> None:
        async with Site([200, *["silent"] * 20], resumable=True).open() as site:
            calling = asyncio.create_task(site.call())
            while len(site.source.calls) < 2:
                await asyncio.sleep(STEP)
            site.source.stalls_after = next(iter(site.source.runs.values())).made
            begun = time.monotonic()
            got = await calling
            seconds = time.monotonic() - begun
            async with asyncio.timeout(5.0):
                while site.rig.mover.handovers_in_progress:
                    await asyncio.sleep(STEP)
            await asyncio.sleep(MAX_OVERLAP_SECONDS)
        self.assertEqual((200, True), (got.status, got.whole))
        self.assertEqual(EVENTS, got.body.count(b"id: "))
        self.assertLess(seconds, 3.0)
        self.assertEqual([], site.memory.executed_twice)
        self.assertEqual([], site.memory.unreleased())
        self.assertEqual(0, site.resumed_count())


class TestSilentConnections(SilentUpstreamTest):
    async def test_after_a_silent_request_no_connection_that_was_open_before_is_used(self) -> None:
        """Open connections to an upstream may fall silent together, while new ones work."""
        both_arrived = asyncio.Event()

        async def waits(seen: ReceivedRequest) -> None:
            await both_arrived.wait()
            seen.answer_whole()

        async def arrives(seen: ReceivedRequest) -> None:
            both_arrived.set()
            await waits(seen)

        upstream = ScriptedUpstream([waits, arrives, silent, answers])
        async with Rig([upstream], RouteKind.NON_IDEMPOTENT) as rig:
            await asyncio.gather(rig.call(), rig.call())
            self.assertEqual(2, upstream.connections)
            waiting = asyncio.create_task(rig.call())
            async with asyncio.timeout(4.0):
                while upstream.closed == 0:
                    await asyncio.sleep(0.01)
            answer = await rig.call()
            self.assertEqual((200, 3), (answer.status, upstream.connections))
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
