"""Crowds of clients that do not behave end no gateway and do not keep it from serving others.

A gateway collected what clients sent, and what they did not take, with bounds for each connection
at best: some tens of connections were enough to use up the memory of its host. It runs here as a
separate process that is told of a small host.
"""

from __future__ import annotations

import asyncio
import contextlib
import struct
import textwrap
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from lotushill.links.address import split_address
from lotushill.links.channel import CHALLENGE_BYTES
from lotushill.links.channel import MAX_FRAME_BYTES
from tests.clients.crowd import Crowd
from tests.clients.crowd import Member
from tests.clients.crowd import head
from tests.console.gateway_program import SPEC
from tests.console.gateway_program import GatewayProgramCase
from tests.entries import entry
from tests.requests.rig import ReceivedAnswer
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import read_answer

if TYPE_CHECKING:
    from tests.clients.crowd import Behaviour

_TIMEOUT_SECONDS = 120.0
"""Time after which a test is taken to hang."""
_MEMORY_MB = 160
"""Memory of the host, in millions of bytes, that the process may not exceed."""
_DESCRIPTORS = 256
"""Descriptors that the system gives the process."""
_MAX_OPEN_DESCRIPTORS = 224
"""Open descriptors at which the process still has some for upstreams, peers and the store."""
_MAX_HEAD_BYTES = 16_384
_MAX_BODY_BYTES = 4_194_304
_IDLE_SECONDS = 2.0
_MEBIBYTE = 2**20
_PROMISES = (408, 421, 429, 503)
"""Statuses which promise that the request has not run and will not run."""
_RETRY_SECONDS = 0.1

_ORDINARY_ROUTE: dict[str, Any] = {
    **SPEC["routes"][0],  # type: ignore[index]
    "name": "ordinary",
    "pathPrefix": "/o/",
    "service": "shop",
}
_CROWD_SPEC: dict[str, Any] = {
    **SPEC,
    "version": 5,
    "routes": [SPEC["routes"][0], _ORDINARY_ROUTE],  # type: ignore[index]
    "services": [
        {"name": "app", "healthPath": "/health", "maxConns": 200},
        {"name": "shop", "healthPath": "/health", "maxConns": 50},
    ],
    "limits": {
        "maxHeaderBytes": _MAX_HEAD_BYTES,
        "maxBodyBytes": _MAX_BODY_BYTES,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": _IDLE_SECONDS * 1000,
    },
}
_PROGRAM = textwrap.dedent(
    f"""
    import resource
    resource.setrlimit(resource.RLIMIT_NOFILE, ({_DESCRIPTORS}, {_DESCRIPTORS}))
    from lotushill.console.gateway import main
    main()
    """
)

_TINY_LINES = b"a:\r\n"
_WHOLE_BODY = bytes(_MAX_BODY_BYTES)


async def answer_at_once(seen: ReceivedRequest) -> None:
    seen.answer_whole()


