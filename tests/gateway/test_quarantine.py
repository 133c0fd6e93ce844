"""A caller sent one request again and again, and every engine that began it ended.

Each arrival, under another id and at another gateway, was a new request: it was sent to an engine,
was cut ("connection ended" at one engine, "Connection refused" at those that had ended before), and
was sent on to a second one, as its route allows. Nothing that outlived an arrival counted which
engines had ended under it. In a hundred seconds 68 engines ended in four series; after its third
engine one request was sent 14 times more, and a quarter of all other requests got nothing in time.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import unittest
from pathlib import Path

from lotushill.links.http_server import HttpServer
from lotushill.standin.metadata_app import MetadataApp
from lotushill.standin.metadata_store import MetadataStore
from tests.console.test_gateway_program import SPEC
from tests.console.test_gateway_program import free_address
from tests.console.test_gateway_program import get_status
from tests.gateway.rig import Got
from tests.gateway.rig import Rig
from tests.gateway.rig import ScriptedUpstream
from tests.gateway.rig import Seen
from tests.gateway.rig import read_answer
from tests.gateway.rig import request_bytes

DEADLY = b"a body under which every upstream ends"
COMMON = b"a body that many send"
TOLD = 3
"""Upstreams after which a request is known for what it does."""
LATE = 3
"""Times that it may still be sent, over all gateways and for good."""


def mortal(ended: list[ScriptedUpstream]) -> ScriptedUpstream:
    """Return an upstream that ends under the deadly body and serves all others."""

    async def answer(seen: Seen) -> None:
        if seen.body == DEADLY:
            ended.append(upstream)
            upstream.crash(seen)
        seen.whole()

    upstream = ScriptedUpstream([answer])
    return upstream


class TestOneGateway(unittest.IsolatedAsyncioTestCase):
    async def test_after_three_upstreams_a_request_reaches_no_other(self) -> None:
        ended: list[ScriptedUpstream] = []
        async with Rig([mortal(ended) for _ in range(8)]) as rig:
            for number in range(6):
                last = await rig.call(f"deadly{number}", body=DEADLY)
                other = await rig.call(f"other{number}", body=COMMON)
                self.assertEqual(200, other.status)
        self.assertEqual(TOLD, len(ended))
        self.assertEqual(503, last.status)
        self.assertGreater(float(last.headers["retry-after"]), 1.0)


class TestFleet(unittest.IsolatedAsyncioTestCase):
    """Three gateways as processes, upstreams that come back, and one caller of the deadly body."""

    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.server = HttpServer(MetadataApp(self.store), "127.0.0.1:0")
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
            await upstream.end()
        self.folder.cleanup()

    async def start_upstream(self) -> None:
        upstream = mortal(self.ended)
        await upstream.start()
        self.upstreams.append(upstream)
        entry = {"service": "app", "address": upstream.address, "zone": "z", "slots": 4}
        self.store.create("servers", f"i-{len(self.upstreams)}", {**entry, "state": "ready"})

    async def replace_ended(self) -> None:
        """Let an upstream come for each that ended and has an entry."""
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

    async def call(self, name: str, number: int, body: bytes) -> Got:
        settings = json.loads((Path(self.folder.name) / f"{name}.yaml").read_text())
        host, _, port = settings["clients"].partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request_bytes(f"{body[:8].hex()}{number}", body=body))
        got = await read_answer(reader)
        writer.close()
        return got

    async def repeat(self, times: int) -> None:
        """Send the deadly request to one gateway after the other."""
        for number in range(times):
            name = f"gw-{number % len(self.gateways)}"
            await self.call(name, number, DEADLY)
            await self.replace_ended()
            await asyncio.sleep(0.1)

    async def test_what_one_gateway_saw_holds_at_all_and_after_all_were_killed(self) -> None:
        async with asyncio.timeout(60):
            await self.repeat(12)
            await self.kill()
            self.gateways = {name: await self.start(name) for name in self.gateways}
            await self.repeat(12)
            statuses = [(await self.call(name, 99, COMMON)).status for name in self.gateways]
        self.assertLessEqual(len(self.ended), TOLD + LATE)
        self.assertEqual([200, 200, 200], statuses)
