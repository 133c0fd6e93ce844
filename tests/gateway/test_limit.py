"""An engine named a limit of one request a second, and got four times as much.

Answers said it, and nothing read it: requests were placed as if the engine took any number. One
gateway alone sent 20 of 20 requests to an engine that had said in its first answer that it takes
one in ten seconds. On a working day, with the load spread over nine engines, two that took one a
second got 12 to 15 in 4 s where 11 may be, from nine gateways that had each passed the word on,
for as long as it was named.
"""

from __future__ import annotations

import unittest

from lotushill.routing.route import RouteKind
from tests.gateway.rig import SIGNED
from tests.gateway.rig import Rig
from tests.gateway.rig import ScriptedUpstream
from tests.gateway.rig import Seen
from tests.gateway.test_rest import prefer

LIMIT = "Server-Limit: 0.1\r\n"
"""Within a test at most one more request."""


async def whole(seen: Seen) -> None:
    seen.whole()


async def limits(seen: Seen) -> None:
    seen.whole(status=f"200 OK\r\n{LIMIT.strip()}")


class TestOneGateway(unittest.IsolatedAsyncioTestCase):
    async def test_what_is_over_the_limit_goes_to_the_others(self) -> None:
        upstreams = [ScriptedUpstream([limits]), ScriptedUpstream([whole])]
        async with Rig(upstreams) as rig:
            prefer(rig, "b0")
            got = [await rig.call(f"r{number}") for number in range(20)]
        self.assertEqual({200}, {item.status for item in got})
        self.assertLessEqual(len(upstreams[0].seen), 2)

    async def test_where_all_have_a_limit_what_is_over_is_refused_as_not_run(self) -> None:
        upstreams = [ScriptedUpstream([limits]) for _ in range(2)]
        async with Rig(upstreams, max_attempts=5) as rig:
            got = [await rig.call(f"r{number}") for number in range(20)]
        self.assertEqual({200, 503}, {item.status for item in got})
        self.assertLessEqual(max(len(item.seen) for item in upstreams), 2)

    async def test_any_answer_names_it(self) -> None:
        for head in ("421 No\r\n", "503 Busy\r\nNot-Executed: 1\r\n", "500 Bad\r\n", "429 No\r\n"):
            with self.subTest(head=head):

                async def answer(seen: Seen, head: str = head) -> None:
                    seen.answer(f"{head}{LIMIT}Content-Length: 0\r\n")

                upstreams = [ScriptedUpstream([answer]), ScriptedUpstream([whole])]
                async with Rig(upstreams, slack=100.0) as rig:
                    prefer(rig, "b0")
                    for number in range(20):
                        await rig.call(f"r{number}")
                self.assertLessEqual(len(upstreams[0].seen), 2)

    async def test_the_head_of_a_stream_names_it_while_the_stream_goes_on(self) -> None:
        async def stream(seen: Seen) -> None:
            seen.answer(f"200 OK\r\nTransfer-Encoding: chunked\r\n{LIMIT}{SIGNED}")
            seen.event(0)
            await seen.writer.drain()
            for number in range(5):
                await rig.call(f"other{number}")
            seen.event(1)
            seen.end_events()

        upstreams = [ScriptedUpstream([stream]), ScriptedUpstream([whole])]
        async with Rig(upstreams, RouteKind.STREAM, resumable=True) as rig:
            prefer(rig, "b0")
            got = await rig.call("first")
        self.assertTrue(got.whole)
        self.assertEqual(["first"], [seen.id for seen in upstreams[0].seen])
