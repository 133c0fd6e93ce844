"""A call to stop a run whose answer is missing must not cost the run later.

The answer of a stream is truncated although an engine holds the memory of its run, if a call that
was not answered takes effect after the gateway has given up the move, or if the call is repeated
after the run has returned to its source.
"""

from __future__ import annotations

import unittest

from tests.requests.moving_upstream import EVENTS
from tests.requests.moving_upstream import STEP
from tests.requests.rig import event
from tests.requests.test_moves import Site

WHOLE = b"".join(event(number) for number in range(EVENTS))
_SLOW_STEP = 6 * STEP
"""Pause between events with which a run lasts longer than an unanswered call."""

_REFUSALS = 3
"""Number of requests that each engine refuses; their repetitions take a quarter of a second."""


class TestUnansweredStops(unittest.IsolatedAsyncioTestCase):
    async def assert_whole(self, site: Site) -> None:
        """Send a request from whose upstream its run is moved, and assert that it is answered."""
        site.source.step = _SLOW_STEP
        got = await site.call(leaves_in=2.5)
        await site.wait_idle()
        self.assertEqual((200, True), (got.status, got.whole))
        self.assertEqual(WHOLE, got.body)
        self.assertEqual([], site.memory.executed_twice)

    async def test_a_stop_that_takes_effect_after_a_refused_one_does_not_truncate_the_answer(
        self,
    ) -> None:
        # Soak seed 2, a321: the copy was freed when the repeated call was refused.
        async with Site([200, "late", *["refused"] * 100]).open() as site:
            await self.assert_whole(site)

    async def test_a_stop_is_not_repeated_for_a_run_that_has_returned_to_its_source(
        self,
    ) -> None:
        # Soak seed 12, a425: the call of the old handover stopped the run that had returned.
        async with Site([200, "unanswered", "silent", "silent", "silent"]).open() as site:
            for other in site.others:
                other.rejects_handles = True
            await self.assert_whole(site)

    async def test_a_stop_that_arrives_late_does_not_truncate_a_run_that_has_returned(self) -> None:
        # Soak seed 17, a4357: a call names a run by its id only, so that the first of two calls to
        # stop it stopped it again after it had returned to its source.
        async with Site([200, "late"]).open() as site:
            for other in site.others:
                other.rejects_handles = True
            await self.assert_whole(site)

    async def test_a_stalled_run_refused_for_a_moment_after_an_unanswered_stop_continues(
        self,
    ) -> None:
        # Soak seed 12, a1690: the stall and the wait for the answer left hardly any of the time for
        # which a client is assumed to wait, so that the memory was given up after one refusal.
        async with Site([200, "unanswered", "silent", "silent", "silent"]).open() as site:
            site.source.stalls_after = 10
            for item in [site.source, *site.others]:
                item.rejections_per_handle = _REFUSALS
            got = await site.call(leaves=False)
            await site.wait_idle()
        self.assertEqual((200, True), (got.status, got.whole))
        self.assertEqual(WHOLE, got.body)
