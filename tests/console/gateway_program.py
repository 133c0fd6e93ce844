"""Starts `lotushill-gateway` as a separate process with stand-ins on the loopback interface."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from lotushill.links.http_server import HttpServer
from lotushill.standin.free_address import free_address
from lotushill.standin.metadata_app import MetadataApp
from lotushill.standin.metadata_store import MetadataStore
from tests.entries import entry
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import read_answer
from tests.requests.rig import request_bytes

_MODULE = "lotushill.console.gateway"
TIMEOUT_SECONDS = 30.0

SPEC = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "a.example",
            "pathPrefix": "/p/",
            "kind": "non_idempotent",
            "timeoutMs": 5000,
            "targetLatencyMs": 400,
            "service": "app",
            "maxAttempts": 1,
        }
    ],
    "services": [{"name": "app", "healthPath": "/health", "maxConns": 50}],
    "tenants": [{"name": "bakery", "apiKeys": ["secret-key"]}],
}


ENGINE_SPEC = {
    **SPEC,
    "version": 4,
    "routes": [{**SPEC["routes"][0], "kind": "stream", "service": "llm"}],  # type: ignore[index]
    "services": [
        {
            "name": "llm",
            "healthPath": "/health",
            "maxConns": 50,
            "engine": {
                "slots": 8,
                "kvCapacity": 100_000,
                "kvTokenBytes": 1,
                "linkMbps": 8,
                "moves": True,
            },
        }
    ],
}
"""Configuration with engines that move the memory of runs."""


async def get_status(address: str, path: str) -> int:
    host, _, port = address.partition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return 0
    writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    got = await read_answer(reader)
    writer.close()
    return got.status


async def kill(process: asyncio.subprocess.Process) -> None:
    """End a process that a failed test has left."""
    if process.returncode is None:
        process.kill()
        await process.communicate()


class GatewayProgramCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that start the program with a stand-in of the store and one upstream."""

    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.server = HttpServer(MetadataApp(self.store), free_address())
        self.task = asyncio.create_task(self.server.serve())
        await self.server.wait_started()
        self.may_answer = asyncio.Event()
        self.upstream = ScriptedUpstream([self.answer])
        await self.upstream.start()
        self.store.create("config", "main", SPEC)
        self.store.create("servers", "i-1", entry("app", self.upstream.address))
        self.folder = tempfile.TemporaryDirectory()
        self.clients, self.readiness = free_address(), free_address()
        self.peers = free_address()

    async def asyncTearDown(self) -> None:
        self.server.abort()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.upstream.close()
        self.folder.cleanup()

    async def answer(self, seen: ReceivedRequest) -> None:
        await self.may_answer.wait()
        seen.answer_whole()

    async def start(
        self, program: tuple[str, ...] = ("-m", _MODULE), **changes: object
    ) -> asyncio.subprocess.Process:
        """Start a gateway with the settings of this case and `changes` of them."""
        settings = {
            "name": "gw-1",
            "hall": "z",
            "region": "r",
            "clients": self.clients,
            "readiness": self.readiness,
            "peers": self.peers,
            "store": self.server.address,
            "leave_seconds": 0.2,
            "a field of tomorrow": 1,
            **changes,
        }
        path = Path(self.folder.name) / "settings.yaml"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return await self.spawn(path, program)

    async def spawn(
        self, settings: Path, program: tuple[str, ...] = ("-m", _MODULE)
    ) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *program,
            env={**os.environ, "LOTUSHILL_NODE_FILE": str(settings)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(kill, process)
        return process

    async def wait_ready(self, process: asyncio.subprocess.Process) -> None:
        """Wait until the gateway is ready; fail with its output if the process has exited."""
        while await get_status(self.readiness, "/readyz") != 200:
            if process.returncode is not None:
                output, errors = await process.communicate()
                self.fail(f"ended with {process.returncode}: {output!r} {errors!r}")
            await asyncio.sleep(0.05)

    async def start_blocked_on_settings(self) -> tuple[asyncio.subprocess.Process, int]:
        """Return a process that blocks on reading its settings, and the descriptor to write them.

        The file that a later reload reads has a different grace time.
        """
        path = Path(self.folder.name) / "settings.yaml"
        process = await self.start(grace_seconds=5.0)
        process.kill()
        await process.communicate()
        again = path.rename(path.with_suffix(".again"))
        os.mkfifo(path)
        held = await self.spawn(path)
        while True:
            try:
                writer = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                break
            except OSError:
                # The process has not opened the pipe for reading yet.
                await asyncio.sleep(0.01)
        again.replace(path)
        return held, writer

    async def call(self, request: str) -> int:
        host, _, port = self.clients.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request_bytes(request))
        got = await read_answer(reader)
        writer.close()
        return got.status

    async def end(self, process: asyncio.subprocess.Process) -> list[dict[str, Any]]:
        """Stop a gateway unless it has ended; return its log lines, the last one first."""
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        output, _ = await process.communicate()
        return [json.loads(line) for line in reversed(output.splitlines())]
