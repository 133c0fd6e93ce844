"""Requests of a group during which upstreams fail run at one upstream, one at a time.

The requests of the group share their path, but differ in every byte of their bodies. Without
isolation each counted as a new request, could make three upstreams fail, and interrupted all other
runs there.
"""

from __future__ import annotations

import asyncio
import unittest

from lotushill.quarantine.group import groups_of
from tests.requests.rig import TEAM
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream

SUSPECT = "/p/suspect"
FAILURE_TIMES = (2.4, 1.2, 0.0)
"""Times, in seconds before now, at which upstreams failed during the group."""


async def whole(seen: ReceivedRequest) -> None:
    seen.answer_whole()


def isolate(rig: Rig) -> None:
    """Record failures of three upstreams, which no longer exist, during the group."""
    now = rig.clock()
    for number, before in enumerate(FAILURE_TIMES):
        for group in groups_of("s", TEAM, rig.route.name, SUSPECT.encode()):
            rig.isolation.record_upstream_failure(group, f"former{number}", "gw", 0, now - before)


def upstreams_with_suspect(upstreams: list[ScriptedUpstream]) -> list[ScriptedUpstream]:
    return [item for item in upstreams if any(SUSPECT in seen.line for seen in item.requests)]


class TestIsolationPolicy(unittest.IsolatedAsyncioTestCase):
    async def test_the_group_runs_at_one_upstream_and_all_others_elsewhere(self) -> None:
        upstreams = [ScriptedUpstream([whole]) for _ in range(4)]
        async with Rig(upstreams) as rig:
            isolate(rig)
            for number in range(8):
                suspect = await rig.call(f"s{number}", path=SUSPECT, body=f"{number}".encode())
                other = await rig.call(f"o{number}", body=f"{number}".encode())
                self.assertEqual((200, 200), (suspect.status, other.status))
        (ward,) = upstreams_with_suspect(upstreams)
        self.assertEqual(8, len(ward.requests))

    async def test_requests_run_one_at_a_time_and_the_next_is_refused_as_not_run(self) -> None:
        async def slow(seen: ReceivedRequest) -> None:
            began.set()
            await release.wait()
            seen.answer_whole()

        began, release = asyncio.Event(), asyncio.Event()
        upstreams = [ScriptedUpstream([slow]) for _ in range(4)]
        async with Rig(upstreams) as rig:
            isolate(rig)
            first = asyncio.create_task(rig.call("s1", path=SUSPECT, body=b"1"))
            await began.wait()
            second = await rig.call("s2", path=SUSPECT, body=b"2")
            release.set()
            self.assertEqual((200, 503), ((await first).status, second.status))
        self.assertEqual(1, sum(len(item.requests) for item in upstreams))

    async def test_one_that_crashes_the_upstream_is_not_retried_and_the_next_waits(self) -> None:
        async def ends(seen: ReceivedRequest) -> None:
            upstream = next(item for item in upstreams if seen in item.requests)
            upstream.crash(seen)

        upstreams = [ScriptedUpstream([ends]) for _ in range(4)]
        async with Rig(upstreams, max_attempts=4) as rig:
            isolate(rig)
            first = await rig.call("s1", path=SUSPECT, body=b"1")
            second = await rig.call("s2", path=SUSPECT, body=b"2")
        self.assertEqual((502, 503), (first.status, second.status))
        self.assertGreater(float(second.headers["retry-after"]), 0.5)
        self.assertEqual(1, sum(len(item.requests) for item in upstreams))

    async def test_with_one_upstream_left_none_waits_for_it_to_be_idle(self) -> None:
        async def slow(seen: ReceivedRequest) -> None:
            began.set()
            await release.wait()
            seen.answer_whole()

        async def serve(seen: ReceivedRequest) -> None:
            await (slow if seen.id == "o" else whole)(seen)

        began, release = asyncio.Event(), asyncio.Event()
        async with Rig([ScriptedUpstream([serve])]) as rig:
            isolate(rig)
            other = asyncio.create_task(rig.call("o"))
            await began.wait()
            suspect = await rig.call("s", path=SUSPECT)
            release.set()
            await other
        self.assertEqual(200, suspect.status)

    async def test_with_one_upstream_left_no_request_is_excluded_from_it(self) -> None:
        upstreams = [ScriptedUpstream([whole])]
        async with Rig(upstreams) as rig:
            isolate(rig)
            got = [await rig.call("s", path=SUSPECT), await rig.call("o")]
        self.assertEqual([200, 200], [item.status for item in got])
