"""Logs and metrics of refusals and of faults of the gateway itself."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.requests.client_answer import ClientAnswer
from lotushill.routing.route import RouteKind
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import read_answer
from tests.requests.rig import request_bytes
from tests.requests.test_cooldowns import prefer
from tests.requests.test_moves import Site

if TYPE_CHECKING:
    from lotushill.requests.upstream_connection import UpstreamConnection
    from lotushill.routing.upstream import Upstream


async def whole(seen: ReceivedRequest) -> None:
    seen.answer_whole()


async def reset(seen: ReceivedRequest) -> None:
    seen.reset()


async def reset_after_an_event(seen: ReceivedRequest) -> None:
    seen.start_events()
    seen.event(0)
    await seen.writer.drain()
    await asyncio.sleep(0.05)
    seen.reset()


async def whole_stream(seen: ReceivedRequest) -> None:
    seen.start_events()
    seen.event(1)
    seen.end_events()


async def hang_after_an_event(seen: ReceivedRequest) -> None:
    seen.start_events()
    seen.event(0)
    await seen.writer.drain()
    await asyncio.sleep(3.0)


def cancel_client_requests() -> None:
    """Cancel the tasks of all clients' requests, as the end of the process does."""
    for task in asyncio.all_tasks():
        if "run_asgi" in repr(task.get_coro()):
            task.cancel()


def logged(rig: Rig, event: str) -> list[dict[str, object]]:
    lines = [json.loads(line) for line in rig.lines]
    return [line for line in lines if line["event"] == event]


class TestRequestLogs(unittest.IsolatedAsyncioTestCase):
    async def test_a_refusal_logs_the_figures_that_decided_it(self) -> None:
        refused = NoChoice(Refusal.OVERLOAD, 1.2, 0.9, 0.4, 2_000.0, 3_000.0)
        async with Rig([ScriptedUpstream([whole])]) as rig:
            rig.components.fleet.choose = lambda *_: refused  # type: ignore[method-assign]
            got = await rig.call()
        self.assertEqual((503, "1.20"), (got.status, got.headers["retry-after"]))
        (line,) = logged(rig, "placement.none")
        figures = {name: line[name] for name in ("reason", "wait_ms", "first_ms", "usual_prompt")}
        expected = {"reason": "overload", "wait_ms": 900, "first_ms": 400, "usual_prompt": 2000}
        self.assertEqual(expected, figures)
        self.assertEqual((3000, "s"), (line["longest_prompt"], line["service"]))
        text = rig.components.metrics.text().decode()
        self.assertIn('reason="overload",service="s",tier="2"} 1.0', text)

    async def test_an_interrupted_request_is_identified_when_it_arrives_again(self) -> None:
        upstreams = [ScriptedUpstream([reset])]
        async with Rig(upstreams, max_attempts=1) as rig:
            await rig.call("r1", body=b"one")
            await rig.call("r2", body=b"one")
            await rig.call("r3", body=b"two")
            await rig.call("r4", body=b"one", path="/p/y")
        first, again, body, path = (line["identity"] for line in logged(rig, "attempt.ended"))
        self.assertEqual(first, again)
        self.assertEqual(3, len({first, body, path}))

    async def test_a_rejection_logs_what_the_upstream_asked_for(self) -> None:
        async def reject(seen: ReceivedRequest) -> None:
            seen.answer(
                "503 Busy\r\nContent-Length: 0\r\nNot-Executed: 1\r\nRetry-After: 3\r\n"
                "Server-Leaving: 1\r\n"
            )

        async with Rig([ScriptedUpstream([reject])]) as rig:
            await rig.call()
        (line,) = logged(rig, "attempt.ended")
        figures = (line["kind"], line["rest"], line["leaving"], line["unreadable"])
        self.assertEqual(("rejected", 3.0, True, ""), figures)

    async def test_an_upstream_with_gateway_errors_does_not_attract_all_requests(self) -> None:
        upstreams = [ScriptedUpstream([whole]) for _ in range(3)]
        async with Rig(upstreams) as rig:
            take = rig.components.pool.acquire

            async def fail_at_one(
                upstream: Upstream, may_be_cut: bool = True
            ) -> UpstreamConnection:
                if upstream.id == "b0":
                    raise ZeroDivisionError
                return await take(upstream, may_be_cut)

            rig.components.pool.acquire = fail_at_one  # type: ignore[method-assign]
            statuses = [(await rig.call(f"r{n}")).status for n in range(30)]
        self.assertLessEqual(30 - statuses.count(200), 3)

    async def test_a_fault_of_the_gateway_logs_its_traceback(self) -> None:
        def fail(*_: object) -> NoChoice:
            raise ZeroDivisionError

        async with Rig([ScriptedUpstream([whole])]) as rig:
            rig.components.fleet.choose = fail  # type: ignore[method-assign, assignment]
            got = await rig.call()
        self.assertEqual(503, got.status)
        (line,) = logged(rig, "request.fault")
        self.assertIn("in fail", str(line["trace"]))


