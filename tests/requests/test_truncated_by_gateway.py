"""A gateway truncates an answer by giving up a sound run before its replacement is certain.

To move a run, a gateway asks its engine to stop it and continues it from its memory. Whatever the
engines answer meanwhile, the answer is complete as long as one of them runs or holds the run.
"""

from __future__ import annotations

import asyncio
import unittest

from lotushill.routing.upstream import Upstream
from tests.requests.moving_upstream import EVENTS
from tests.requests.moving_upstream import STEP
from tests.requests.rig import ReceivedAnswer
from tests.requests.rig import event
from tests.requests.test_moves import Site

WHOLE = b"".join(event(number) for number in range(EVENTS))


class TestTruncatedByGateway(unittest.IsolatedAsyncioTestCase):
    def assert_whole(self, got: ReceivedAnswer, site: Site) -> None:
        """Assert that the answer is complete, and that no run was executed twice or stays held."""
        self.assertEqual((200, True), (got.status, got.whole))
        self.assertEqual(WHOLE, got.body)
        self.assertEqual([], site.memory.executed_twice)
        self.assertEqual([], site.memory.unreleased())

    async def call(self, site: Site) -> ReceivedAnswer:
        got = await site.call()
        await site.wait_idle()
        return got

    async def test_a_run_whose_engine_did_not_stop_it_is_not_closed(self) -> None:
        async with Site([200, "refused", *[404] * 100]).open() as site:
            got = await self.call(site)
        self.assert_whole(got, site)
        self.assertEqual(0, site.resumed_count())

    async def test_a_run_whose_stop_was_not_answered_is_not_closed_in_a_pause(self) -> None:
        async with Site([200, "silent", *["silent"] * 100]).open() as site:
            calling = asyncio.create_task(site.call())
            while len(site.source.calls) < 2:
                await asyncio.sleep(STEP)
            site.source.stalls_after = next(iter(site.source.runs.values())).made
            await asyncio.sleep(1.2)
            site.source.stalls_after = None
            got = await calling
            await site.wait_idle()
        self.assert_whole(got, site)
        self.assertEqual(0, site.resumed_count())

    async def test_memory_that_each_engine_refuses_for_a_moment_is_asked_for_again(self) -> None:
        async with Site().open() as site:
            for item in [site.source, *site.others]:
                item.rejections_per_handle = 1
            got = await self.call(site)
        self.assert_whole(got, site)

    async def test_a_source_that_refuses_its_stopped_run_for_a_moment_is_asked_again(self) -> None:
        async with Site([200, 503]).open() as site:
            site.source.rejections_per_handle = 2
            got = await self.call(site)
        self.assert_whole(got, site)

    async def test_a_run_that_fails_at_its_target_returns_to_its_source(self) -> None:
        async with Site().open() as site:
            for other in site.others:
                other.failures_per_handle = 1
            got = await self.call(site)
        self.assert_whole(got, site)

    async def test_a_run_whose_connection_to_its_target_is_reset_returns_to_its_source(
        self,
    ) -> None:
        async with Site().open() as site:
            for other in site.others:
                other.resets_per_handle = 1
            got = await self.call(site)
        self.assert_whole(got, site)

    async def test_without_a_retry_for_the_way_back_no_run_is_stopped(self) -> None:
        async with Site(slack=1.3).open() as site:
            for other in site.others:
                other.rejects_handles = True
            got = await self.call(site)
        self.assert_whole(got, site)
        self.assertNotIn(True, [call["last"] for call in site.source.calls])

    async def test_a_run_is_not_stopped_for_a_target_that_began_to_leave(self) -> None:
        async with Site([409, 409, 409]).open() as site:
            calling = asyncio.create_task(site.call())
            while not site.source.calls:
                await asyncio.sleep(0.001)
            self.mark_all_leaving(site)
            got = await calling
            await site.wait_idle()
        self.assert_whole(got, site)

    async def test_a_stopped_run_whose_target_begins_to_leave_continues(self) -> None:
        async with Site().open() as site:
            calling = asyncio.create_task(site.call())
            while not any(call["last"] for call in site.source.calls):
                await asyncio.sleep(0.0005)
            self.mark_all_leaving(site)
            got = await calling
            await site.wait_idle()
        self.assert_whole(got, site)

    async def test_a_stopped_run_whose_target_asks_for_a_cooldown_continues(self) -> None:
        async with Site().open() as site:
            site.source.rejections_per_handle = 1
            calling = asyncio.create_task(site.call())
            while not any(call["last"] for call in site.source.calls):
                await asyncio.sleep(0.0005)
            for name in ("b0", "b1", "b2"):
                site.rig.cooldowns.note_requested(name, 0.3, site.rig.clock())
            got = await calling
            await site.wait_idle()
        self.assert_whole(got, site)

    def mark_all_leaving(self, site: Site) -> None:
        listed = [
            Upstream(f"b{number}", "s", item.address, "z", 8, True, leaves_seconds=1.0)
            for number, item in enumerate([site.source, *site.others])
        ]
        site.rig.view.replace(listed, 3)
