"""A gateway gives up a run that is only silent, and loses one that it has stopped itself.

The answer is complete as long as an upstream runs the request or holds the memory of its run, also
if the upstream sends nothing for some time and no other one can take the run over.
"""

from __future__ import annotations

import asyncio
import unittest

from lotushill.routing.route import RouteKind
from lotushill.routing.upstream import Upstream
from tests.requests.moving_upstream import STEP
from tests.requests.moving_upstream import Handle
from tests.requests.moving_upstream import Memory
from tests.requests.moving_upstream import MovingUpstream
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream
from tests.requests.test_cooldowns import prefer
from tests.requests.test_moves import LONG
from tests.requests.test_moves import WHOLE
from tests.requests.test_moves import Site

SHORT = "Token-Usage: 50,20\r\n"
"""Header of a request for which a backup is chosen."""
SILENT_SECONDS = 1.2
"""Pause of a sound upstream, longer than any stall timeout and shorter than any deadline."""


async def pause_between_events(seen: ReceivedRequest) -> None:
    seen.start_events()
    seen.event(0)
    await seen.writer.drain()
    await asyncio.sleep(SILENT_SECONDS)
    seen.event(1)
    seen.end_events()


async def reject(seen: ReceivedRequest) -> None:
    seen.answer_whole(b"no room", "503 Service Unavailable\r\nNot-Executed: 1")


class TestSilentStreams(unittest.IsolatedAsyncioTestCase):
    async def call(self, rig: Rig) -> None:
        prefer(rig, "b0")
        got = await rig.call(headers=LONG)
        self.assertEqual((200, True), (got.status, got.whole))

    async def test_a_silent_stream_in_its_last_attempt_is_not_closed(self) -> None:
        upstreams = [ScriptedUpstream([pause_between_events]) for _ in range(2)]
        async with Rig(upstreams, RouteKind.STREAM, resumable=True, max_attempts=1) as rig:
            await self.call(rig)

    async def test_a_silent_stream_is_not_closed_if_there_is_no_other_upstream(self) -> None:
        upstreams = [ScriptedUpstream([pause_between_events])]
        async with Rig(upstreams, RouteKind.STREAM, resumable=True) as rig:
            await self.call(rig)

    async def test_a_silent_stream_is_not_closed_without_a_retry_in_the_budget(self) -> None:
        upstreams = [ScriptedUpstream([pause_between_events]) for _ in range(2)]
        async with Rig(upstreams, RouteKind.STREAM, resumable=True, slack=0.0) as rig:
            await self.call(rig)

    async def test_a_silent_stream_whose_backup_refuses_requests_is_not_closed(self) -> None:
        upstreams = [ScriptedUpstream([pause_between_events]) for _ in range(2)]
        async with Rig(upstreams, RouteKind.STREAM, engine=True, backups=True) as rig:
            calling = asyncio.create_task(rig.call(headers=SHORT))
            while not any(item.requests for item in upstreams):
                await asyncio.sleep(0.01)
            (backup,) = (n for n, item in enumerate(upstreams) if not item.requests)
            (seen,) = upstreams[1 - backup].requests
            self.assertEqual(upstreams[backup].address, seen.headers["kv-backup"])
            rig.cooldowns.note_requested(f"b{backup}", 5.0, rig.clock())
            got = await calling
        self.assertEqual((200, True), (got.status, got.whole))


class SlowHead(MovingUpstream):
    """Upstream that accepts a run at once and answers it late."""

    async def _run(self, seen: ReceivedRequest) -> None:
        if "kv-from" in seen.headers:
            await asyncio.sleep(SILENT_SECONDS)
        await super()._run(seen)


class BackedUp(MovingUpstream):
    """Upstream that copies the memory of each run to the backup that its request names."""

    async def _run(self, seen: ReceivedRequest) -> None:
        if "kv-backup" in seen.headers:
            handle = Handle(seen.id, 0, {seen.headers["kv-backup"]})
            self.memory.handles[seen.id] = handle
        await super()._run(seen)


class TestStoppedRuns(unittest.IsolatedAsyncioTestCase):
    async def test_a_stopped_run_whose_target_answers_late_is_waited_for(self) -> None:
        for resumable in (True, False):
            site = Site(resumable=resumable)
            site.others = [SlowHead(site.memory) for _ in range(2)]
            site.rig.upstreams[1:] = site.others
            async with site.open():
                got = await site.call()
                await site.wait_idle()
            with self.subTest(resumable=resumable):
                self.assertEqual((200, True, WHOLE), (got.status, got.whole, got.body))
                self.assertEqual([], site.memory.executed_twice)

    async def test_a_resumable_run_whose_target_resets_connections_continues(self) -> None:
        async with Site(resumable=True).open() as site:
            for other in site.others:
                other.resets_per_handle = 100
            got = await site.call()
            await site.wait_idle()
        self.assertEqual((200, True, WHOLE), (got.status, got.whole, got.body))
        self.assertEqual([], site.memory.executed_twice)

    async def test_a_run_that_continued_at_its_backup_can_be_moved_from_there(self) -> None:
        memory = Memory()
        engines = [BackedUp(memory) for _ in range(3)]
        for engine in engines:
            engine.crashes_after = 5
        upstreams: list[ScriptedUpstream] = [*engines]
        rig = Rig(upstreams, RouteKind.STREAM, engine=True, moves=True, backups=True)
        site = Site()
        site.rig, site.source, site.others = rig, engines[0], [*engines[1:]]
        async with rig:
            mover_task = asyncio.create_task(site._run_mover())
            calling = asyncio.create_task(rig.call(headers=SHORT))
            async with asyncio.timeout(3.0):
                while not any(engine.resumed_handles() and engine.runs for engine in engines):
                    await asyncio.sleep(STEP)
            self._mark_leaving(rig, engines)
            got = await calling
            await site.wait_idle()
            mover_task.cancel()
        self.assertEqual((200, True, WHOLE), (got.status, got.whole, got.body))
        self.assertEqual([], memory.executed_twice)
        self.assertEqual(2, site.resumed_count())

    def _mark_leaving(self, rig: Rig, engines: list[BackedUp]) -> None:
        """Mark the backup, at which the run continues, as leaving; the source has crashed."""
        listed = [
            Upstream(f"b{n}", "s", item.address, "z", 8, bool(item.runs), leaves_seconds=0.8)
            for n, item in enumerate(engines)
        ]
        rig.view.replace(listed, 2)
