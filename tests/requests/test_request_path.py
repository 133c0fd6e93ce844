"""Behavior of the request path towards clients and upstreams, tested over sockets."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

from lotushill.routing.route import RouteKind
from tests.requests.rig import KEY
from tests.requests.rig import SIGNED
from tests.requests.rig import TEAM
from tests.requests.rig import ReceivedAnswer
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import Script
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import event
from tests.requests.rig import read_answer
from tests.requests.rig import request_bytes

if TYPE_CHECKING:
    from lotushill.requests.upstream_connection import UpstreamConnection
    from lotushill.routing.upstream import Upstream


async def whole(seen: ReceivedRequest) -> None:
    seen.answer_whole()


async def reset(seen: ReceivedRequest) -> None:
    seen.reset()


async def rejects(seen: ReceivedRequest) -> None:
    seen.answer("503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n")


async def fails(seen: ReceivedRequest) -> None:
    seen.answer_whole(b"oops", "500 Error")


async def silent(seen: ReceivedRequest) -> None:
    del seen
    await asyncio.sleep(30)


class TestConnectionClosedBeforeTheRequest(unittest.IsolatedAsyncioTestCase):
    """An upstream resets a connection right after it was opened, as one that has just failed."""

    async def test_a_request_that_must_not_run_twice_is_sent_on_a_further_connection(self) -> None:
        upstreams = [ScriptedUpstream([whole]) for _ in range(2)]
        async with Rig(upstreams, RouteKind.NON_IDEMPOTENT) as rig:
            acquire = rig.components.pool.acquire
            closed: list[UpstreamConnection] = []

            async def acquire_closed(
                chosen: Upstream, may_be_cut: bool = True
            ) -> UpstreamConnection:
                connection = await acquire(chosen, may_be_cut)
                if not closed:
                    closed.append(connection)
                    connection.close()
                return connection

            with patch.object(rig.components.pool, "acquire", acquire_closed):
                got = await rig.call("r1")
        runs = sum(len(upstream.requests) for upstream in upstreams)
        self.assertEqual((200, 1, 1), (got.status, len(closed), runs))


class TestForwarding(unittest.IsolatedAsyncioTestCase):
    async def test_method_target_and_body_are_unchanged_and_the_key_is_removed(self) -> None:
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream]) as rig:
            got = await rig.call(
                "r7",
                "Team: forged\r\nX-Own: 1\r\nDeadline-Ms: 900\r\n",
                b"body",
                "/p/a%20b?q=%2F&",
            )
        seen = upstream.requests[0]
        self.assertEqual(
            (200, b"done", "s1"), (got.status, got.body, got.headers["response-signature"])
        )
        self.assertEqual("POST /p/a%20b?q=%2F& HTTP/1.1", seen.line)
        self.assertEqual((b"body", "r7", "1"), (seen.body, seen.id, seen.headers["x-own"]))
        self.assertEqual((TEAM, "b0"), (seen.headers["tenant"], seen.headers["target-instance"]))
        self.assertNotIn(KEY, str(seen.headers))
        self.assertLessEqual(int(seen.headers["deadline-ms"]), 900)

    async def test_a_chunked_body_arrives_complete(self) -> None:
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream]) as rig:
            reader, writer = await rig.connect()
            head = request_bytes().replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            writer.write(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            got = await read_answer(reader)
            writer.close()
        self.assertEqual((200, b"abcde"), (got.status, upstream.requests[0].body))

    async def test_connections_to_upstreams_are_used_again(self) -> None:
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream]) as rig:
            for number in range(4):
                await rig.call(f"r{number}")
        self.assertEqual((4, 1), (len(upstream.requests), upstream.connections))


class TestDenials(unittest.IsolatedAsyncioTestCase):
    async def test_unknown_routes_and_keys_are_told_apart(self) -> None:
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream]) as rig:
            self.assertEqual(404, (await rig.call(path="/q/x")).status)
            got = await rig.call(headers="Authorization: Bearer other\r\n")
            self.assertEqual(401, got.status)
        self.assertEqual([], upstream.requests)

    async def test_while_the_view_may_be_stale_unknown_requests_get_a_retry_after(self) -> None:
        async with Rig([ScriptedUpstream([whole])]) as rig:
            rig.fresh = False
            got = await rig.call(path="/q/x")
        self.assertEqual(503, got.status)
        self.assertGreater(float(got.headers["retry-after"]), 0)

    async def test_bodies_and_headers_over_the_limits(self) -> None:
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream]) as rig:
            self.assertEqual(431, (await rig.call(headers=f"X-Long: {'x' * 17000}\r\n")).status)
            self.assertEqual(413, (await rig.call(body=b"x" * 4_300_000)).status)
        self.assertEqual([], upstream.requests)

    async def test_without_a_configuration_nothing_is_denied(self) -> None:
        async with Rig([ScriptedUpstream([whole])]) as rig:
            rig.configuration.table = None
            got = await rig.call()
        self.assertEqual(503, got.status)


class TestAtMostOnce(unittest.IsolatedAsyncioTestCase):
    async def test_after_a_reset_a_request_that_may_run_once_is_not_retried(self) -> None:
        upstreams = [ScriptedUpstream([reset]), ScriptedUpstream([reset])]
        async with Rig(upstreams, RouteKind.NON_IDEMPOTENT) as rig:
            got = await rig.call()
        self.assertEqual(502, got.status)
        self.assertEqual(1, sum(len(item.requests) for item in upstreams))

    async def test_what_may_be_repeated_is_sent_to_another_upstream(self) -> None:
        upstreams = [ScriptedUpstream([reset, whole]), ScriptedUpstream([reset, whole])]
        upstreams[1].scripts = [whole]
        upstreams[0].scripts = [reset]
        async with Rig(upstreams) as rig:
            statuses = [(await rig.call(f"r{n}")).status for n in range(6)]
        self.assertEqual([200] * 6, statuses)

    async def test_a_rejection_is_retried_elsewhere_and_then_reported_as_not_run(self) -> None:
        upstreams = [ScriptedUpstream([rejects]), ScriptedUpstream([rejects])]
        async with Rig(upstreams, RouteKind.NON_IDEMPOTENT) as rig:
            got = await rig.call()
        self.assertEqual(503, got.status)
        self.assertNotIn("response-signature", got.headers)
        self.assertIn("retry-after", got.headers)
        self.assertEqual([1, 1], [len(item.requests) for item in upstreams])

    async def test_never_more_upstreams_than_the_route_allows(self) -> None:
        upstreams = [ScriptedUpstream([fails]) for _ in range(4)]
        async with Rig(upstreams, max_attempts=2) as rig:
            got = await rig.call()
        self.assertEqual(
            (500, b"oops", "s1"), (got.status, got.body, got.headers["response-signature"])
        )
        self.assertEqual(2, sum(len(item.requests) for item in upstreams))

    async def test_without_retry_budget_nothing_is_retried(self) -> None:
        upstreams = [ScriptedUpstream([fails]) for _ in range(2)]
        async with Rig(upstreams, slack=0.0) as rig:
            await rig.call()
        self.assertEqual(1, sum(len(item.requests) for item in upstreams))

    async def test_an_unreachable_upstream_spends_no_retry(self) -> None:
        upstreams = [ScriptedUpstream([whole]), ScriptedUpstream([whole])]
        async with Rig(upstreams, RouteKind.NON_IDEMPOTENT, slack=0.0) as rig:
            upstreams[0].stop()
            await asyncio.sleep(0)
            statuses = [(await rig.call(f"r{n}")).status for n in range(4)]
        self.assertEqual([200] * 4, statuses)


class TestCompleteAnswers(unittest.IsolatedAsyncioTestCase):
    async def assert_incomplete(self, script: object) -> None:
        upstream = ScriptedUpstream([script])  # type: ignore[list-item]
        async with Rig([upstream], RouteKind.NON_IDEMPOTENT) as rig:
            got = await rig.call()
        self.assertEqual(502, got.status)
        self.assertNotIn("response-signature", got.headers)

    async def test_a_truncated_answer_is_not_a_success(self) -> None:
        async def cut(seen: ReceivedRequest) -> None:
            seen.answer(f"200 OK\r\nContent-Length: 100\r\n{SIGNED}", b"half")
            await seen.writer.drain()
            seen.writer.close()

        await self.assert_incomplete(cut)

    async def test_malformed_answer_bytes_are_not_a_success(self) -> None:
        async def garbage(seen: ReceivedRequest) -> None:
            seen.writer.write(b"\x00\x01 nonsense\r\n\r\n")

        await self.assert_incomplete(garbage)

    async def test_an_encoded_body_is_not_forwarded(self) -> None:
        async def encoded(seen: ReceivedRequest) -> None:
            seen.answer(f"200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n{SIGNED}", b"x")

        await self.assert_incomplete(encoded)

    async def test_an_answer_without_length_ends_with_its_connection(self) -> None:
        async def unframed(seen: ReceivedRequest) -> None:
            seen.answer(f"200 OK\r\n{SIGNED}", b"all of it")
            await seen.writer.drain()
            seen.writer.close()

        async with Rig([ScriptedUpstream([unframed])]) as rig:
            got = await rig.call()
        self.assertEqual((200, b"all of it", True), (got.status, got.body, got.whole))

    async def test_a_reset_answer_without_length_is_not_complete(self) -> None:
        async def unframed(seen: ReceivedRequest) -> None:
            seen.answer(f"200 OK\r\n{SIGNED}", b"some of it")
            await asyncio.sleep(0.05)
            seen.reset()

        await self.assert_incomplete(unframed)

    async def test_a_surplus_answer_is_not_given_to_the_next_request(self) -> None:
        async def twice(seen: ReceivedRequest) -> None:
            seen.answer_whole(b"first")
            seen.answer_whole(b"again")

        upstream = ScriptedUpstream([twice, whole])
        async with Rig([upstream]) as rig:
            first = await rig.call("r1")
            second = await rig.call("r2")
        self.assertEqual((b"first", b"done"), (first.body, second.body))

    async def test_a_late_surplus_answer_before_the_next_one_is_skipped(self) -> None:
        async def late(seen: ReceivedRequest) -> None:
            seen.answer(f"200 OK\r\nContent-Length: 3\r\n{SIGNED}", b"old", request_id="r0")
            seen.answer_whole(b"own")

        async with Rig([ScriptedUpstream([late])], RouteKind.NON_IDEMPOTENT) as rig:
            got = await rig.call("r1")
        self.assertEqual((200, b"own"), (got.status, got.body))

    async def test_two_requests_on_one_connection_get_their_own_answers(self) -> None:
        async def echo(seen: ReceivedRequest) -> None:
            await asyncio.sleep(0.05 if seen.id == "r1" else 0)
            seen.answer_whole(seen.id.encode())

        async with Rig([ScriptedUpstream([echo])]) as rig:
            reader, writer = await rig.connect()
            writer.write(request_bytes("r1") + request_bytes("r2"))
            bodies = [(await read_answer(reader)).body for _ in range(2)]
            writer.close()
        self.assertEqual([b"r1", b"r2"], bodies)


class TestStreams(unittest.IsolatedAsyncioTestCase):
    def rig(self, upstreams: list[ScriptedUpstream], resumable: bool = True) -> Rig:
        return Rig(upstreams, RouteKind.STREAM, resumable, engine=True)

    async def test_each_event_is_passed_on_as_it_comes(self) -> None:
        step = asyncio.Event()

        async def stream(seen: ReceivedRequest) -> None:
            seen.start_events()
            seen.event(0)
            await step.wait()
            seen.event(1)
            seen.end_events()

        for resumable in (True, False):
            step.clear()
            async with self.rig([ScriptedUpstream([stream])], resumable) as rig:
                reader, writer = await rig.connect()
                writer.write(request_bytes())
                await reader.readuntil(b"piece-0\n\n")
                step.set()
                rest = await reader.readuntil(b"0\r\n\r\n")
                self.assertIn(b"piece-1", rest)
                writer.close()

    async def test_a_stream_continues_after_the_last_complete_event(self) -> None:
        async def breaks(seen: ReceivedRequest) -> None:
            seen.start_events()
            seen.event(0)
            seen.chunk(event(1)[:7])
            await seen.writer.drain()
            await asyncio.sleep(0.05)
            seen.reset()

        async def goes_on(seen: ReceivedRequest) -> None:
            seen.start_events()
            seen.event(1)
            seen.event(2)
            seen.end_events()

        upstreams = [ScriptedUpstream([breaks]), ScriptedUpstream([breaks])]
        for index, item in enumerate(upstreams):
            other = upstreams[1 - index]

            async def either(seen: ReceivedRequest, other: ScriptedUpstream = other) -> None:
                await (goes_on if other.requests else breaks)(seen)

            item.scripts = [either]
        async with self.rig(upstreams) as rig:
            got = await rig.call()
        self.assertTrue(got.whole)
        self.assertEqual(b"".join(event(n) for n in range(3)), got.body)
        second = min(
            (seen for item in upstreams for seen in item.requests),
            key=lambda seen: len(seen.headers) * -1,
        )
        self.assertEqual("0", second.headers["last-event-id"])

    async def interrupt_with_backup(
        self, goes_on: Script, events: int = 1, healthy: bool = True
    ) -> tuple[ReceivedAnswer, ReceivedRequest, list[ReceivedRequest]]:
        """Interrupt a stream that must not run twice after some events; return the outcome.

        The outcome is the answer, the first request and the later ones. Unless `healthy`, the
        backup fails another request at the same time.
        """

        async def breaks(seen: ReceivedRequest) -> None:
            if events:
                seen.start_events()
                seen.event(0)
                seen.chunk(event(1)[:7])
                await seen.writer.drain()
                await asyncio.sleep(0.05)
            if not healthy:
                for item in upstreams:
                    if item.address == seen.headers["kv-backup"]:
                        load = rig.components.fleet.load(f"b{upstreams.index(item)}")
                        load.failures.note(True, asyncio.get_running_loop().time())
            seen.reset()

        async def either(seen: ReceivedRequest) -> None:
            await (goes_on if "kv-from" in seen.headers else breaks)(seen)

        upstreams = [ScriptedUpstream([either]), ScriptedUpstream([either])]
        async with Rig(upstreams, RouteKind.STREAM, engine=True, backups=True) as rig:
            got = await rig.call(headers="Token-Usage: 50,20\r\n")
            addresses = [item.address for item in upstreams]
        first, *later = sorted(
            (seen for item in upstreams for seen in item.requests),
            key=lambda seen: "kv-from" in seen.headers,
        )
        self.assertIn(first.headers["kv-backup"], addresses)
        return got, first, later

    async def test_a_stream_with_a_backup_continues_there_as_the_same_run(self) -> None:
        async def goes_on(seen: ReceivedRequest) -> None:
            seen.start_events()
            seen.event(1)
            seen.event(2)
            seen.end_events()

        got, first, later = await self.interrupt_with_backup(goes_on)
        self.assertTrue(got.whole)
        self.assertEqual(b"".join(event(n) for n in range(3)), got.body)
        self.assertEqual(1, len(later))
        self.assertEqual(f"{first.headers['kv-backup']}/{first.id}", later[0].headers["kv-from"])
        self.assertEqual("0", later[0].headers["last-event-id"])

    async def test_a_stream_that_was_cut_before_its_first_event_is_sent_nowhere_else(self) -> None:
        async def goes_on(seen: ReceivedRequest) -> None:
            seen.start_events()
            seen.event(0)
            seen.end_events()

        got, _, later = await self.interrupt_with_backup(goes_on, events=0)
        self.assertEqual(502, got.status)
        self.assertEqual([], later)

    async def test_a_stream_goes_on_at_no_upstream_that_has_just_failed(self) -> None:
        async def goes_on(seen: ReceivedRequest) -> None:
            seen.start_events()
            seen.event(1)
            seen.end_events()

        got, _, later = await self.interrupt_with_backup(goes_on, healthy=False)
        self.assertFalse(got.whole)
        self.assertEqual([], later)

    async def test_a_stream_whose_backup_is_missing_is_truncated_and_not_run_again(self) -> None:
        async def rejects(seen: ReceivedRequest) -> None:
            seen.answer_whole(b"no copy", "503 Service Unavailable\r\nNot-Executed: 1")

        got, first, later = await self.interrupt_with_backup(rejects)
        self.assertFalse(got.whole)
        self.assertEqual(4, len(later))
        copy = f"{first.headers['kv-backup']}/{first.id}"
        self.assertEqual({copy}, {seen.headers["kv-from"] for seen in later})

    async def test_a_backup_that_may_have_run_the_request_is_not_asked_again(self) -> None:
        got, _, later = await self.interrupt_with_backup(reset)
        self.assertFalse(got.whole)
        self.assertEqual(1, len(later))

    async def test_a_backup_that_refuses_for_a_moment_is_asked_again(self) -> None:
        refusals = 2

        async def refuses_first(seen: ReceivedRequest) -> None:
            nonlocal refusals
            if refusals:
                refusals -= 1
                return await rejects(seen)
            seen.start_events()
            seen.event(1)
            seen.end_events()

        got, _, later = await self.interrupt_with_backup(refuses_first)
        self.assertTrue(got.whole)
        self.assertEqual(b"".join(event(n) for n in range(2)), got.body)
        self.assertEqual(3, len(later))

    async def test_a_stream_that_may_not_be_resumed_is_visibly_truncated(self) -> None:
        async def breaks(seen: ReceivedRequest) -> None:
            seen.start_events()
            seen.event(0)
            await seen.writer.drain()
            await asyncio.sleep(0.05)
            seen.reset()

        upstreams = [ScriptedUpstream([breaks]), ScriptedUpstream([breaks])]
        async with self.rig(upstreams, resumable=False) as rig:
            got = await rig.call()
        self.assertEqual((200, False), (got.status, got.whole))
        self.assertEqual(1, sum(len(item.requests) for item in upstreams))


class TestTime(unittest.IsolatedAsyncioTestCase):
    async def test_a_client_disconnect_ends_the_work_of_the_upstream(self) -> None:
        upstream = ScriptedUpstream([silent])
        async with Rig([upstream], RouteKind.NON_IDEMPOTENT) as rig:
            _, writer = await rig.connect()
            writer.write(request_bytes())
            while not upstream.requests:
                await asyncio.sleep(0.005)
            writer.close()
            seen = upstream.requests[0]
            async with asyncio.timeout(2):
                self.assertEqual(b"", await seen.reader.read())
            self.assertEqual({}, rig.components.fleet.load("b0").running)

    async def test_after_a_timeout_the_answer_does_not_state_that_nothing_ran(self) -> None:
        async with Rig([ScriptedUpstream([silent])], RouteKind.NON_IDEMPOTENT, timeout=0.2) as rig:
            got = await rig.call()
        self.assertEqual(504, got.status)

    async def test_a_request_that_was_not_written_by_its_deadline_is_reported_as_not_run(
        self,
    ) -> None:
        # The timeout strikes while a connection is still being opened.
        async def hang(_: str) -> UpstreamConnection:
            await asyncio.sleep(30)
            raise AssertionError("the request has ended long ago")

        async with Rig([ScriptedUpstream([whole])], RouteKind.NON_IDEMPOTENT, timeout=0.3) as rig:
            with patch.object(rig.components.pool.dialer, "_connect", hang):
                answer = await rig.call()
        self.assertEqual(503, answer.status)
        self.assertIn("retry-after", answer.headers)

    async def test_the_clients_deadline_counts_if_it_is_shorter(self) -> None:
        async with Rig([ScriptedUpstream([silent])], RouteKind.NON_IDEMPOTENT) as rig:
            async with asyncio.timeout(3):
                got = await rig.call(headers="Deadline-Ms: 200\r\n")
        self.assertEqual(504, got.status)

    async def test_while_stopping_connections_end_with_their_answer(self) -> None:
        async with Rig([ScriptedUpstream([whole])]) as rig:
            rig.front.closes_connections = True
            got = await rig.call()
        self.assertEqual((200, "close"), (got.status, got.headers["connection"]))


class TestLog(unittest.IsolatedAsyncioTestCase):
    async def test_each_decision_on_a_request_can_be_found_by_its_id(self) -> None:
        async with Rig([ScriptedUpstream([whole])]) as rig:
            await rig.call("r42")
        events = [line for line in rig.lines if b'"request":"r42"' in line]
        self.assertTrue(any(b"placement.chosen" in line for line in events))
        self.assertTrue(any(b'"outcome":"whole"' in line for line in events))
