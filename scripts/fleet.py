"""Starts the system and its stand-ins as separate processes on loopback, and stops them again.

The programs of the system start no processes; this script does, for the demo and experiments.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

from lotushill.contracts.document import write

_START_SECONDS = 20.0
_STOP_SECONDS = 10.0
_FIRST_PORT = 10_240
_LAST_PORT = 32_000
PEER_KEY = "00112233445566778899aabbccddeeff"
_taken: set[int] = set()


def free_address() -> str:
    """Return an address on loopback whose TCP and UDP ports are both free.

    From below the range that the kernel gives to outgoing connections, which could take the port
    before the program that it is meant for.
    """
    while True:
        port = random.randint(_FIRST_PORT, _LAST_PORT)
        if port in _taken:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        _taken.add(port)
        return f"127.0.0.1:{port}"


def request(method: str, address: str, path: str, body: Any = None) -> Any:
    """Make one HTTP call and return its JSON."""
    data = None if body is None else json.dumps(body).encode()
    call = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    with urllib.request.urlopen(call, timeout=5) as response:
        return json.loads(response.read() or b"null")


def print_report(report: dict[str, Any], path: Path | None) -> None:
    """Print a report as JSON, and write it to a file if one is named."""
    text = json.dumps(report, indent=1)
    print(text)
    if path is not None:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8")


@dataclass
class Process:
    """One started program."""

    name: str
    program: str
    settings: dict[str, Any]
    handle: subprocess.Popen[bytes]
    log: Path

    def kill(self) -> None:
        """Kill the process at once."""
        self.handle.kill()
        self.handle.wait()

    def stop(self) -> None:
        """Ask the process to stop and wait until it has."""
        self.handle.send_signal(signal.SIGTERM)
        try:
            self.handle.wait(_STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()


@dataclass
class Fleet:
    """All started processes; use it as a context manager, so that none is left running."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="lotushill-")))
    processes: dict[str, Process] = field(default_factory=dict)
    platform: str = ""

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *exc: object) -> None:
        for process in self.processes.values():
            if process.handle.poll() is None:
                process.kill()

    def start(self, program: str, name: str, settings: dict[str, Any]) -> Process:
        """Start one program with a settings file of its own."""
        path = self.folder / f"{name}.yaml"
        path.write_text(write(settings), encoding="utf-8")
        log = self.folder / f"{name}.log"
        with log.open("ab") as sink:
            handle = subprocess.Popen(
                [sys.executable, "-m", f"lotushill.console.{program}", "--config", str(path)],
                stdout=sink,
                stderr=sink,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )
        process = Process(name, program, settings, handle, log)
        self.processes[name] = process
        return process

    def start_platform(self) -> None:
        """Start the stand-in of the platform and wait for it."""
        self.platform = free_address()
        settings = {"kind": "platform", "name": "platform", "address": self.platform}
        self.start("standin", "platform", settings)
        self.wait(lambda: request("GET", self.platform, "/counts") is not None)

    def start_upstream(
        self, name: str, kind: str, pool: str, hall: str, region: str, **options: Any
    ) -> Process:
        """Start a stand-in engine or service and put it on the host list."""
        address = free_address()
        settings = {"kind": kind, "name": name, "address": address} | options
        process = self.start("standin", name, settings)
        self.list_host(name, kind, pool, hall, region, address, "live")
        return process

    def list_host(
        self, name: str, role: str, pool: str, hall: str, region: str, address: str, state: str
    ) -> None:
        """Put a host on the host list."""
        record = {"name": name, "role": role, "hall": hall, "region": region}
        record |= {"address": address, "pool": pool, "state": state}
        request("PUT", self.platform, "/hosts", record)

    def start_entry(self, name: str, hall: str, region: str, seeds: list[str]) -> Process:
        """Start an entry host."""
        settings = {
            "name": name,
            "hall": hall,
            "region": region,
            "callers": free_address(),
            "status": free_address(),
            "peers": free_address(),
            "seeds": seeds,
            "platform": self.platform,
            "peer_keys": [PEER_KEY],
        }
        return self.start("entry", name, settings)

    def start_keeper(self, name: str, hall: str) -> Process:
        """Start a keeper."""
        settings = {
            "name": name,
            "hall": hall,
            "platform": self.platform,
            "status": free_address(),
        }
        return self.start("keeper", name, settings)

    def put_object(self, key: str, text: str, expected: int = 0) -> int:
        """Write an object of the object API and return its version."""
        body = {"value": text, "expected": expected}
        return int(request("PUT", self.platform, f"/objects/{key}", body)["version"])

    def wait_ready(self, *entries: Process) -> None:
        """Wait until entry hosts are ready."""
        for entry in entries:
            status = entry.settings["status"]
            self.wait(lambda status=status: bool(request("GET", status, "/readyz")["ready"]))

    def wait(self, condition: Any) -> None:
        """Wait until a condition holds; it may fail with OSError until then."""
        until = time.monotonic() + _START_SECONDS
        while True:
            try:
                if condition():
                    return
            except OSError:
                pass
            if time.monotonic() > until:
                raise TimeoutError("the fleet did not come up")
            time.sleep(0.05)
