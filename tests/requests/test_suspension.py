"""Suspension of hosts, during which the steady clock and the timers of the event loop stop."""

from __future__ import annotations

import asyncio
import itertools
import unittest

from lotushill.duties.duty_record import DutyRecord
from lotushill.duties.lease import Lease
from lotushill.duties.lease import LeaseOptions
from lotushill.process.suspension import SuspensionWatch
from lotushill.routing.route import RouteKind
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream

SECONDS = (0.5, 3.0, 10.0, 60.0)


async def whole(seen: ReceivedRequest) -> None:
    seen.answer_whole()


class TwoClocks:
    """A clock that continues during a suspension, and a steady clock that stops."""

    def __init__(self) -> None:
        self.at = 1000.0
        self.steady_at = 500.0

    def clock(self) -> float:
        return self.at

    def steady(self) -> float:
        return self.steady_at

    def run(self, seconds: float) -> None:
        self.at += seconds
        self.steady_at += seconds

    def suspend(self, seconds: float) -> None:
        self.at += seconds


class TestSuspensionWatch(unittest.TestCase):
    def setUp(self) -> None:
        self.clocks = TwoClocks()
        self.suspension_lengths: list[float] = []
        self.confirmed = False
        self.watch = SuspensionWatch(
            self.clocks.clock,
            self.clocks.steady,
            self.suspension_lengths.append,
            lambda _: self.confirmed,
        )

    def test_each_suspension_is_noticed_once_with_its_length(self) -> None:
        for seconds in SECONDS:
            self.clocks.run(1.0)
            self.clocks.suspend(seconds)
            self.watch.check()
            self.watch.check()
        self.assertEqual(list(SECONDS), [round(item, 6) for item in self.suspension_lengths])

    def test_a_host_that_was_idle_or_slow_was_not_suspended(self) -> None:
        self.clocks.run(60.0)
        self.watch.check()
        self.assertEqual([], self.suspension_lengths)
        self.assertTrue(self.watch.is_settled)

    def test_after_a_suspension_views_are_stale_until_confirmed_or_for_a_bounded_time(self) -> None:
        self.clocks.suspend(3.0)
        self.watch.check()
        self.assertFalse(self.watch.is_settled)
        self.confirmed = True
        self.assertTrue(self.watch.is_settled)
        self.confirmed = False
        self.clocks.run(0.4)
        self.assertTrue(self.watch.is_settled)


def _record_of_one() -> DutyRecord:
    return DutyRecord("one", 1)


class TestLease(unittest.TestCase):
    """Two successive holders of a lease never act together, whenever the first is suspended."""

    def test_a_suspended_holder_starts_no_work_once_another_may_have_taken_over(self) -> None:
        options = LeaseOptions(seconds=3.0, fenced=False)
        for seconds, before in itertools.product(SECONDS, (0.0, 0.4, 1.4, 2.9)):
            clocks = TwoClocks()
            lease = Lease("one", 1, options, clocks.clock())
            other = Lease("two", 1, options, clocks.clock())
            clocks.run(10.0)
            lease.acquire(7, clocks.clock())
            other.observe(7, clocks.clock())
            clocks.run(before)
            clocks.suspend(seconds)
            taken = other.may_acquire(_record_of_one(), clocks.clock())
            with self.subTest(seconds=seconds, before=before):
                self.assertFalse(taken and lease.may_act(clocks.clock()))


class TestRequests(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_times_out_although_its_timer_was_suspended(self) -> None:
        async def silent(_: ReceivedRequest) -> None:
            await asyncio.sleep(30)

        for kind in (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT):
            upstream = ScriptedUpstream([silent])
            async with Rig([upstream], kind, timeout=20.0) as rig:
                call = asyncio.create_task(rig.call())
                while not upstream.requests:
                    await asyncio.sleep(0.01)
                rig.suspend(60.0)
                rig.suspension.check()
                got = await asyncio.wait_for(call, 5.0)
            self.assertEqual(504, got.status)

    async def test_connections_that_were_idle_during_a_suspension_are_not_reused(self) -> None:
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream]) as rig:
            await rig.call("r1")
            rig.suspend(0.5)
            await rig.call("r2")
        self.assertEqual(2, upstream.connections)

    async def test_an_upstream_chosen_before_a_suspension_is_chosen_again(self) -> None:
        """An upstream may leave while the host is suspended between placement and sending."""
        upstreams = [ScriptedUpstream([whole]) for _ in range(2)]
        async with Rig(upstreams) as rig:
            take = rig.components.pool.acquire
            chosen: list[str] = []

            async def suspended_while_connecting(upstream, may_be_cut=True):  # type: ignore[no-untyped-def]
                connection = await take(upstream, may_be_cut)
                chosen.append(upstream.id)
                if len(chosen) == 1:
                    rig.suspend(3.0)
                    rig.view.replace([i for i in rig.view.all() if i.id != upstream.id], 2)
                return connection

            rig.components.pool.acquire = suspended_while_connecting  # type: ignore[method-assign]
            got = await rig.call()
        left = upstreams[int(chosen[0][1:])]
        self.assertEqual((200, 0), (got.status, len(left.requests)))

    async def test_nothing_is_sent_beyond_the_deadline(self) -> None:
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream]) as rig:
            place = rig.components.placer.place

            async def suspended_while_choosing(*arguments):  # type: ignore[no-untyped-def]
                found = await place(*arguments)
                rig.suspend(60.0)
                return found

            rig.components.placer.place = suspended_while_choosing  # type: ignore[method-assign]
            got = await rig.call()
        self.assertEqual((503, 0), (got.status, len(upstream.requests)))

    async def test_requests_wait_for_the_views_for_a_bounded_time(self) -> None:
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream]) as rig:
            rig.confirmed = False
            rig.suspend(10.0)
            got = await rig.call()
            self.assertEqual(200, got.status)
            waited = [line for line in rig.lines if b"request.ended" in line]
        self.assertEqual(1, len(waited))
        self.assertEqual([10.0], [round(item, 1) for item in rig.suspension_lengths])
