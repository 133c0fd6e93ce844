"""Requests for brittle upstreams hold a slot of theirs from before they are sent to their end.

The failure: a slot that is not given back is idle until its permit expires, and one that is given
back too early is handed out twice.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import LimitReport
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream

if TYPE_CHECKING:
    from tests.requests.rig import ReceivedRequest

BRITTLE = "Server-Brittle: 6\r\n"
SLOTS = 8


async def serve(seen: ReceivedRequest) -> None:
    seen.answer(f"200 OK\r\n{BRITTLE}Content-Length: 4\r\nResponse-Signature: s1\r\n", b"done")


async def reject(seen: ReceivedRequest) -> None:
    seen.answer(f"503 Full\r\n{BRITTLE}Not-Executed: 1\r\nContent-Length: 0\r\n")


async def reset(seen: ReceivedRequest) -> None:
    seen.reset()


async def hang(seen: ReceivedRequest) -> None:
    await seen.reader.read(1)


def make_brittle(rig: Rig, max_rejections: float = 6.0) -> None:
    """Let all upstreams have stated that they are brittle."""
    now = rig.clock()
    for upstream in rig.view.all():
        rig.slots.gossip.note_answer(upstream.id, LimitReport(max_rejections, now - 0.1, now))


class TestSlotPermits(unittest.IsolatedAsyncioTestCase):
    async def test_a_slot_is_held_until_the_answer_is_complete(self) -> None:
        held: list[int] = []

        async def observe(seen: ReceivedRequest) -> None:
            held.append(rig.slots.owner.held("b0"))
            await serve(seen)

        async with Rig([ScriptedUpstream([observe])]) as rig:
            make_brittle(rig)
            answer = await rig.call()
            self.assertEqual(200, answer.status)
            self.assertEqual([1], held)
            self.assertEqual(0, rig.slots.owner.held("b0"))

    async def test_a_statement_in_an_answer_is_known_to_the_next_request(self) -> None:
        async with Rig([ScriptedUpstream([serve])]) as rig:
            await rig.call()
            self.assertTrue(rig.components.fleet.brittle.is_brittle("s"))

    async def test_slots_are_given_back_after_rejections_and_resets(self) -> None:
        for script in (reject, reset):
            with self.subTest(script=script.__name__):
                async with Rig([ScriptedUpstream([script]), ScriptedUpstream([script])]) as rig:
                    make_brittle(rig)
                    await rig.call()
                    await asyncio.sleep(0.4)
                    for name in ("b0", "b1"):
                        rig.slots.owner.process_due(rig.clock())
                        self.assertLessEqual(rig.slots.owner.held(name), 1)

    async def test_no_request_is_sent_while_all_slots_are_held(self) -> None:
        upstream = ScriptedUpstream([serve])
        async with Rig([upstream]) as rig:
            make_brittle(rig, max_rejections=40.0)
            held = [
                await rig.slots.begin(rig.view.all()[0], 0, rig.clock() + 60.0)
                for _ in range(SLOTS)
            ]
            self.assertNotIn(None, held)
            refused = await rig.call()
            self.assertEqual(503, refused.status)
            self.assertEqual([], upstream.requests)

    async def test_attempts_that_began_before_the_statement_are_counted(self) -> None:
        async with Rig([ScriptedUpstream([hang])]) as rig:
            call = asyncio.create_task(rig.call())
            await asyncio.sleep(0.1)
            make_brittle(rig)
            rig.slots.process_due()
            self.assertEqual(1, rig.slots.owner.held("b0"))
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