class CrowdCase(GatewayProgramCase):
    """Base of tests with a service for the crowd and one for ordinary callers."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.shop = ScriptedUpstream([answer_at_once])
        await self.shop.start()
        self.store.put("config", "main", _CROWD_SPEC)
        self.store.put("servers", "i-1", entry("app", self.upstream.address, slots=200))
        self.store.create("servers", "i-2", entry("shop", self.shop.address))
        self.crowd = Crowd(self.clients)
        self.process = await self.start(
            ("-c", _PROGRAM), memory_mb=_MEMORY_MB, descriptors=_DESCRIPTORS
        )
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            await self.wait_ready(self.process)

    async def asyncTearDown(self) -> None:
        await self.crowd.leave()
        self.may_answer.set()
        await self.shop.close()
        await super().asyncTearDown()

    async def check_holds(self) -> None:
        """Expect the process within its bounds, and an ordinary caller served beside the crowd."""
        self.check_within_bounds()
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            await self.call_until_served("ordinary-beside")
            self.check_within_bounds()
            await self.crowd.leave()
            await self.call_until_served("ordinary-after")
        self.check_within_bounds()
        last, *lines = await self.end(self.process)
        self.assertEqual((0, "SIGTERM"), (self.process.returncode, last.get("why")))
        self.assertNotIn("task.failed", {line["event"] for line in lines})

    def check_within_bounds(self) -> None:
        self.assertIsNone(self.process.returncode)
        folder = Path(f"/proc/{self.process.pid}")
        peak = next(
            line
            for line in (folder / "status").read_text(encoding="utf-8").splitlines()
            if line.startswith("VmHWM:")
        )
        self.assertLessEqual(int(peak.split()[1]) * 1024, _MEMORY_MB * 1_000_000)
        self.assertLessEqual(self.open_descriptors(), _MAX_OPEN_DESCRIPTORS)

    def open_descriptors(self) -> int:
        return sum(1 for _ in Path(f"/proc/{self.process.pid}/fd").iterdir())

    async def call_until_served(self, request_id: str) -> None:
        """Send one ordinary request until it is answered with success, as callers do."""
        number = 0
        while True:
            number += 1
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*split_address(self.clients))
                writer.write(
                    head(f"{request_id}-{number}", "Content-Length: 5", path="/o/x") + b"hello"
                )
                got = await read_answer(reader)
                writer.close()
                if got.status == 200:
                    return
            await asyncio.sleep(_RETRY_SECONDS)


class TestHeads(CrowdCase):
    async def check(self, count: int, behaviour: Behaviour) -> None:
        await self.crowd.join(count, behaviour)
        await self.check_holds()

    async def test_heads_over_the_limit_of_many_short_lines(self) -> None:
        """Each line of a head takes many times its bytes as it is parsed."""

        async def behave(member: Member) -> None:
            await member.send(b"POST /p/x HTTP/1.1\r\n" + _TINY_LINES * 15_000)

        await self.check(120, behave)

    async def test_heads_of_legal_size_that_do_not_end(self) -> None:
        async def behave(member: Member) -> None:
            await member.send(b"POST /p/x HTTP/1.1\r\n" + _TINY_LINES * 4_000)

        await self.check(190, behave)

    async def test_heads_without_end(self) -> None:
        async def behave(member: Member) -> None:
            await member.send(b"POST /p/x HTTP/1.1\r\n")
            await member.send(_TINY_LINES * (4 * _MEBIBYTE // len(_TINY_LINES)))

        await self.check(100, behave)

    async def test_lines_without_end(self) -> None:
        async def behave(member: Member) -> None:
            await member.send(b"POST /p/x HTTP/1.1\r\nX: ")
            await member.send(b"x" * (4 * _MEBIBYTE))

        await self.check(100, behave)

    async def test_targets_without_end(self) -> None:
        async def behave(member: Member) -> None:
            await member.send(b"POST /p/")
            await member.send(b"x" * (4 * _MEBIBYTE))

        await self.check(100, behave)


class TestEmptyLines(CrowdCase):
    async def test_empty_lines_without_end_before_a_request(self) -> None:
        async def behave(member: Member) -> None:
            await member.send(b"\r\n" * (4 * _MEBIBYTE // 2))

        await self.crowd.join(100, behave)
        await self.check_holds()

    async def test_empty_lines_after_a_request_do_not_keep_a_connection_open(self) -> None:
        """An empty line ended the idle timeout of a connection, which nothing started again."""

        async def behave(member: Member) -> None:
            await member.send(head(member.id, "Content-Length: 0", path="/o/x"))
            self.assertEqual(200, (await read_answer(member.reader)).status)
            await member.send(b"\r\n")

        await self.crowd.join(100, behave, takes_answers=True)
        async with asyncio.timeout(10 * _IDLE_SECONDS):
            for member in self.crowd.members:
                self.assertEqual(b"", await member.reader.read())
        await self.check_holds()


class TestBodies(CrowdCase):
    async def check_promises(self, answers: dict[str, ReceivedAnswer | None]) -> None:
        """Expect no request to run that was refused, none twice, and a time to come back."""
        ran = [seen.id for seen in self.upstream.requests]
        self.assertEqual(len(ran), len(set(ran)))
        for request_id, got in answers.items():
            if got is not None and got.status in _PROMISES:
                self.assertNotIn(request_id, ran)
            if got is not None and got.status in (429, 503):
                self.assertGreaterEqual(float(got.headers["retry-after"]), 0.0)

    async def test_whole_bodies_at_once(self) -> None:
        async def behave(member: Member) -> None:
            await member.send(head(member.id, f"Content-Length: {_MAX_BODY_BYTES}") + _WHOLE_BODY)

        await self.crowd.join(80, behave, takes_answers=True)
        self.check_within_bounds()
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            await self.call_until_served("ordinary-beside-bodies")
        self.may_answer.set()
        members = self.crowd.members
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            got = await asyncio.gather(*(member.answer() for member in members))
        answers = {member.id: item for member, item in zip(members, got)}
        self.assertIn(200, {item.status for item in got if item is not None})
        await self.check_promises(answers)
        await self.check_holds()

    async def test_bodies_that_stop_just_short_of_their_end(self) -> None:
        async def behave(member: Member) -> None:
            await member.send(head(member.id, f"Content-Length: {_MAX_BODY_BYTES}"))
            await member.send(_WHOLE_BODY[:-1])

        await self.crowd.join(80, behave)
        await self.check_holds()

    async def test_bodies_in_chunks_that_stop_just_short_of_their_end(self) -> None:
        chunk = b"%x\r\n%s\r\n" % (8_000, bytes(8_000))

        async def behave(member: Member) -> None:
            await member.send(head(member.id, "Transfer-Encoding: chunked"))
            for _ in range(_MAX_BODY_BYTES // 8_000):
                await member.send(chunk)

        await self.crowd.join(80, behave)
        await self.check_holds()

    async def test_bodies_without_end_for_no_route(self) -> None:
        """What follows an early answer was read without a bound."""
        read_whole = []

        async def behave(member: Member) -> None:
            await member.send(head(member.id, f"Content-Length: {2**40}", path="/nowhere/"))
            for _ in range(16):
                await member.send(_WHOLE_BODY)
            read_whole.append(member.id)

        await self.crowd.join(8, behave, takes_answers=True)
        self.assertEqual([], read_whole)
        await self.check_holds()


class TestSentAhead(CrowdCase):
    async def test_requests_sent_ahead_whose_answers_are_not_taken(self) -> None:
        """All requests of a piece that arrived together were parsed, and kept until their turn."""
        requests = b"GET / HTTP/1.1\r\n\r\n" * 110_000

        async def behave(member: Member) -> None:
            await member.send(requests)

        await self.crowd.join(24, behave)
        await self.check_holds()

    async def test_requests_sent_ahead_at_the_address_for_readiness(self) -> None:
        requests = b"GET /metrics HTTP/1.1\r\n\r\n" * 40_000

        async def behave(member: Member) -> None:
            await member.send(requests)

        at_readiness = Crowd(self.readiness)
        await at_readiness.join(24, behave)
        await self.check_holds()
        await at_readiness.leave()

    async def test_requests_sent_ahead_of_one_that_runs(self) -> None:
        requests = b"GET / HTTP/1.1\r\n\r\n" * 110_000

        async def behave(member: Member) -> None:
            await member.send(head(member.id, "Content-Length: 0") + requests)

        await self.crowd.join(24, behave)
        await self.check_holds()


class TestUnreadAnswers(CrowdCase):
    async def answer(self, seen: ReceivedRequest) -> None:
        seen.answer_whole(_WHOLE_BODY)

    async def test_long_answers_that_are_not_taken(self) -> None:
        async def behave(member: Member) -> None:
            await member.send(head(member.id, "Content-Length: 0"))
            await asyncio.sleep(3.0)

        await self.crowd.join(80, behave)
        await self.check_holds()


class TestConnections(CrowdCase):
    async def test_connections_that_send_nothing(self) -> None:
        """Connections used up the descriptors that others need, and held them for a while."""

        async def behave(member: Member) -> None:
            del member

        await self.crowd.join(400, behave)
        await self.check_holds()

    async def test_connections_that_stay_after_an_answer(self) -> None:
        async def behave(member: Member) -> None:
            await member.send(head(member.id, "Content-Length: 0", path="/o/x"))
            await read_answer(member.reader)

        for _ in range(4):
            await self.crowd.join(100, behave, takes_answers=True)
        await self.check_holds()

    async def test_all_kinds_at_once(self) -> None:
        async def short_lines(member: Member) -> None:
            await member.send(b"POST /p/x HTTP/1.1\r\n" + _TINY_LINES * 15_000)

        async def empty_lines(member: Member) -> None:
            await member.send(b"\r\n" * (4 * _MEBIBYTE // 2))

        async def unfinished_body(member: Member) -> None:
            await member.send(head(member.id, f"Content-Length: {_MAX_BODY_BYTES}"))
            await member.send(_WHOLE_BODY[:-1])

        async def sent_ahead(member: Member) -> None:
            await member.send(b"GET / HTTP/1.1\r\n\r\n" * 110_000)

        async def nothing(member: Member) -> None:
            del member

        kinds = (short_lines, empty_lines, unfinished_body, sent_ahead, nothing)
        await asyncio.gather(*(self.crowd.join(50, behaviour) for behaviour in kinds))
        await self.check_holds()


class TestPeers(CrowdCase):
    async def test_long_frames_of_strangers_that_stop_just_short_of_their_end(self) -> None:
        """A frame of up to 8 MiB was collected before its code showed who had sent it."""
        frame = struct.pack("!I", MAX_FRAME_BYTES) + bytes(MAX_FRAME_BYTES - 1)

        async def behave(member: Member) -> None:
            await member.send(bytes(CHALLENGE_BYTES) + frame)
            await asyncio.sleep(1.0)

        strangers = Crowd(self.peers)
        await strangers.join(60, behave)
        await self.check_holds()
        await strangers.leave()

    async def test_connections_of_strangers_that_send_nothing(self) -> None:
        async def behave(member: Member) -> None:
            del member

        strangers = Crowd(self.peers)
        joining = asyncio.create_task(strangers.join(400, behave))
        await self.check_holds()
        await joining
        await strangers.leave()


class TestOneLegalRequest(CrowdCase):
    """A single request inside the limits is served, whatever bounds hold for a crowd."""

    async def check(self, framing: str, body: bytes) -> None:
        self.may_answer.set()
        fixed = len(head("legal", framing)) + 64
        lines = [f"a{number:04}:b" for number in range((_MAX_HEAD_BYTES - fixed) // 12)]

        async def behave(member: Member) -> None:
            await member.send(head("legal", framing, *lines) + body)

        await self.crowd.join(1, behave, takes_answers=True)
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            got = await self.crowd.members[0].answer()
        self.assertIsNotNone(got)
        assert got is not None
        self.assertEqual((200, b"done"), (got.status, got.body))
        (seen,) = self.upstream.requests
        self.assertEqual(("legal", _WHOLE_BODY), (seen.id, seen.body))
        self.assertLessEqual({line.partition(":")[0] for line in lines}, set(seen.headers))
        await self.check_holds()

    async def test_with_the_longest_head_and_body(self) -> None:
        await self.check(f"Content-Length: {_MAX_BODY_BYTES}", _WHOLE_BODY)

    async def test_with_the_longest_body_in_chunks(self) -> None:
        chunk = b"%x\r\n%s\r\n" % (_MEBIBYTE, bytes(_MEBIBYTE))
        await self.check("Transfer-Encoding: chunked", chunk * 4 + b"0\r\n\r\n")