class TestAnswerStates(unittest.IsolatedAsyncioTestCase):
    """What a client received of its answer, and why a truncated one ends."""

    def assert_ended(self, rig: Rig, answer: str, cut_by: str = "") -> None:
        (line,) = logged(rig, "request.ended")
        self.assertEqual((answer, cut_by), (line["answer"], line["cut_by"]))
        text = rig.components.metrics.text().decode()
        counted = f'lotushill_truncated_answers_total{{cause="{cut_by}",service="s"}} 1.0'
        self.assertEqual(bool(cut_by), counted in text)

    async def test_a_whole_answer(self) -> None:
        async with Rig([ScriptedUpstream([whole])]) as rig:
            await rig.call()
        self.assert_ended(rig, "whole")

    async def test_the_error_of_an_upstream_is_a_whole_answer(self) -> None:
        async def fail(seen: ReceivedRequest) -> None:
            seen.answer_whole(status="500 Failed")

        async with Rig([ScriptedUpstream([fail])], max_attempts=1) as rig:
            got = await rig.call()
        self.assertEqual(500, got.status)
        self.assert_ended(rig, "whole")

    async def test_an_answer_of_the_gateway(self) -> None:
        async with Rig([ScriptedUpstream([reset])], max_attempts=1) as rig:
            got = await rig.call()
        self.assertEqual(502, got.status)
        self.assert_ended(rig, "own")

    async def test_no_answer(self) -> None:
        async def hang(_: ReceivedRequest) -> None:
            await asyncio.sleep(3.0)

        async with Rig([ScriptedUpstream([hang])]) as rig:
            await self._leave_after_an_event(rig, event=False)
        self.assert_ended(rig, "none")

    async def test_a_stream_that_its_upstream_interrupts(self) -> None:
        async with Rig([ScriptedUpstream([reset_after_an_event])], RouteKind.STREAM) as rig:
            got = await rig.call()
        self.assertEqual((200, False), (got.status, got.whole))
        self.assert_ended(rig, "truncated", "upstream")

    async def test_the_cause_is_the_interruption_and_not_what_failed_after_it(self) -> None:
        upstreams = [ScriptedUpstream([reset_after_an_event, reset])]
        async with Rig(upstreams, RouteKind.STREAM, resumable=True, max_attempts=3) as rig:
            await rig.call()
        self.assert_ended(rig, "truncated", "upstream")

    async def test_a_silent_stream_that_the_gateway_closes(self) -> None:
        async def accept_and_reset(seen: ReceivedRequest) -> None:
            seen.start_events()
            await seen.writer.drain()
            await asyncio.sleep(0.3)
            seen.reset()

        upstreams = [ScriptedUpstream([item]) for item in (hang_after_an_event, accept_and_reset)]
        async with Rig(upstreams, RouteKind.STREAM, resumable=True) as rig:
            prefer(rig, "b0")
            await rig.call()
        self.assert_ended(rig, "truncated", "gateway-silence")

    async def test_a_silent_stream_without_a_replacement_is_read_to_its_deadline(self) -> None:
        upstreams = [ScriptedUpstream([hang_after_an_event, reset])]
        async with Rig(upstreams, RouteKind.STREAM, resumable=True, timeout=2.0) as rig:
            await rig.call()
        self.assert_ended(rig, "truncated", "deadline")

    async def test_a_run_that_the_gateway_stopped(self) -> None:
        async with Site().open() as site:
            for other in [site.source, *site.others]:
                other.rejects_handles = True
            await site.call()
            await site.wait_idle()
        self.assert_ended(site.rig, "truncated", "gateway-stop")

    async def test_a_run_that_fails_at_the_target_of_its_move(self) -> None:
        async with Site().open() as site:
            for other in site.others:
                other.crashes_after = 20
            await site.call()
            await site.wait_idle()
        self.assertEqual(1, site.resumed_count())
        self.assert_ended(site.rig, "truncated", "upstream")

    async def test_a_stream_whose_deadline_passes(self) -> None:
        upstreams = [ScriptedUpstream([hang_after_an_event])]
        async with Rig(upstreams, RouteKind.STREAM, timeout=0.2) as rig:
            await rig.call()
        self.assert_ended(rig, "truncated", "deadline")

    async def test_a_stream_whose_client_leaves(self) -> None:
        async with Rig([ScriptedUpstream([hang_after_an_event])], RouteKind.STREAM) as rig:
            await self._leave_after_an_event(rig)
        self.assert_ended(rig, "truncated", "client")

    async def test_a_stream_whose_gateway_fails(self) -> None:
        async with Rig([ScriptedUpstream([hang_after_an_event])], RouteKind.STREAM) as rig:

            async def fail(_: bytes) -> None:
                raise ZeroDivisionError

            with patch.object(ClientAnswer, "write", side_effect=fail):
                await rig.call()
        self.assert_ended(rig, "truncated", "gateway-fault")

    async def test_a_stream_in_progress_when_the_process_ends(self) -> None:
        async with Rig([ScriptedUpstream([hang_after_an_event])], RouteKind.STREAM) as rig:
            reader, writer = await rig.connect()
            writer.write(request_bytes())
            await reader.readuntil(b"piece-0")
            with self.assertLogs("uvicorn.error") as server_log:
                cancel_client_requests()
                await reader.read()
            writer.close()
        self.assert_ended(rig, "truncated", "shutdown")
        self.assertNotIn("Traceback", "".join(server_log.output))

    async def test_a_request_that_may_have_run_when_the_process_ends(self) -> None:
        received = asyncio.Event()

        async def hang(_: ReceivedRequest) -> None:
            received.set()
            await asyncio.sleep(3.0)

        async with Rig([ScriptedUpstream([hang])]) as rig:
            reader, writer = await rig.connect()
            writer.write(request_bytes())
            await received.wait()
            cancel_client_requests()
            answer = await read_answer(reader)
            writer.close()
        self.assertEqual(502, answer.status)
        self.assert_ended(rig, "own")

    async def test_a_request_whose_body_is_not_complete_when_the_process_ends(self) -> None:
        async with Rig([ScriptedUpstream([whole])]) as rig:
            reader, writer = await rig.connect()
            writer.write(request_bytes(body=b"body")[:-1])
            while not rig.front.in_progress:
                await asyncio.sleep(0.01)
            cancel_client_requests()
            answer = await read_answer(reader)
            writer.close()
        self.assertEqual(503, answer.status)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual([503], [line["status"] for line in logged(rig, "request.turned_away")])

    async def _leave_after_an_event(self, rig: Rig, event: bool = True) -> None:
        """Send a request and close its connection, after the first event of the answer or soon."""
        reader, writer = await rig.connect()
        writer.write(request_bytes())
        if event:
            await reader.readuntil(b"piece-0")
        else:
            await asyncio.sleep(0.1)
        writer.close()
        while not logged(rig, "request.ended"):
            await asyncio.sleep(0.01)


