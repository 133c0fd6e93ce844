"""A gateway, as a separate process, ends only on a stop signal or on unusable settings."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import textwrap
from pathlib import Path

from lotushill.console.process_signals import IGNORED_SIGNALS
from lotushill.links.address import split_address
from lotushill.links.http_server import HttpServer
from lotushill.links.messages import ModelPage
from lotushill.links.messages import ModelPull
from lotushill.links.messages import ViewKind
from lotushill.links.messages import ViewPage
from lotushill.links.messages import ViewPull
from lotushill.standin.free_address import free_address
from lotushill.standin.metadata_app import MetadataApp
from tests.console.gateway_program import TIMEOUT_SECONDS
from tests.console.gateway_program import GatewayProgramCase
from tests.console.gateway_program import get_status
from tests.peer_connection import TOO_LONG
from tests.peer_connection import WRONG_CODE
from tests.peer_connection import PeerConnection
from tests.requests.rig import read_answer
from tests.requests.rig import request_bytes

_FLOOD_BYTES = 32 * 1024 * 1024
"""Bytes after which a gateway takes a head for one that never ends too late."""


class TestLastLine(GatewayProgramCase):
    async def test_the_last_line_names_the_stop_signal(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                process = await self.start()
                await self.wait_ready(process)
                process.send_signal(number)
                await process.wait()
                last, *_ = await self.end(process)
            self.assertEqual(("process.stopped", 0), (last["event"], process.returncode))
            self.assertEqual((number.name, 0), (last["why"], last["status"]))

    async def test_requests_that_are_cut_off_log_their_ends_before_it(self) -> None:
        """The end of a request that outlasted the grace time was logged after the last line."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start(grace_seconds=1.5)
            await self.wait_ready(process)
            _, writer = await asyncio.open_connection(*split_address(self.clients))
            writer.write(request_bytes("r1"))
            while not self.upstream.requests:
                await asyncio.sleep(0.01)
            last, *lines = await self.end(process)
            writer.close()
        self.assertEqual(("process.stopped", "SIGTERM"), (last["event"], last["why"]))
        self.assertEqual("request.ended", lines[0]["event"])

    async def test_the_last_line_names_the_faults_of_the_settings(self) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start(store="nowhere", retry={"ratio": -1})
            await process.wait()
            last, *_ = await self.end(process)
        self.assertEqual(("process.stopped", 2), (last["event"], process.returncode))
        self.assertEqual(("unusable settings", 2), (last["why"], last["status"]))
        named = [fault.partition(":")[0] for fault in last["faults"]]
        self.assertEqual(["retry.ratio", "store"], sorted(named))


class TestPeerConnections(GatewayProgramCase):
    async def test_an_invalid_frame_costs_only_its_connection(self) -> None:
        """A frame with a wrong code, or one that was too long, ended the process."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            await self.wait_ready(process)
            for frame in (WRONG_CODE, TOO_LONG):
                peer = await PeerConnection.open(self.peers, self.server.address)
                await peer.stream.send(frame)
                await peer.wait_closed()
            await self.wait_ready(process)
            last, *_ = await self.end(process)
        self.assertEqual((0, "SIGTERM"), (process.returncode, last.get("why")))

    async def test_a_message_of_another_version_costs_only_itself(self) -> None:
        """In a rolling upgrade, a message that one version did not know ended its process."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            await self.wait_ready(process)
            peer = await PeerConnection.open(self.peers, self.server.address)
            await peer.send_payload(b"a message of tomorrow")
            await peer.channel.send(ViewPull(ViewKind.CONFIGURATION, -1))
            answer = await peer.channel.receive()
            await peer.stream.aclose()
            last, *_ = await self.end(process)
        self.assertIsInstance(answer, ViewPage)
        self.assertEqual((0, "SIGTERM"), (process.returncode, last.get("why")))


class TestSignals(GatewayProgramCase):
    async def test_signals_without_a_meaning_do_not_end_the_process(self) -> None:
        """SIGUSR1, which some tools send to let a program open its log again, killed gateways."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            await self.wait_ready(process)
            for number in IGNORED_SIGNALS:
                process.send_signal(number)
            await self.wait_ready(process)
            last, *_ = await self.end(process)
        self.assertEqual((0, "SIGTERM"), (process.returncode, last.get("why")))

    async def test_signals_until_the_end_do_not_change_how_it_ends(self) -> None:
        """A signal between the end of the event loop and that of the process killed it."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            await self.wait_ready(process)
            process.send_signal(signal.SIGTERM)
            while process.returncode is None:
                # Not by `send_signal`, which may take the exit status that is awaited.
                for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM):
                    with contextlib.suppress(ProcessLookupError):
                        os.kill(process.pid, number)
                await asyncio.sleep(0)
            last, *_ = await self.end(process)
        self.assertEqual((0, "SIGTERM"), (process.returncode, last.get("why")))


