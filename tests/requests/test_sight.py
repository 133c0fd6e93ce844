"""What logs and figures tell of refusals and of faults of our own."""

from __future__ import annotations

import json
import unittest
from typing import TYPE_CHECKING

from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream

if TYPE_CHECKING:
    from lotushill.requests.upstream_connection import UpstreamConnection
    from lotushill.routing.upstream import Upstream


async def whole(seen: ReceivedRequest) -> None:
    seen.answer_whole()


async def reset(seen: ReceivedRequest) -> None:
    seen.reset()


def noted(rig: Rig, event: str) -> list[dict[str, object]]:
    lines = [json.loads(line) for line in rig.lines]
    return [line for line in lines if line["event"] == event]


class TestSight(unittest.IsolatedAsyncioTestCase):
    async def test_a_refusal_tells_the_figures_that_decided_it(self) -> None:
        refused = NoChoice(Refusal.OVERLOAD, 1.2, 0.9, 0.4, 2_000.0, 3_000.0)
        async with Rig([ScriptedUpstream([whole])]) as rig:
            rig.parts.fleet.choose = lambda *_: refused  # type: ignore[method-assign]
            got = await rig.call()
        self.assertEqual((503, "1.20"), (got.status, got.headers["retry-after"]))
        (line,) = noted(rig, "placement.none")
        told = {name: line[name] for name in ("reason", "wait_ms", "first_ms", "usual_prompt")}
        expected = {"reason": "overload", "wait_ms": 900, "first_ms": 400, "usual_prompt": 2000}
        self.assertEqual(expected, told)
        self.assertEqual((3000, "s"), (line["longest_prompt"], line["service"]))
        text = rig.parts.metrics.text().decode()
        self.assertIn('reason="overload",service="s",tier="2"} 1.0', text)

    async def test_a_cut_request_is_told_apart_from_others_and_known_again(self) -> None:
        upstreams = [ScriptedUpstream([reset])]
        async with Rig(upstreams, max_attempts=1) as rig:
            await rig.call("r1", body=b"one")
            await rig.call("r2", body=b"one")
            await rig.call("r3", body=b"two")
            await rig.call("r4", body=b"one", path="/p/y")
        first, again, body, path = (line["identity"] for line in noted(rig, "attempt.ended"))
        self.assertEqual(first, again)
        self.assertEqual(3, len({first, body, path}))

    async def test_a_rejection_tells_what_the_upstream_asked_for(self) -> None:
        async def reject(seen: ReceivedRequest) -> None:
            seen.answer(
                "503 Busy\r\nContent-Length: 0\r\nNot-Executed: 1\r\nRetry-After: 3\r\n"
                "Server-Leaving: 1\r\n"
            )

        async with Rig([ScriptedUpstream([reject])]) as rig:
            await rig.call()
        (line,) = noted(rig, "attempt.ended")
        told = (line["kind"], line["rest"], line["leaving"], line["unreadable"])
        self.assertEqual(("rejected", 3.0, True, ""), told)

    async def test_an_upstream_at_which_a_fault_of_ours_shows_does_not_draw_all(self) -> None:
        upstreams = [ScriptedUpstream([whole]) for _ in range(3)]
        async with Rig(upstreams) as rig:
            take = rig.parts.pool.acquire

            async def fail_at_one(upstream: Upstream) -> UpstreamConnection:
                if upstream.id == "b0":
                    raise ZeroDivisionError
                return await take(upstream)

            rig.parts.pool.acquire = fail_at_one  # type: ignore[method-assign]
            statuses = [(await rig.call(f"r{n}")).status for n in range(30)]
        self.assertLessEqual(30 - statuses.count(200), 3)

    async def test_a_fault_of_ours_leaves_its_trace(self) -> None:
        def fail(*_: object) -> NoChoice:
            raise ZeroDivisionError

        async with Rig([ScriptedUpstream([whole])]) as rig:
            rig.parts.fleet.choose = fail  # type: ignore[method-assign, assignment]
            got = await rig.call()
        self.assertEqual(503, got.status)
        (line,) = noted(rig, "request.fault")
        self.assertIn("in fail", str(line["trace"]))


class TestLimits(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_had_no_permit_tells_where(self) -> None:
        async def limits(seen: ReceivedRequest) -> None:
            seen.answer_whole(status="200 OK\r\nServer-Limit: 0.1")

        async with Rig([ScriptedUpstream([limits]), ScriptedUpstream([limits])]) as rig:
            for number in range(4):
                await rig.call(f"r{number}")
        lines = noted(rig, "placement.put_off")
        self.assertTrue(lines)
        self.assertEqual({("no permit", 0.1)}, {(line["why"], line["limit"]) for line in lines})
        self.assertEqual(["all limited"] * 2, [x["reason"] for x in noted(rig, "placement.none")])

    async def test_a_word_of_a_limit_is_told_when_it_changes(self) -> None:
        async def limits(seen: ReceivedRequest) -> None:
            words = {"r1": "", "r2": "1500.5", "r3": "1500.5", "r4": "few", "r5": ""}
            word = words[seen.id]
            seen.answer_whole(status=f"200 OK\r\nServer-Limit: {word}" if word else "200 OK")

        async with Rig([ScriptedUpstream([limits])]) as rig:
            for number in range(1, 6):
                await rig.call(f"r{number}")
        told = [(line["rate"], line["source"]) for line in noted(rig, "upstream.limits")]
        self.assertEqual([(1500.5, "answer"), (None, "answer")], told)
        self.assertEqual(["few"], [x["value"] for x in noted(rig, "upstream.limit_unreadable")])