class TestLimits(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_without_a_permit_logs_its_upstream(self) -> None:
        async def limits(seen: ReceivedRequest) -> None:
            seen.answer_whole(status="200 OK\r\nServer-Limit: 0.1")

        async with Rig([ScriptedUpstream([limits]), ScriptedUpstream([limits])]) as rig:
            for number in range(4):
                await rig.call(f"r{number}")
        lines = logged(rig, "placement.put_off")
        self.assertTrue(lines)
        self.assertEqual({("no permit", 0.1)}, {(line["why"], line["limit"]) for line in lines})
        self.assertEqual(["all limited"] * 2, [x["reason"] for x in logged(rig, "placement.none")])

    async def test_a_stated_limit_is_logged_when_it_changes(self) -> None:
        async def limits(seen: ReceivedRequest) -> None:
            limits_by_id = {"r1": "", "r2": "1500.5", "r3": "1500.5", "r4": "few", "r5": ""}
            limit = limits_by_id[seen.id]
            seen.answer_whole(status=f"200 OK\r\nServer-Limit: {limit}" if limit else "200 OK")

        async with Rig([ScriptedUpstream([limits])]) as rig:
            for number in range(1, 6):
                await rig.call(f"r{number}")
        logged_limits = [(line["rate"], line["source"]) for line in logged(rig, "upstream.limits")]
        self.assertEqual([(1500.5, "answer"), (None, "answer")], logged_limits)
        self.assertEqual(["few"], [x["value"] for x in logged(rig, "upstream.limit_unreadable")])


class TestMovedRunLogs(unittest.IsolatedAsyncioTestCase):
    """Logs that tell how a run that was to be moved was stopped, closed and continued."""

    async def test_a_stopped_run_logs_where_it_continues(self) -> None:
        async with Site([200, 503]).open() as site:
            await site.call()
            await site.wait_idle()
        (stopped,) = logged(site.rig, "run.stopped")
        self.assertEqual(("no room or no way", True), (stopped["stop"], stopped["handle"]))
        (continued,) = logged(site.rig, "run.continued")
        self.assertEqual(("source", "b0"), (continued["place"], continued["upstream"]))
        (ended,) = logged(site.rig, "attempt.ended")
        self.assertEqual(("moved", False), (ended["kind"], ended["closed_here"]))
        (resumed,) = logged(site.rig, "run.resumed")
        self.assertEqual(("source", "b0"), (resumed["place"], resumed["upstream"]))

    async def test_a_run_that_continues_at_its_target_logs_its_pause(self) -> None:
        async with Site().open() as site:
            await site.call()
            await site.wait_idle()
        (resumed,) = logged(site.rig, "run.resumed")
        self.assertEqual("target", resumed["place"])
        pause = float(str(resumed["pause_ms"]))
        self.assertGreater(pause, 0.0)
        self.assertLess(pause, 1000.0)

    async def test_a_stream_that_is_repeated_elsewhere_logs_its_pause(self) -> None:
        upstreams = [ScriptedUpstream([script]) for script in (reset_after_an_event, whole_stream)]
        async with Rig(upstreams, RouteKind.STREAM, resumable=True) as rig:
            prefer(rig, "b0")
            got = await rig.call()
        self.assertTrue(got.whole)
        self.assertEqual(["new run"], [line["place"] for line in logged(rig, "run.resumed")])

    async def test_a_moved_run_whose_memory_is_refused_logs_each_refusal(self) -> None:
        async with Site().open() as site:
            for other in [site.source, *site.others]:
                other.rejects_handles = True
            await site.call()
            await site.wait_idle()
        refusals = [(line["place"], line["kind"]) for line in logged(site.rig, "run.not_continued")]
        self.assertEqual({("target", "rejected"), ("source", "rejected")}, set(refusals))
        self.assertEqual(1, len(logged(site.rig, "run.cut")))
