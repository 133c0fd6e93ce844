"""The programs as processes: settings at fault, a planned stop, edits that come into force."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

import anyio

from lotushill.contracts.book import hash_key
from lotushill.contracts.document import write
from lotushill.load.caller import Caller
from lotushill.load.caller import Order
from lotushill.load.caller import Reply
from lotushill.load.caller import expected_text

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "scripts"))

from fleet import Fleet
from fleet import Process
from fleet import request

PROGRAMS = ("entry", "keeper", "load", "operator", "standin")
REGION = "jalisco"
KEY = "key-bodas"


def run_program(program: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a program to its end."""
    command = [sys.executable, "-m", f"lotushill.console.{program}", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def root_text() -> str:
    """Return a root with one pool of engines."""
    pools = {"drafts": {"kind": "engine", "model": "m"}}
    policy = {"pool": "drafts", "tier": "desk", "deadline": 60.0, "max_output_tokens": 5000}
    return write({"tiers": ["counter", "desk"], "pools": pools, "policy": policy})


def team_text(**policy: Any) -> str:
    """Return a team with one class."""
    services = {"rsvp": {"classes": {"answer": {"policy": policy}}}}
    return write({"team": "bodas", "keys": [hash_key(KEY)], "services": services})


def order_for(entry: Process, prompt: str) -> Order:
    """Return a call through an entry."""
    return Order(str(entry.settings["callers"]), KEY, "rsvp", "answer", "m", prompt)


class TestArguments(unittest.TestCase):
    def test_each_program_tells_its_version_and_help(self) -> None:
        for program in PROGRAMS:
            with self.subTest(program=program):
                self.assertRegex(run_program(program, "--version").stdout, r"lotushill.* 0\.1\.0")
                self.assertEqual(run_program(program, "--help").returncode, 0)

    def test_a_bad_settings_file_is_named_by_path_without_a_traceback(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.yaml"
            path.write_text("name: e1\nhall: [", encoding="utf-8")
            broken = run_program("entry", "--config", str(path))
            path.write_text("name: e1\npeers: here\nunknown: 1\n", encoding="utf-8")
            wrong = run_program("entry", "--config", str(path))
        for done in (broken, wrong):
            self.assertEqual(done.returncode, 2)
            self.assertNotIn("Traceback", done.stderr)
        for name in ("peers", "unknown", "hall"):
            self.assertIn(f"{name}: ", wrong.stderr)

    def test_validate_names_the_path_of_a_fault(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            root, team = Path(folder) / "root.yaml", Path(folder) / "team.yaml"
            root.write_text(root_text(), encoding="utf-8")
            team.write_text(team_text(tier="none"), encoding="utf-8")
            done = run_program("operator", "validate", str(root), str(team))
        self.assertEqual(done.returncode, 2)
        self.assertIn("services.rsvp.classes.answer.policy.tier", done.stderr)


class TestFleet(unittest.TestCase):
    def start(self, fleet: Fleet, entries: int, **engine: Any) -> list[Process]:
        fleet.start_platform()
        fleet.put_object("desired/root", root_text())
        fleet.put_object("desired/team/bodas", team_text())
        for index in range(2):
            fleet.start_upstream(f"engine-{index}", "engine", "drafts", "hall", REGION, **engine)
        fleet.start_keeper("keeper", "hall")
        started: list[Process] = []
        for index in range(entries):
            seeds = [str(entry.settings["peers"]) for entry in started]
            started.append(fleet.start_entry(f"entry-{index}", "hall", REGION, seeds))
        fleet.wait_ready(*started)
        return started

    def test_a_planned_stop_cuts_off_no_request_and_takes_no_more(self) -> None:
        with Fleet() as fleet:
            entries = self.start(fleet, 2)
            replies: dict[str, Reply] = {}
            anyio.run(self._stop_in_mid_stream, entries, replies)
            self.assertEqual(entries[0].handle.wait(20), 0)
        for prompt, reply in replies.items():
            if prompt == "late":
                self.assertFalse(reply.completed)
                self.assertIn(reply.status, (0, 503))
            else:
                self.assertTrue(reply.completed, reply)
                self.assertEqual(reply.text, expected_text(prompt))

    async def _stop_in_mid_stream(self, entries: list[Process], replies: dict[str, Reply]) -> None:
        caller = Caller()

        async def call(entry: Process, prompt: str) -> None:
            replies[prompt] = await caller.call(order_for(entry, prompt))

        async with anyio.create_task_group() as group:
            for index in range(6):
                prompt = f"wording {index} length=200"
                group.start_soon(call, entries[index % 2], prompt)
            await anyio.sleep(1.0)
            entries[0].handle.send_signal(signal.SIGTERM)
            await anyio.sleep(0.3)
            group.start_soon(call, entries[0], "late")
        await caller.close()

    def test_a_planned_stop_waits_for_a_caller_that_reads_slowly(self) -> None:
        length = 4000
        prompt = f"wording length={length}"
        body = json.dumps(
            {"model": "m", "stream": True, "messages": [{"role": "user", "content": prompt}]}
        )
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n"
            f"authorization: Bearer {KEY}\r\nlotushill-service: rsvp\r\n"
            f"lotushill-class: answer\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        with Fleet() as fleet:
            (entry,) = self.start(fleet, 1, step=0.0002)
            host, port = str(entry.settings["callers"]).split(":")
            with socket.socket() as caller:
                # The answer does not fit into what the kernel holds for the caller.
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect((host, int(port)))
                caller.sendall((head + body).encode())
                caller.recv(1024)
                entry.handle.send_signal(signal.SIGTERM)
                fleet.wait(lambda: "Finished all requests." in entry.log.read_text())
                time.sleep(1.0)
                received = b""
                caller.settimeout(10.0)
                while chunk := caller.recv(65536):
                    received += chunk
            self.assertEqual(entry.handle.wait(20), 0)
        self.assertIn(b"data: [DONE]", received)
        self.assertTrue(received.endswith(b"0\r\n\r\n"))
        self.assertIn(f"-{length - 1} ".encode(), received)

    def test_an_edit_comes_into_force_everywhere_and_a_faulty_one_nowhere(self) -> None:
        with Fleet() as fleet:
            entries = self.start(fleet, 3)
            platform = ("--platform", fleet.platform, "--json")
            path = "services.rsvp.classes.answer.policy.tier"
            done = run_program("operator", *platform, "set", "team/bodas", path, "counter")
            self.assertEqual(done.returncode, 0, done.stderr)
            fleet.wait(lambda: self.generations(entries) == {2})
            # A good path with a value that no root knows: it is written, judged, turned down.
            run_program("operator", *platform, "set", "team/bodas", path, "none")
            fleet.wait(lambda: self.turned_down(fleet))
            self.assertEqual(self.generations(entries), {2})
            get = run_program(
                "operator", *platform, "get", "team/bodas", "--effective", "rsvp/answer"
            )
            self.assertEqual(json.loads(get.stdout)["tier"]["level"], "class answer")

    def test_a_start_in_an_outage_takes_the_settings_of_its_peers(self) -> None:
        with Fleet() as fleet:
            entries = self.start(fleet, 1)
            request("POST", fleet.platform, "/faults", {"mode": "down"})
            seeds = [str(entries[0].settings["peers"])]
            late = fleet.start_entry("entry-late", "hall", REGION, seeds)
            fleet.wait_ready(late)
            self.assertEqual(self.generations([late]), {1})
            replies: dict[str, Reply] = {}
            anyio.run(self._call, late, "in an outage", replies)
        self.assertTrue(replies["in an outage"].completed)

    async def _call(self, entry: Process, prompt: str, replies: dict[str, Reply]) -> None:
        caller = Caller()
        replies[prompt] = await caller.call(order_for(entry, prompt))
        await caller.close()

    def generations(self, entries: list[Process]) -> set[int]:
        """Return the generations in force."""
        return {
            int(request("GET", str(entry.settings["status"]), "/status")["generation"])
            for entry in entries
        }

    def turned_down(self, fleet: Fleet) -> bool:
        """Return whether status says that the team's edit was turned down."""
        value = request("GET", fleet.platform, "/objects/status/accept")["value"]
        return bool(json.loads(value)["objects"]["team/bodas"]["faults"])
