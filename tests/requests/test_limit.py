"""An engine that stated a limit of one request per second received four times as many.

Guards against ignoring the limit in answers, which made gateways place requests as if the engine
accepted any number. One gateway alone sent 20 of 20 requests to an engine whose first answer stated
a limit of one in ten seconds, as its log showed once the limit was read:

    4903.625 upstream.limits upstream=b0 rate=0.1 source=answer
    4903.627 placement.chosen request=r1 upstream=b0 cost=0.0203 first_ms=82.4
    4903.629 placement.chosen request=r2 upstream=b0 cost=0.0164 first_ms=68.3

Under a day's load spread over nine engines, two with a limit of one request per second received 12
to 15 in 4 s, where 11 are allowed, from nine gateways that each published the limit while it was
stated.
"""

from __future__ import annotations

import unittest

from lotushill.routing.route import RouteKind
from tests.requests.rig import SIGNED
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream
from tests.requests.test_cooldowns import backup_of
from tests.requests.test_cooldowns import prefer
from tests.requests.test_leaving import entry
from tests.requests.test_leaving import whole

LIMIT = "Server-Limit: 0.1\r\n"
"""Header with a limit that allows at most one more request within a test."""


async def limits(seen: ReceivedRequest) -> None:
    seen.answer_whole(status=f"200 OK\r\n{LIMIT.strip()}")


