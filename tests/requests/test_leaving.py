"""An upstream states in an answer that it is leaving while its entry in the store does not.

Guards against ignoring that statement. With two of six engines stating it in each answer while
their entries stayed `ready`, one gateway sent them 1,208 requests later than two seconds after the
first such answer. The entry is late or missing when it is needed most: in an outage of the store,
or if an upstream never states there that it is draining.
"""

from __future__ import annotations

import unittest

from lotushill.routing.route import RouteKind
from lotushill.routing.upstream import Upstream
from tests.requests.rig import ReceivedAnswer
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream
from tests.requests.test_cooldowns import prefer

LEAVES = "Server-Leaving: 1\r\n"


async def whole(seen: ReceivedRequest) -> None:
    seen.answer_whole()


async def leaves(seen: ReceivedRequest) -> None:
    seen.answer_whole(status=f"200 OK\r\n{LEAVES.strip()}")


class TestOneGateway(unittest.IsolatedAsyncioTestCase):
    async def test_a_complete_answer_that_announces_it_is_the_last(self) -> None:
        upstreams = [ScriptedUpstream([leaves]), ScriptedUpstream([whole])]
        async with Rig(upstreams) as rig:
            got = [await rig.call(f"r{number}") for number in range(20)]
        self.assertEqual({200}, {item.status for item in got})
        self.assertEqual(1, len(upstreams[0].requests))

    async def test_a_refusal_or_a_failure_announces_it_as_well(self) -> None:
        for head in ("421 No\r\n", "503 Busy\r\nNot-Executed: 1\r\n", "500 Bad\r\n"):
            with self.subTest(head=head):

                async def answer(seen: ReceivedRequest, head: str = head) -> None:
                    seen.answer(f"{head}{LEAVES}Content-Length: 0\r\n")

                upstreams = [ScriptedUpstream([answer]), ScriptedUpstream([whole])]
                async with Rig(upstreams) as rig:
                    for number in range(20):
                        await rig.call(f"r{number}")
                self.assertGreaterEqual(1, len(upstreams[0].requests))

    async def test_the_head_of_a_stream_announces_it_while_the_stream_continues(self) -> None:
        async def stream(seen: ReceivedRequest) -> None:
            seen.answer(
                f"200 OK\r\nTransfer-Encoding: chunked\r\n{LEAVES}Response-Signature: s1\r\n"
            )
            seen.event(0)
            await seen.writer.drain()
            others.append(await rig.call("other"))
            seen.event(1)
            seen.end_events()

        async def serve(seen: ReceivedRequest) -> None:
            await (stream if seen.id == "first" else whole)(seen)

        others: list[ReceivedAnswer] = []
        upstreams = [ScriptedUpstream([serve]), ScriptedUpstream([serve])]
        async with Rig(upstreams, RouteKind.STREAM, resumable=True) as rig:
            got = await rig.call("first")
        self.assertTrue(got.whole)
        self.assertEqual([200], [item.status for item in others])
        self.assertEqual(
            [["first"], ["other"]], sorted([s.id for s in u.requests] for u in upstreams)
        )

    async def test_a_later_ready_entry_does_not_revoke_it(self) -> None:
        upstreams = [ScriptedUpstream([leaves]), ScriptedUpstream([whole])]
        async with Rig(upstreams) as rig:
            prefer(rig, "b0")
            await rig.call("r1")
            entries = [entry(upstreams, number) for number in range(2)]
            rig.view.replace(entries[1:], 2)
            rig.view.replace(entries, 3)
            for number in range(10):
                await rig.call(f"later{number}")
        self.assertEqual(["r1"], [seen.id for seen in upstreams[0].requests])

    async def test_a_later_incarnation_is_sent_requests(self) -> None:
        upstreams = [ScriptedUpstream([leaves, whole])]
        async with Rig(upstreams) as rig:
            await rig.call("r1")
            refused = await rig.call("r2")
            rig.view.replace([entry(upstreams, 0, incarnation="b0@2")], 2)
            served = await rig.call("r3")
        self.assertEqual((503, 200), (refused.status, served.status))


def entry(upstreams: list[ScriptedUpstream], number: int, incarnation: str = "") -> Upstream:
    name = f"b{number}"
    address = upstreams[number].address
    return Upstream(incarnation or name, "s", address, "z", 8, False, instance=name)
