"""A client repeated one request, and every engine that started to run it failed.

Each arrival had another id and came to another gateway, so it counted as a new request: it was sent
to an engine, was interrupted ("connection ended" at one engine, "Connection refused" at those that
had failed before), and was sent to a second engine, as its route allows. No record that outlived an
arrival counted the engines that had failed under it. In a hundred seconds 68 engines failed in four
series; after its third engine one request was sent 14 more times, and a quarter of all other
requests received no answer in time.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import sys
import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING
from unittest.mock import patch

from lotushill.links.http_server import HttpServer
from lotushill.links.quarantine_messages import ClearedNews
from lotushill.quarantine.identity import identity_of
from lotushill.quarantine.shared_part import SharedPart
from lotushill.routing.route import RouteKind
from lotushill.standin.free_address import free_address
from lotushill.standin.metadata_app import MetadataApp
from lotushill.standin.metadata_store import MetadataStore
from tests.console.gateway_program import SPEC
from tests.console.gateway_program import get_status
from tests.entries import entry
from tests.requests.rig import HOST
from tests.requests.rig import TEAM
from tests.requests.rig import ReceivedAnswer
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import read_answer
from tests.requests.rig import request_bytes

if TYPE_CHECKING:
    from lotushill.requests.upstream_connection import UpstreamConnection
    from lotushill.routing.upstream import Upstream
    from tests.requests.rig import Script

DEADLY = b"a body under which every upstream ends"
COMMON = b"a body that many send"
HELD_AFTER_FAILURES = 3
"""Number of failed upstreams after which a request is quarantined."""
MAX_LATE_SENDS = 3
"""Number of times it may still be sent by all gateways together, without a time limit."""


def crashing_upstream(ended: list[ScriptedUpstream]) -> ScriptedUpstream:
    """Return an upstream that crashes on the deadly body and serves all other requests."""

    async def answer(seen: ReceivedRequest) -> None:
        if seen.body == DEADLY:
            ended.append(upstream)
            upstream.crash(seen)
        seen.answer_whole()

    upstream = ScriptedUpstream([answer])
    return upstream


class TestOneGateway(unittest.IsolatedAsyncioTestCase):
    async def test_after_three_upstreams_a_request_reaches_no_other(self) -> None:
        ended: list[ScriptedUpstream] = []
        async with Rig([crashing_upstream(ended) for _ in range(8)]) as rig:
            for number in range(6):
                last = await rig.call(f"deadly{number}", body=DEADLY)
                other = await rig.call(f"other{number}", body=COMMON)
                self.assertEqual(200, other.status)
        self.assertEqual(HELD_AFTER_FAILURES, len(ended))
        self.assertEqual(503, last.status)
        self.assertGreater(float(last.headers["retry-after"]), 1.0)

    async def test_the_log_names_the_shared_parts_of_the_prompt_of_an_interrupted_request(
        self,
    ) -> None:
        ended: list[ScriptedUpstream] = []
        async with Rig([crashing_upstream(ended) for _ in range(2)], max_attempts=1) as rig:
            parts = "Token-Usage: 100,10\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:40,e4402b7d:20\r\n"
            await rig.call("deadly", headers=parts, body=DEADLY)
        (line,) = [line for line in map(json.loads, rig.lines) if line["event"] == "quarantine.end"]
        self.assertEqual((["5c1e07a2", "91bd3f06"], False), (line["parts"], line["begun"]))


class TestHeldPart(unittest.IsolatedAsyncioTestCase):
    """Four upstreams failed one after the other beside one part of prompts."""

    PARTS = "Token-Usage: 100,10\r\nPrompt-Prefix: {}:40,91bd3f06:40,e4402b7d:20\r\n"

    def hold(self, rig: Rig) -> None:
        now = rig.clock()
        for number in range(4):
            part, at = SharedPart("", 0xDEAD), now - 3.0 + number / 2
            rig.quarantine.record_part_failure(part, f"former{number}", at, now)
        self.assertEqual(1, len(rig.quarantine.judge_parts(now + 1.0)))

    async def test_only_requests_with_the_part_are_refused_as_not_run(self) -> None:
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream]) as rig:
            self.hold(rig)
            refused = await rig.call("r1", headers=self.PARTS.format("dead"))
            sound = await rig.call("r2", headers=self.PARTS.format("5c1e07a2"))
        self.assertEqual((503, 200, ["r2"]), (refused.status, sound.status, ids(upstream)))
        self.assertGreater(float(refused.headers["retry-after"]), 1.0)
        (line,) = [x for x in map(json.loads, rig.lines) if x["event"] == "quarantine.kept_back"]
        self.assertEqual(["prompt part dead"], line["parts"])

    async def test_a_request_that_was_placed_before_the_verdict_is_not_written(self) -> None:
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream]) as rig:
            acquire = rig.components.pool.acquire

            async def acquire_late(chosen: Upstream, may_be_cut: bool = True) -> UpstreamConnection:
                connection = await acquire(chosen, may_be_cut)
                self.hold(rig)
                return connection

            with patch.object(rig.components.pool, "acquire", acquire_late):
                refused = await rig.call("r1", headers=self.PARTS.format("dead"))
        self.assertEqual((503, []), (refused.status, ids(upstream)))

    async def test_an_answer_clears_the_parts_of_its_prompt(self) -> None:
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream]) as rig:
            part = SharedPart("", 0xDEAD)
            rig.quarantine.record_part_failure(part, "former", rig.clock(), rig.clock())
            await rig.call("r1", headers=self.PARTS.format("dead"))
            rig.quarantine_gossip.send_due()
            suspect = rig.quarantine.parts.find(part.identity)
        assert suspect is not None
        self.assertEqual({}, suspect.failed_upstreams)


class TestBeforeTheHoldsAreKnown(unittest.IsolatedAsyncioTestCase):
    async def test_no_request_is_sent_although_the_configuration_is_known(self) -> None:
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream]) as rig:
            rig.holds_are_known = False
            early = await rig.call("r1")
            rig.holds_are_known = True
            later = await rig.call("r2")
        self.assertEqual((503, 200, ["r2"]), (early.status, later.status, ids(upstream)))

    async def test_a_request_shortly_before_readiness_is_served_and_not_refused(self) -> None:
        """Most clients return only once, and at a start all of them return within a second."""
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream]) as rig:
            rig.holds_are_known = False

            def know() -> None:
                rig.holds_are_known = True

            asyncio.get_running_loop().call_later(0.1, know)
            early = await rig.call("r1")
        self.assertEqual((200, ["r1"]), (early.status, ids(upstream)))


async def whole(seen: ReceivedRequest) -> None:
    seen.answer_whole()


def ids(upstream: ScriptedUpstream) -> list[str]:
    return [seen.id for seen in upstream.requests]


class TestFailureDetection(unittest.IsolatedAsyncioTestCase):
    """Interruptions that are not caused by the request."""

    async def test_a_lost_connection_to_a_running_upstream_is_not_counted(
        self,
    ) -> None:
        async def cut(seen: ReceivedRequest) -> None:
            seen.reset()

        async with Rig([ScriptedUpstream([cut]) for _ in range(4)], slack=1000.0) as rig:
            for number in range(8):
                got = await rig.call(f"r{number}", body=COMMON)
                self.assertEqual(502, got.status)
        self.assertEqual(0, len(rig.quarantine))

    async def test_the_end_of_a_leaving_upstream_is_a_planned_shutdown(self) -> None:
        """It starts to drain with the request in progress; if draining before, it gets none."""
        ended: list[ScriptedUpstream] = []
        upstreams: list[ScriptedUpstream] = []

        async def drain_and_end(seen: ReceivedRequest) -> None:
            address = "{}:{}".format(*seen.writer.get_extra_info("sockname"))
            self.assertEqual(DEADLY, seen.body)
            rig.view.replace(
                [
                    dataclasses.replace(item, draining=item.draining or item.address == address)
                    for item in rig.view.all()
                ],
                rig.view.revision + 1,
            )
            upstream = next(item for item in upstreams if item.address == address)
            ended.append(upstream)
            upstream.crash(seen)

        upstreams += [ScriptedUpstream([drain_and_end]) for _ in range(4)]
        async with Rig(upstreams) as rig:
            for number in range(2):
                await rig.call(f"r{number}", body=DEADLY)
        self.assertEqual((4, 0), (len(ended), len(rig.quarantine)))

    async def test_a_failure_that_only_the_entries_show_is_counted(self) -> None:
        ended: list[ScriptedUpstream] = []
        async with Rig(
            [crashing_upstream(ended) for _ in range(4)], RouteKind.NON_IDEMPOTENT
        ) as rig:

            async def cannot_tell(_: Upstream) -> None:
                return None

            rig.quarantine_gossip._has_failed = cannot_tell
            got = await rig.call("r1", body=DEADLY)
            self.assertEqual(502, got.status)
            while rig.quarantine_gossip._check_tasks:
                await asyncio.sleep(0)
            self.assertEqual(0, len(rig.quarantine))
            rig.view.replace([], 2)
            rig.quarantine_gossip.process_pending()
        self.assertEqual(1, len(rig.quarantine))

    async def test_an_upstream_that_states_later_that_it_leaves_ended_as_planned(self) -> None:
        async def cut(seen: ReceivedRequest) -> None:
            seen.reset()

        async with Rig([ScriptedUpstream([cut])], RouteKind.NON_IDEMPOTENT) as rig:
            await rig.call("r1", body=COMMON)
            while rig.quarantine_gossip._check_tasks:
                await asyncio.sleep(0)
            rig.view.replace([dataclasses.replace(i, draining=True) for i in rig.view.all()], 2)
            rig.quarantine_gossip.process_pending()
            rig.view.replace([], 3)
            rig.quarantine_gossip.process_pending()
        self.assertEqual(0, len(rig.quarantine))


class TestSuspects(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_under_which_two_upstreams_failed_is_not_retried(self) -> None:
        ended: list[ScriptedUpstream] = []
        async with Rig([crashing_upstream(ended) for _ in range(8)], max_attempts=8) as rig:
            got = await rig.call(body=DEADLY)
        self.assertEqual((502, 2), (got.status, len(ended)))

    async def test_others_interrupted_with_it_are_retried_and_cleared_by_their_answer(
        self,
    ) -> None:
        ended: list[ScriptedUpstream] = []
        began = asyncio.Event()

        def slow_then(upstream: ScriptedUpstream) -> Script:
            async def answer(seen: ReceivedRequest) -> None:
                if seen.body == DEADLY and ended:
                    # The retry at the only other upstream would make it and all its runs fail.
                    seen.reset()
                    raise ConnectionResetError
                if seen.body == DEADLY:
                    ended.append(upstream)
                    upstream.crash(seen)
                if not ended:
                    began.set()
                    await asyncio.sleep(30)
                seen.answer_whole()

            return answer

        upstreams = [ScriptedUpstream([]) for _ in range(2)]
        for upstream in upstreams:
            upstream.scripts.append(slow_then(upstream))
        async with Rig(upstreams) as rig:
            first, second = rig.view.all()
            other = asyncio.create_task(rig.call("other", body=COMMON))
            await began.wait()
            busy = next(
                item for item in (first, second) if rig.components.fleet.load(item.id).running
            )
            rig.components.upstreams.of = lambda service: [busy]  # type: ignore[method-assign]
            deadly = asyncio.create_task(rig.call("deadly", body=DEADLY))
            while not ended:
                await asyncio.sleep(0.01)
            rig.components.upstreams.of = lambda service: [first, second]  # type: ignore[method-assign]
            got = await other
            await deadly
            rig.quarantine_gossip.send_due()
        self.assertEqual((200, b"done"), (got.status, got.body))
        cleared = [news for news in rig.sent_messages if isinstance(news, ClearedNews)]
        self.assertEqual(1, len(cleared))

    async def test_a_suspect_is_not_continued_from_a_backup(self) -> None:
        ended: list[ScriptedUpstream] = []

        def streams(upstream: ScriptedUpstream) -> Script:
            async def answer(seen: ReceivedRequest) -> None:
                seen.start_events()
                seen.event(1)
                await seen.writer.drain()
                ended.append(upstream)
                upstream.crash(seen)

            return answer

        upstreams = [ScriptedUpstream([]) for _ in range(6)]
        for upstream in upstreams:
            upstream.scripts.append(streams(upstream))
        async with Rig(upstreams, RouteKind.STREAM, engine=True, backups=True) as rig:
            rig.quarantine.record_upstream_failure(
                identity_of(TEAM, HOST, b"POST", b"/p/x", DEADLY), TEAM, "/p/x", "before", 1.0
            )
            headers = "Token-Usage: 1000,400\r\nPrompt-Prefix: 0a:600,0b:400\r\n"
            await rig.call(headers=headers, body=DEADLY)
        self.assertEqual(1, len(ended))


class TestFleet(unittest.IsolatedAsyncioTestCase):
    """Three gateway processes, upstreams that are replaced, and one client with the deadly body."""

    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.server = HttpServer(MetadataApp(self.store), free_address())
        self.task = asyncio.create_task(self.server.serve())
        await self.server.wait_started()
        route = {**SPEC["routes"][0], "kind": "idempotent", "maxAttempts": 2}  # type: ignore[index]
        self.store.create("config", "main", {**SPEC, "routes": [route]})
        self.folder = tempfile.TemporaryDirectory()
        self.ended: list[ScriptedUpstream] = []
        self.upstreams: list[ScriptedUpstream] = []
        for _ in range(6):
            await self.start_upstream()
        self.gateways = {f"gw-{number}": await self.start(f"gw-{number}") for number in range(3)}

    async def asyncTearDown(self) -> None:
        await self.kill()
        self.server.abort()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        for upstream in self.upstreams:
            await upstream.close()
        self.folder.cleanup()

    async def start_upstream(self) -> None:
        upstream = crashing_upstream(self.ended)
        await upstream.start()
        self.upstreams.append(upstream)
        self.store.create("servers", f"i-{len(self.upstreams)}", entry("app", upstream.address))

    async def replace_ended(self) -> None:
        """Start a new upstream for each that failed and still has an entry."""
        for number, upstream in enumerate(self.upstreams, start=1):
            if upstream in self.ended and f"i-{number}" in self.entries():
                self.store.delete("servers", f"i-{number}")
                await self.start_upstream()

    def entries(self) -> set[str]:
        return {item["metadata"]["name"] for item in self.store.list_kind("servers")["items"]}

    async def start(self, name: str) -> asyncio.subprocess.Process:
        settings = {
            "name": name,
            "hall": "z",
            "region": "r",
            "clients": free_address(),
            "readiness": free_address(),
            "peers": free_address(),
            "store": self.server.address,
        }
        path = Path(self.folder.name) / f"{name}.yaml"
        path.write_text(json.dumps(settings), encoding="utf-8")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lotushill.console.gateway",
            env={**os.environ, "LOTUSHILL_NODE_FILE": str(path)},
            stdout=asyncio.subprocess.DEVNULL,
        )
        while await get_status(str(settings["readiness"]), "/readyz") != 200:
            self.assertIsNone(process.returncode)
            await asyncio.sleep(0.05)
        return process

    async def kill(self) -> None:
        for process in self.gateways.values():
            process.kill()
            await process.wait()

    async def call(self, name: str, number: int, body: bytes) -> ReceivedAnswer:
        settings = json.loads((Path(self.folder.name) / f"{name}.yaml").read_text())
        host, _, port = settings["clients"].partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request_bytes(f"{body[:8].hex()}{number}", body=body))
        got = await read_answer(reader)
        writer.close()
        return got

    async def repeat(self, times: int) -> None:
        """Send the deadly request to the gateways in turn."""
        for number in range(times):
            name = f"gw-{number % len(self.gateways)}"
            await self.call(name, number, DEADLY)
            await self.replace_ended()
            await asyncio.sleep(0.1)

    async def test_a_hold_applies_at_all_gateways_and_after_all_were_killed(self) -> None:
        async with asyncio.timeout(60):
            await self.repeat(12)
            await self.kill()
            self.gateways = {name: await self.start(name) for name in self.gateways}
            await self.repeat(12)
            statuses = [(await self.call(name, 99, COMMON)).status for name in self.gateways]
        self.assertLessEqual(len(self.ended), HELD_AFTER_FAILURES + MAX_LATE_SENDS)
        self.assertEqual([200, 200, 200], statuses)