class TestReload(GatewayProgramCase):
    async def test_settings_that_cannot_be_used_change_nothing(self) -> None:
        """A whole number of 401 digits in the settings ended a running gateway at its reload."""
        unusable = ("9" * 401, "-1", "Infinity", "[" * 100_000, '"\\ud800"', "")
        self.may_answer.set()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            await self.wait_ready(process)
            path = Path(self.folder.name) / "settings.yaml"
            first = path.read_text(encoding="utf-8")
            assert process.stdout is not None
            for value in unusable:
                path.write_text(f'{first[:-1]}, "grace_seconds": {value}}}', encoding="utf-8")
                process.send_signal(signal.SIGHUP)
                while (line := json.loads(await process.stdout.readline())) and (
                    line["event"] != "process.reload"
                ):
                    self.assertNotEqual("task.failed", line["event"])
                self.assertEqual("rejected", line["outcome"])
            self.assertEqual(200, await self.call("r1"))
            last, *_ = await self.end(process)
        self.assertEqual((0, "SIGTERM"), (process.returncode, last.get("why")))


class TestRequests(GatewayProgramCase):
    async def test_a_negative_size_of_a_part_does_not_keep_peers_from_learning_the_load(
        self,
    ) -> None:
        """The size of a part of a prompt, stated by a caller, ended gateways that packed it."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            await self.wait_ready(process)
            reader, writer = await asyncio.open_connection(*split_address(self.clients))
            writer.write(request_bytes("r1", "Prompt-Prefix: 5c1e:-800,91bd:410\r\n"))
            while not self.upstream.requests:
                await asyncio.sleep(0.01)
            peer = await PeerConnection.open(self.peers, self.server.address)
            await peer.channel.send(ModelPull("gw-9"))
            answer = await peer.channel.receive()
            await peer.stream.aclose()
            self.may_answer.set()
            self.assertEqual(200, (await read_answer(reader)).status)
            writer.close()
            last, *_ = await self.end(process)
        self.assertIsInstance(answer, ModelPage)
        self.assertEqual((0, "SIGTERM"), (process.returncode, last.get("why")))


class TestTasks(GatewayProgramCase):
    async def test_a_fault_in_a_task_costs_only_that_task(self) -> None:
        """An exception in the task of a connection or of the membership ended the process."""
        faulty = textwrap.dedent(
            """
            from lotushill.console.gateway import main
            from lotushill.following.followed import FollowedKind
            from lotushill.peering.leaving_gossip import LeavingGossip
            from lotushill.peering.view_exchange import ViewExchange

            def fail(*arguments):
                raise RuntimeError("broken")

            LeavingGossip.send_due = fail
            ViewExchange.answer = fail
            main()
            """
        )
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start(program=("-c", faulty))
            await self.wait_ready(process)
            peer = await PeerConnection.open(self.peers, self.server.address)
            await peer.channel.send(ViewPull(ViewKind.CONFIGURATION, -1))
            await peer.wait_closed()
            await self.wait_ready(process)
            self.may_answer.set()
            self.assertEqual(200, await self.call("r1"))
            last, *lines = await self.end(process)
        self.assertEqual((0, "SIGTERM"), (process.returncode, last.get("why")))
        failed = {line["task"] for line in lines if line["event"] == "task.failed"}
        self.assertEqual({"peer connection", "leaving gossip"}, failed)


class TestAddresses(GatewayProgramCase):
    async def check_waits(self, address: str, kind: socket.SocketKind) -> None:
        """Start a gateway while an address is taken; expect it to serve once it is free."""
        holder = socket.socket(socket.AF_INET, kind)
        holder.bind(split_address(address))
        if kind is socket.SOCK_STREAM:
            holder.listen()
        self.may_answer.set()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            assert process.stdout is not None
            events = []
            while "address.unavailable" not in events:
                events.append(json.loads(await process.stdout.readline())["event"])
            holder.close()
            while "address.bound" not in events:
                events.append(json.loads(await process.stdout.readline())["event"])
            await self.wait_ready(process)
            self.assertEqual(200, await self.call("r1"))
            last, *_ = await self.end(process)
        self.assertEqual((0, "SIGTERM"), (process.returncode, last.get("why")))

    async def test_a_taken_address_for_clients_is_waited_for(self) -> None:
        """A gateway whose address was taken at its start ended, and nothing started it again."""
        await self.check_waits(self.clients, socket.SOCK_STREAM)

    async def test_a_taken_address_for_readiness_is_waited_for(self) -> None:
        await self.check_waits(self.readiness, socket.SOCK_STREAM)

    async def test_a_taken_address_for_connections_of_peers_is_waited_for(self) -> None:
        await self.check_waits(self.peers, socket.SOCK_STREAM)

    async def test_a_taken_address_for_datagrams_of_peers_is_waited_for(self) -> None:
        await self.check_waits(self.peers, socket.SOCK_DGRAM)

    async def test_a_gateway_whose_address_is_taken_is_not_ready(self) -> None:
        """The load balancer would send its clients to the program that holds the address."""
        with socket.create_server(split_address(self.clients)):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                process = await self.start()
                while (status := await get_status(self.readiness, "/readyz")) == 0:
                    await asyncio.sleep(0.05)
                self.assertEqual(503, status)
                last, *_ = await self.end(process)
        self.assertEqual((0, "SIGTERM"), (process.returncode, last.get("why")))


class TestDescriptors(GatewayProgramCase):
    async def check_survives(self, address: str) -> None:
        """Open more connections than the process has descriptors; expect it to serve later."""
        self.may_answer.set()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            await self.wait_ready(process)
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (64, 64))
            opened = []
            for _ in range(100):
                connection = socket.socket()
                connection.setblocking(False)
                connection.connect_ex(split_address(address))
                opened.append(connection)
            await asyncio.sleep(1.0)
            for connection in opened:
                connection.close()
            await self.wait_ready(process)
            self.assertEqual(200, await self.call("r1"))
            peer = await PeerConnection.open(self.peers, self.server.address)
            await peer.channel.send(ViewPull(ViewKind.CONFIGURATION, -1))
            self.assertIsInstance(await peer.channel.receive(), ViewPage)
            await peer.stream.aclose()
            last, *_ = await self.end(process)
        self.assertEqual((0, "SIGTERM"), (process.returncode, last.get("why")))

    async def test_connections_of_peers_that_use_up_all_descriptors_are_survived(self) -> None:
        """A failed accept of one listener ended the process with all requests in progress."""
        await self.check_survives(self.peers)

    async def test_connections_of_clients_that_use_up_all_descriptors_are_survived(self) -> None:
        await self.check_survives(self.clients)

    async def test_connections_for_readiness_that_use_up_all_descriptors_are_survived(self) -> None:
        await self.check_survives(self.readiness)


class TestStore(GatewayProgramCase):
    async def test_a_store_that_is_senseless_or_away_at_the_start_is_waited_for(self) -> None:
        """A gateway that starts during trouble of the store has to serve once that is over."""
        self.may_answer.set()
        answers = (b"no HTTP", b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[1,2", b"")
        asked = 0

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal asked
            asked += 1
            writer.write(answers[asked % len(answers)])
            writer.close()

        address = free_address()
        senseless = await asyncio.start_server(answer, *split_address(address))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start(store=address)
            while asked < 4 * len(answers):
                await asyncio.sleep(0.05)
            senseless.close()
            await senseless.wait_closed()
            self.assertEqual(503, await get_status(self.readiness, "/readyz"))
            server = HttpServer(MetadataApp(self.store), address)
            serving = asyncio.create_task(server.serve())
            await self.wait_ready(process)
            self.assertEqual(200, await self.call("r1"))
            last, *lines = await self.end(process)
            server.abort()
            await serving
        self.assertEqual((0, "SIGTERM"), (process.returncode, last.get("why")))
        self.assertNotIn("task.failed", {line["event"] for line in lines})


class TestHeads(GatewayProgramCase):
    async def test_a_head_without_end_is_not_collected_at_any_address(self) -> None:
        """Heads at the address for readiness were collected without a bound."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start()
            await self.wait_ready(process)
            for address in (self.clients, self.readiness):
                _, writer = await asyncio.open_connection(*split_address(address))
                writer.write(b"GET /readyz HTTP/1.1\r\nX: ")
                written = 0
                with contextlib.suppress(ConnectionError):
                    while written < _FLOOD_BYTES:
                        writer.write(b"x" * 65_536)
                        written += 65_536
                        await writer.drain()
                writer.close()
                self.assertLess(written, _FLOOD_BYTES)
            await self.end(process)
