"""An upstream states that it is leaving and ends two seconds later, while runs are in progress.

Without moves, streams that must not run twice were truncated with their upstream, unless a copy of
their memory had been kept from the start. Each step of a move fails once in these tests: the client
receives the complete answer or a correct failure, no run is executed twice, and no memory stays
held.
"""

from __future__ import annotations

import asyncio
import contextlib
import unittest
import unittest.mock
from typing import TYPE_CHECKING

from lotushill.routing.route import RouteKind
from lotushill.routing.upstream import Upstream
from tests.requests.moving_upstream import EVENTS
from tests.requests.moving_upstream import STEP
from tests.requests.moving_upstream import Memory
from tests.requests.moving_upstream import MovingUpstream
from tests.requests.rig import ReceivedAnswer
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import event
from tests.requests.rig import request_bytes
from tests.requests.test_cooldowns import prefer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

WHOLE = b"".join(event(number) for number in range(EVENTS))
RUNS = 8
NOTICE = 0.8
"""Seconds from the notice to the end of an upstream, when half of a run's events are still due."""
LONG = "Token-Usage: 50,60\r\n"
"""Header of a request whose expected output, half of its largest, is as long as its answer."""


class Site:
    """Request path with three upstreams, of which the first receives all requests."""

    def __init__(
        self,
        scripted_answers: list[int | str] | None = None,
        resumable: bool = False,
        moves: bool = True,
        slack: float = 100.0,
        max_attempts: int = 2,
    ) -> None:
        self.memory = Memory()
        self.source = MovingUpstream(self.memory, scripted_answers)
        self.others = [MovingUpstream(self.memory) for _ in range(2)]
        self.rig = Rig(
            [self.source, *self.others], RouteKind.STREAM, resumable,
            engine=True, moves=moves, slack=slack, max_attempts=max_attempts,
        )  # fmt: skip

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[Site]:
        """Serve requests, and check which runs to move as often as a gateway does."""
        async with self.rig:
            prefer(self.rig, "b0")
            mover_task = asyncio.create_task(self._run_mover())
            try:
                yield self
            finally:
                mover_task.cancel()
                self.rig.mover.close()

    async def _run_mover(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            self.rig.mover.start_due_handovers()

    def mark_leaving(self, leaves_in: float | None = None, revision: int = 2) -> None:
        """Mark the source as leaving in its entry."""
        listed = [
            Upstream(
                f"b{number}", "s", item.address, "z", 8, number == 0,
                leaves_seconds=leaves_in if number == 0 else None,
            )
            for number, item in enumerate([self.source, *self.others])
        ]  # fmt: skip
        self.rig.view.replace(listed, revision)

    async def call(self, leaves: bool = True, leaves_in: float | None = 0.4) -> ReceivedAnswer:
        """Send one request, whose upstream starts to leave after some of its events."""
        calling = asyncio.create_task(self.rig.call(headers=LONG))
        await self.wait_started()
        if leaves:
            self.mark_leaving(leaves_in)
        return await calling

    async def wait_started(self) -> None:
        """Wait until the source has generated some events."""
        while not any(run.made >= 5 for run in self.source.runs.values()):
            await asyncio.sleep(STEP)

    async def wait_idle(self) -> None:
        """Wait until no handover is in progress."""
        async with asyncio.timeout(3.0):
            while self.rig.mover.handovers_in_progress:
                await asyncio.sleep(STEP)

    def resumed_count(self) -> int:
        """Return how often a run was to be continued at any upstream."""
        return sum(len(item.resumed_handles()) for item in [self.source, *self.others])


class TestMoves(unittest.IsolatedAsyncioTestCase):
    def assert_whole(self, got: ReceivedAnswer, site: Site) -> None:
        self.assertEqual((200, True), (got.status, got.whole))
        self.assertEqual(WHOLE, got.body)
        self.assert_clean(site)

    def assert_clean(self, site: Site) -> None:
        """Assert that no run was executed twice and no memory is held."""
        self.assertEqual([], site.memory.executed_twice)
        self.assertEqual([], site.memory.unreleased())
        self.assertEqual(0, site.rig.mover.handovers_in_progress)

    async def call_with(
        self, scripted_answers: list[int | str] | None = None, resumable: bool = False
    ) -> tuple[ReceivedAnswer, Site]:
        async with Site(scripted_answers, resumable).open() as site:
            got = await site.call()
            await site.wait_idle()
            return got, site

    async def test_a_run_goes_on_at_another_upstream_as_the_same_run(self) -> None:
        got, site = await self.call_with()
        self.assert_whole(got, site)
        self.assertEqual([False, True], [call["last"] for call in site.source.calls])
        resumed = [item for other in site.others for item in other.resumed_handles()]
        self.assertEqual([f"{site.source.address}/h0-r1"], resumed)
        self.assertEqual("s1", got.headers["response-signature"])

    async def test_a_resumable_run_is_moved_as_well(self) -> None:
        got, site = await self.call_with(resumable=True)
        self.assert_whole(got, site)
        self.assertEqual(1, site.resumed_count())

    async def test_nothing_is_moved_where_memory_cannot_be_moved(self) -> None:
        async with Site(moves=False).open() as site:
            got = await site.call()
        self.assert_whole(got, site)
        self.assertEqual([], site.source.calls)

    async def test_nothing_is_moved_from_an_upstream_that_stays(self) -> None:
        async with Site().open() as site:
            got = await site.call(leaves=False)
        self.assert_whole(got, site)
        self.assertEqual([], site.source.calls)

    async def test_a_run_that_ends_in_time_stays(self) -> None:
        async with Site().open() as site:
            got = await site.call(leaves_in=60.0)
        self.assert_whole(got, site)
        self.assertEqual([], site.source.calls)

    async def test_a_target_without_room_is_followed_by_another(self) -> None:
        got, site = await self.call_with([503])
        self.assert_whole(got, site)
        targets = [call["targetVersion"] for call in site.source.calls]
        self.assertEqual(2, len(set(targets)))
        self.assertEqual(1, site.resumed_count())

    async def test_with_no_room_anywhere_the_run_stays(self) -> None:
        got, site = await self.call_with([503] * 100)
        self.assert_whole(got, site)
        self.assertEqual(0, site.resumed_count())

    async def test_a_source_that_does_not_know_the_run_is_left_alone(self) -> None:
        got, site = await self.call_with([404] * 100)
        self.assert_whole(got, site)
        self.assertEqual(0, site.resumed_count())

    async def test_a_call_in_progress_is_awaited(self) -> None:
        got, site = await self.call_with([409, 200, 409])
        self.assert_whole(got, site)
        self.assertEqual(1, site.resumed_count())

    async def test_a_copy_whose_answer_was_lost_is_requested_again(self) -> None:
        got, site = await self.call_with(["lost"])
        self.assert_whole(got, site)
        self.assertEqual(1, site.resumed_count())

    async def test_a_lost_answer_to_the_stop_does_no_harm(self) -> None:
        got, site = await self.call_with([200, "lost"])
        self.assert_whole(got, site)
        self.assertEqual(1, site.resumed_count())

    async def test_a_target_that_fills_up_sends_the_run_back_to_its_source(self) -> None:
        got, site = await self.call_with([200, 503])
        self.assert_whole(got, site)
        self.assertEqual([f"{site.source.address}/h0-r1"], site.source.resumed_handles())

    async def test_a_target_that_refuses_the_run_sends_it_back_to_its_source(self) -> None:
        async with Site().open() as site:
            for other in site.others:
                other.rejects_handles = True
            got = await site.call()
            await site.wait_idle()
        self.assert_whole(got, site)
        self.assertEqual(1, len(site.source.resumed_handles()))

    async def test_a_run_whose_target_is_gone_returns_to_its_source(self) -> None:
        async with Site().open() as site:
            calling = asyncio.create_task(site.call())
            await site.wait_started()
            while not site.source.calls:
                await asyncio.sleep(0.001)
            for other in site.others:
                await other.close()
            got = await calling
            await site.wait_idle()
        self.assert_whole(got, site)
        self.assertEqual(1, len(site.source.resumed_handles()))

    async def test_a_source_that_fails_before_the_copy_truncates_a_one_time_run(self) -> None:
        got, site = await self.call_with(["dead"])
        self.assertFalse(got.whole)
        self.assertTrue(WHOLE.startswith(got.body))
        self.assertEqual(0, site.resumed_count())
        self.assert_clean(site)

    async def test_a_run_continues_from_the_copy_after_its_source_fails(self) -> None:
        got, site = await self.call_with([200, "dead"])
        self.assert_whole(got, site)
        self.assertEqual(1, site.resumed_count())

    async def test_a_target_that_fails_after_the_handover_truncates_the_answer(self) -> None:
        async with Site().open() as site:
            for other in site.others:
                other.crashes_after = 20
            got = await site.call()
            await site.wait_idle()
        self.assertFalse(got.whole)
        self.assertTrue(WHOLE.startswith(got.body))
        self.assert_clean(site)

    async def test_a_repeatable_run_continues_elsewhere_after_its_target_fails(
        self,
    ) -> None:
        async with Site(resumable=True, max_attempts=3).open() as site:
            for other in site.others:
                other.crashes_after = 20
            got = await site.call()
            await site.wait_idle()
        self.assert_whole(got, site)
        self.assertEqual([1, 1], [len(item.requests) for item in site.others])

    async def test_a_stalled_run_is_moved_with_its_memory(self) -> None:
        async with Site().open() as site:
            site.source.stalls_after = 10
            got = await site.call(leaves=False)
            await site.wait_idle()
        self.assert_whole(got, site)
        self.assertEqual(1, site.resumed_count())

    async def test_a_stalled_repeatable_run_continues_without_its_memory(
        self,
    ) -> None:
        async with Site(resumable=True).open() as site:
            site.source.stalls_after = 10
            site.source.scripted_answers = [404] * 100
            got = await site.call(leaves=False)
            await site.wait_idle()
        self.assert_whole(got, site)
        self.assertEqual(0, site.resumed_count())

    async def test_a_run_that_may_have_stopped_is_ended_if_no_event_arrives(self) -> None:
        async with Site([200, "lost"]).open() as site:
            site.source.hides_stream_end = True
            got = await site.call()
            await site.wait_idle()
        self.assert_whole(got, site)
        self.assertEqual(1, site.resumed_count())

    async def test_a_run_is_not_stalled_while_its_client_does_not_read(self) -> None:
        async with Site().open() as site:
            big = b"data: " + b"x" * 4_000_000 + b"\n\n"

            async def serve(seen: ReceivedRequest) -> None:
                seen.start_events()
                seen.event(0)
                for _ in range(4):
                    seen.chunk(big)
                await seen.writer.drain()
                await asyncio.sleep(2.5)
                seen.end_events()

            site.source.scripts = [serve]
            reader, writer = await site.rig.connect()
            writer.write(request_bytes("r1", LONG))
            await reader.readuntil(b"piece-0")
            await asyncio.sleep(2.0)
            writer.transport.abort()
        self.assertEqual([], site.source.calls)
        self.assertEqual([], [seen.line for seen in site.source.requests if "/kv-" in seen.line])

    async def test_a_process_that_was_frozen_itself_moves_no_run(self) -> None:
        async with Site().open() as site:
            calling = asyncio.create_task(site.call(leaves=False))
            await site.wait_started()
            site.rig.suspended += 1.0
            got = await calling
        self.assert_whole(got, site)
        self.assertEqual([], site.source.calls)

    async def test_the_time_in_which_the_gateway_was_frozen_is_no_pause_of_the_run(self) -> None:
        with unittest.mock.patch("lotushill.requests.mover._CHECK_INTERVAL_SECONDS", 0.0):
            async with Site().open() as site:
                calling = asyncio.create_task(site.call(leaves=False))
                await site.wait_started()
                site.rig.suspended += 1.0
                got = await calling
        self.assert_whole(got, site)
        self.assertEqual([], site.source.calls)

    async def test_a_repeatable_run_without_a_first_event_continues_elsewhere(
        self,
    ) -> None:
        async with Site(resumable=True).open() as site:
            for _ in range(200):
                site.rig.mover.first_event_waits.note("s", 0.02)
            site.source.stalls_after = 0
            got = await site.rig.call(headers=LONG)
        self.assert_whole(got, site)
        self.assertEqual(1, sum(len(other.requests) for other in site.others))

    async def test_a_run_that_may_run_once_is_awaited(self) -> None:
        async with Site().open() as site:
            for _ in range(200):
                site.rig.mover.first_event_waits.note("s", 0.02)
            site.source.stalls_after = 0
            calling = asyncio.create_task(site.rig.call(headers=LONG))
            await asyncio.sleep(1.0)
            site.source.stalls_after = None
            got = await calling
        self.assert_whole(got, site)
        self.assertEqual([], [other.requests for other in site.others if other.requests])

    async def test_a_stream_whose_end_is_lost_is_ended_once_its_run_has_stopped(self) -> None:
        async with Site().open() as site:
            site.source.hides_stream_end = True
            got = await site.call()
            await site.wait_idle()
        self.assert_whole(got, site)
        self.assertEqual(1, site.resumed_count())

    async def test_without_any_held_memory_the_answer_is_truncated(self) -> None:
        async with Site().open() as site:
            for other in [site.source, *site.others]:
                other.rejects_handles = True
            got = await site.call()
            await site.wait_idle()
        self.assertFalse(got.whole)
        self.assertTrue(WHOLE.startswith(got.body))
        self.assert_clean(site)

    async def test_room_is_reserved_at_the_target_while_the_memory_is_copied(self) -> None:
        async with Site([409, 409, 404]).open() as site:
            calling = asyncio.create_task(site.call())
            while not site.source.calls:
                await asyncio.sleep(0.001)
            loads = [site.rig.components.fleet.load(name) for name in ("b1", "b2")]
            self.assertEqual(1, sum(len(load.running) for load in loads))
            await calling
            await site.wait_idle()
            await asyncio.sleep(0.4)
            self.assertEqual(0, sum(len(load.running) for load in loads))

    async def test_without_a_retry_left_no_run_is_stopped(self) -> None:
        async with Site(slack=0.0).open() as site:
            got = await site.call()
            await site.wait_idle()
        self.assert_whole(got, site)
        self.assertEqual([False], [call["last"] for call in site.source.calls][:1])
        self.assertNotIn(True, [call["last"] for call in site.source.calls])

    async def test_a_client_that_disconnects_during_a_move_leaves_no_memory_held(self) -> None:
        for steps in range(6):
            with self.subTest(steps=steps):
                async with Site().open() as site:
                    reader, writer = await site.rig.connect()
                    writer.write(request_bytes("r1", LONG))
                    await reader.readuntil(b"piece-5")
                    site.mark_leaving(0.4)
                    while not site.source.calls:
                        await asyncio.sleep(0.001)
                    await asyncio.sleep(steps * STEP / 2)
                    writer.transport.abort()
                    await asyncio.sleep(0.1)
                    await site.wait_idle()
                    await asyncio.sleep(0.1)
                self.assert_clean(site)
                self.assertEqual({"r1": set()}, site.memory.working)


class TestReclaim(unittest.IsolatedAsyncioTestCase):
    """All runs at an upstream whose notice is too short for any of them to finish."""

    async def reclaim(self, moves: bool) -> tuple[list[ReceivedAnswer], Site]:
        async with Site(moves=moves).open() as site:
            site.source.step = 3 * STEP
            calls = [
                asyncio.create_task(site.rig.call(f"r{number}", LONG)) for number in range(RUNS)
            ]
            while len(site.source.runs) < RUNS:
                await asyncio.sleep(STEP)
            await site.wait_started()
            site.mark_leaving(NOTICE)
            await asyncio.sleep(NOTICE)
            for run in site.source.runs.values():
                site.memory.working[run.seen.id].discard(site.source.address)
            await site.source.close()
            got = await asyncio.gather(*calls)
            await site.wait_idle()
            return got, site

    async def test_runs_are_moved_before_the_upstream_ends(self) -> None:
        got, site = await self.reclaim(moves=True)
        self.assertEqual([WHOLE] * RUNS, [item.body for item in got])
        self.assertEqual([True] * RUNS, [item.whole for item in got])
        self.assertEqual([], site.memory.executed_twice)
        self.assertEqual([], site.memory.unreleased())

    async def test_runs_are_moved_to_more_than_one_upstream(self) -> None:
        _, site = await self.reclaim(moves=True)
        self.assertEqual([True, True], [bool(item.resumed_handles()) for item in site.others])

    async def test_runs_that_cannot_be_moved_are_truncated(self) -> None:
        got, _ = await self.reclaim(moves=False)
        self.assertEqual([False] * RUNS, [item.whole for item in got])