class TestOneGateway(unittest.IsolatedAsyncioTestCase):
    async def test_requests_over_the_limit_go_to_other_upstreams(self) -> None:
        upstreams = [ScriptedUpstream([limits]), ScriptedUpstream([whole])]
        async with Rig(upstreams) as rig:
            prefer(rig, "b0")
            got = [await rig.call(f"r{number}") for number in range(20)]
        self.assertEqual({200}, {item.status for item in got})
        self.assertLessEqual(len(upstreams[0].requests), 2)

    async def test_if_all_have_a_limit_requests_over_it_are_refused_as_not_run(self) -> None:
        upstreams = [ScriptedUpstream([limits]) for _ in range(2)]
        async with Rig(upstreams, max_attempts=5) as rig:
            got = [await rig.call(f"r{number}") for number in range(20)]
        self.assertEqual({200, 503}, {item.status for item in got})
        times = [float(item.headers["retry-after"]) for item in got if item.status == 503]
        self.assertGreaterEqual(min(times), 1.0)
        self.assertLessEqual(max(len(item.requests) for item in upstreams), 2)

    async def test_any_answer_can_state_a_limit(self) -> None:
        for head in ("421 No\r\n", "503 Busy\r\nNot-Executed: 1\r\n", "500 Bad\r\n", "429 No\r\n"):
            with self.subTest(head=head):

                async def answer(seen: ReceivedRequest, head: str = head) -> None:
                    seen.answer(f"{head}{LIMIT}Content-Length: 0\r\n")

                upstreams = [ScriptedUpstream([answer]), ScriptedUpstream([whole])]
                async with Rig(upstreams, slack=100.0) as rig:
                    prefer(rig, "b0")
                    for number in range(20):
                        await rig.call(f"r{number}")
                self.assertLessEqual(len(upstreams[0].requests), 2)

    async def test_the_head_of_a_stream_states_the_limit_while_the_stream_continues(self) -> None:
        async def stream(seen: ReceivedRequest) -> None:
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
        self.assertEqual(["first"], [seen.id for seen in upstreams[0].requests])

    async def test_a_request_without_a_permit_spends_neither_a_run_nor_a_retry(self) -> None:
        upstreams = [ScriptedUpstream([limits]), ScriptedUpstream([whole])]
        async with Rig(upstreams, max_attempts=1, slack=0.0) as rig:
            prefer(rig, "b0")
            got = [await rig.call(f"r{number}") for number in range(10)]
        self.assertEqual({200}, {item.status for item in got})
        self.assertEqual(1, upstreams[0].connections)

    async def test_a_run_is_not_continued_without_a_permit(self) -> None:
        async def serve(seen: ReceivedRequest) -> None:
            if seen.id == "asked":
                seen.answer_whole(status=f"200 OK\r\n{LIMIT.strip()}")
                return
            seen.start_events()
            seen.event(0)
            await seen.writer.drain()
            copy = next(item for item in rig.view.all() if item.address == backup_of(seen))
            prefer(rig, copy.id)
            await rig.call("asked", headers="Token-Usage: 50,20\r\n")
            seen.reset()

        upstreams = [ScriptedUpstream([serve]) for _ in range(2)]
        async with Rig(upstreams, RouteKind.STREAM, engine=True, backups=True) as rig:
            got = await rig.call("runs", headers="Token-Usage: 50,20\r\n")
            unpermitted = rig.components.gate.requests_without_permit
        sent = [seen for item in upstreams for seen in item.requests if seen.id == "runs"]
        self.assertEqual((False, 1), (got.whole, len(sent)))
        self.assertEqual([], [seen.id for seen in sent if "kv-from" in seen.headers])
        # The permit is requested again as long as the client waits for an event.
        self.assertGreater(unpermitted, 1)

    async def test_no_backup_is_kept_at_an_upstream_with_a_limit(self) -> None:
        """A run continued there would need a permit, just when another engine has failed."""

        async def serve(seen: ReceivedRequest) -> None:
            words = f"\r\n{LIMIT.strip()}" if seen.id == "asked" else ""
            seen.answer_whole(status=f"200 OK{words}")

        upstreams = [ScriptedUpstream([serve]) for _ in range(2)]
        async with Rig(upstreams, RouteKind.STREAM, engine=True, backups=True) as rig:
            await rig.call("asked", headers="Token-Usage: 50,20\r\n")
            limited = next(item for item in upstreams if item.requests)
            for number in range(5):
                await rig.call(f"r{number}", headers="Token-Usage: 50,20\r\n")
        others = [seen for item in upstreams for seen in item.requests if seen.id != "asked"]
        self.assertEqual(5, len(others))
        self.assertNotIn(limited.address, [seen.headers.get("kv-backup") for seen in others])

    async def test_a_later_incarnation_has_no_limit(self) -> None:
        upstreams = [ScriptedUpstream([limits, limits, whole])]
        async with Rig(upstreams) as rig:
            await rig.call("r1")
            refused = await rig.call("r2")
            rig.view.replace([entry(upstreams, 0, incarnation="b0@2")], 2)
            served = await rig.call("r3")
        self.assertEqual((503, 200), (refused.status, served.status))

    async def test_each_statement_of_one_answer_applies(self) -> None:
        async def busy(seen: ReceivedRequest) -> None:
            head = f"503 Busy\r\nNot-Executed: 1\r\nRetry-After: 0.05\r\n{LIMIT}"
            seen.answer(f"{head}Content-Length: 0\r\n")

        upstreams = [ScriptedUpstream([busy]), ScriptedUpstream([whole])]
        async with Rig(upstreams) as rig:
            prefer(rig, "b0")
            await rig.call("r1")
            rig.suspend(0.2)
            for number in range(10):
                await rig.call(f"later{number}")
        self.assertEqual(["r1"], [seen.id for seen in upstreams[0].requests])

    async def test_a_malformed_limit_does_not_end_the_limit(self) -> None:
        async def odd(seen: ReceivedRequest) -> None:
            seen.answer_whole(status="200 OK\r\nServer-Limit: few")

        upstreams = [ScriptedUpstream([limits, odd])]
        async with Rig(upstreams) as rig:
            await rig.call("r1")
            await rig.call("starts counting")
            rig.suspend(20.0)
            got = [await rig.call(f"r{number}") for number in range(2, 8)]
        # After the long pause two permits are available.
        self.assertEqual(3, len(upstreams[0].requests))
        self.assertIn(503, [item.status for item in got])

    async def test_the_end_of_a_limit_is_noticed_and_then_nothing_is_refused(self) -> None:
        upstreams = [ScriptedUpstream([limits, whole])]
        async with Rig(upstreams) as rig:
            await rig.call("r1")
            await rig.call("starts counting")
            rig.suspend(20.0)
            got = [await rig.call(f"r{number}") for number in range(2, 8)]
        self.assertEqual({200}, {item.status for item in got})
