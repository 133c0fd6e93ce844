"""A gateway that runs as a separate process: planned stops, reloads, starts and its settings."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path

from tests.console.gateway_program import ENGINE_SPEC
from tests.console.gateway_program import SPEC
from tests.console.gateway_program import TIMEOUT_SECONDS
from tests.console.gateway_program import GatewayProgramCase
from tests.console.gateway_program import get_status
from tests.entries import entry
from tests.requests.moving_upstream import Memory
from tests.requests.moving_upstream import MovingUpstream
from tests.requests.moving_upstream import Run
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import read_answer
from tests.requests.rig import request_bytes
from tests.requests.test_moves import LONG


class SlowlyCopyingUpstream(MovingUpstream):
    """Engine whose copies take longer than a gateway without requests takes to stop."""

    async def _copy(self, run: Run, call: dict[str, str], at_target: bool) -> dict[str, object]:
        await asyncio.sleep(0.3)
        return await super()._copy(run, call, at_target)


class TestGatewayProgram(GatewayProgramCase):
    async def test_a_planned_stop_finishes_what_is_in_progress(self) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            await self.wait_ready(process)
            host, _, port = self.clients.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r1\r\n"
                b"Authorization: Bearer secret-key\r\nContent-Length: 0\r\n\r\n"
            )
            while not self.upstream.requests:
                await asyncio.sleep(0.01)
            process.send_signal(signal.SIGTERM)
            while await get_status(self.readiness, "/readyz") == 200:
                await asyncio.sleep(0.02)
            self.may_answer.set()
            got = await read_answer(reader)
            writer.close()
            output, errors = await process.communicate()
        self.assertEqual((200, b"done"), (got.status, got.body))
        self.assertEqual((0, b""), (process.returncode, errors))
        events = [json.loads(line)["event"] for line in output.splitlines()]
        self.assertEqual("process.started", events[0])
        self.assertIn("process.stopping", events)
        self.assertEqual("process.stopped", events[-1])
        registered = self.store.list_kind("lotushill-gateways")["items"]
        self.assertEqual(["gw-1"], [item["metadata"]["name"] for item in registered])

    async def test_signals_during_a_planned_stop_interrupt_no_request(self) -> None:
        """A reload 0.1 s after a stop signal killed a gateway with all requests in progress."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            await self.wait_ready(process)
            call = asyncio.create_task(self.call("r1"))
            while not self.upstream.requests:
                await asyncio.sleep(0.01)
            process.send_signal(signal.SIGTERM)
            while await get_status(self.readiness, "/readyz") == 200:
                await asyncio.sleep(0.02)
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                process.send_signal(number)
            # An answer shows that the gateway has handled the signals and still serves.
            await get_status(self.readiness, "/readyz")
            self.may_answer.set()
            status = await call
            _, errors = await process.communicate()
        self.assertEqual((200, 0, b""), (status, process.returncode, errors))

    async def test_a_planned_stop_awaits_clients_that_read_slowly(self) -> None:
        """An answer that is written, but not sent, was lost with the process."""
        body = b"x" * 8_000_000

        async def answer(seen: ReceivedRequest) -> None:
            seen.answer_whole(body)

        self.upstream.scripts = [answer]
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            await self.wait_ready(process)
            host, _, port = self.clients.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
            writer.write(request_bytes("r1"))
            await reader.readuntil(b"xxx")
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(2.0)
            left = len(body) - 3
            while left and (piece := await reader.read(left)):
                left -= len(piece)
            writer.close()
            _, errors = await process.communicate()
        self.assertEqual((0, 0, b""), (left, process.returncode, errors))

    async def test_a_planned_stop_frees_the_memory_of_runs_that_were_being_moved(self) -> None:
        memory = Memory()
        engines = [SlowlyCopyingUpstream(memory) for _ in range(2)]
        for number, engine in enumerate(engines):
            await engine.start()
            engine.step = 0.1
            self.store.put("servers", f"i-{number + 1}", entry("llm", engine.address))
        self.store.put("config", "main", ENGINE_SPEC)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            await self.wait_ready(process)
            host, _, port = self.clients.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_bytes("r1", LONG))
            await reader.readuntil(b"piece-3")
            source = next(number for number, engine in enumerate(engines) if engine.runs)
            leaving = entry("llm", engines[source].address, state="draining")
            self.store.put("servers", f"i-{source + 1}", leaving)
            while not engines[source].calls:
                await asyncio.sleep(0.01)
            writer.transport.abort()
            process.send_signal(signal.SIGTERM)
            output, errors = await process.communicate()
        for engine in engines:
            await engine.close()
        self.assertEqual((0, b""), (process.returncode, errors))
        self.assertEqual([], memory.unreleased())
        self.assertEqual(1, len(memory.freed), output)

    async def test_a_reload_signal_during_the_start_does_not_terminate_it(self) -> None:
        """A reload signal during the start killed a gateway, which delayed its next start."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process, writer = await self.start_blocked_on_settings()
            process.send_signal(signal.SIGHUP)
            first = json.loads((Path(self.folder.name) / "settings.yaml").read_text())
            os.write(writer, json.dumps({**first, "grace_seconds": 9.0}).encode())
            os.close(writer)
            await self.wait_ready(process)
            process.send_signal(signal.SIGTERM)
            output, errors = await process.communicate()
        self.assertEqual((0, b""), (process.returncode, errors))
        reloads = [json.loads(line) for line in output.splitlines() if b"process.reload" in line]
        self.assertEqual(["in force"], [line["outcome"] for line in reloads])

    async def test_a_planned_stop_during_the_start_is_carried_out(self) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process, writer = await self.start_blocked_on_settings()
            process.send_signal(signal.SIGTERM)
            output, errors = await process.communicate()
            os.close(writer)
        self.assertEqual((0, b""), (process.returncode, errors))
        (line,) = [json.loads(line) for line in output.splitlines()]
        self.assertEqual(("process.stopped", "SIGTERM"), (line["event"], line["why"]))

    async def test_entries_of_another_writer_cost_no_request(self) -> None:
        """One entry without a usable address received 99 of 100 requests; one with Infinity in a
        number stopped the updates of all upstreams."""
        self.may_answer.set()
        good = entry("app", self.upstream.address)
        odd: dict[str, object] = {
            "no-address": {**good, "address": None},
            "a-name": {**good, "address": "here"},
            "infinite": {**good, "slots": float("inf")},
            "unknown-state": {**good, "address": "127.0.0.1:1", "state": "standby"},
            "no-state": {**good, "address": "127.0.0.1:1", "state": None},
            "a-list": {**good, "address": "127.0.0.1:1", "service": ["app"]},
            "no-object": "text",
            "nothing": None,
        }
        async with asyncio.timeout(TIMEOUT_SECONDS):
            for name, spec in odd.items():
                self.store.create("servers", name, spec)
            process = await self.start()
            await self.wait_ready(process)
            statuses = [await self.call(f"r{number}") for number in range(100)]
            self.store.put("servers", "i-1", {**good, "state": "draining"})
            while await self.call("later") == 200:
                await asyncio.sleep(0.05)
            process.send_signal(signal.SIGTERM)
            output, _ = await process.communicate()
        self.assertEqual([200] * 100, statuses)
        ignored = [json.loads(line) for line in output.splitlines() if b"entry.ignored" in line]
        self.assertEqual(sorted(odd), sorted(line["object"] for line in ignored))

    async def test_without_a_configuration_it_is_not_ready(self) -> None:
        self.store.delete("config", "main")
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            while (status := await get_status(self.readiness, "/readyz")) == 0:
                await asyncio.sleep(0.05)
            self.assertEqual(503, status)
            self.store.create("config", "main", SPEC)
            await self.wait_ready(process)
            process.send_signal(signal.SIGTERM)
            await process.communicate()

    async def test_a_wrong_value_is_named_by_its_path(self) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start(store="nowhere", retry={"ratio": -1})
            _, errors = await process.communicate()
        lines = errors.decode().splitlines()
        self.assertEqual(2, process.returncode)
        self.assertEqual(2, len(lines), lines)
        self.assertTrue(any("store" in line for line in lines))
        self.assertTrue(any("retry.ratio" in line for line in lines))
