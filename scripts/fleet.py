"""Starts a small fleet on one machine; each stand-in and gateway runs in its own process."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.error import URLError

from lotushill.standin.free_address import free_address

_READY_TIMEOUT_SECONDS = 20.0
_STOP_TIMEOUT_SECONDS = 15.0
_POLL_INTERVAL_SECONDS = 0.05


@dataclass
class Program:
    """A started program with its settings and its log file."""

    name: str
    settings: dict[str, Any]
    process: subprocess.Popen[bytes]
    output: Path

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


class Fleet:
    """Starts programs and terminates those that it started."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="lotushill-")
        self.programs: list[Program] = []
        self.store = ""
        """Address of the stand-in for the platform's store."""

    def __enter__(self) -> Fleet:
        """Start the store."""
        self.store = free_address()
        self._start("store", "standin", {"kind": "store", "name": "store", "address": self.store})
        _wait_for(lambda: _is_ok(f"http://{self.store}/objects/config"))
        return self

    def __exit__(self, *_: object) -> None:
        """Kill all running programs and delete their files."""
        for program in self.programs:
            if program.process.poll() is None:
                program.signal(signal.SIGKILL)
        for program in self.programs:
            program.process.wait(_STOP_TIMEOUT_SECONDS)
        self._folder.cleanup()

    def start_upstream(self, name: str, kind: str, service: str, hall: str, **more: Any) -> Program:
        """Start the stand-in for an engine or for an instance of a plain service."""
        settings = {
            "kind": kind,
            "name": name,
            "address": free_address(),
            "store": self.store,
            "service": service,
            "hall": hall,
            **more,
        }
        return self._start(name, "standin", settings)

    def start_gateway(self, name: str, hall: str) -> Program:
        """Start a gateway in a hall."""
        settings = {
            "name": name,
            "hall": hall,
            "region": "demo",
            "clients": free_address(),
            "readiness": free_address(),
            "peers": free_address(),
            "store": self.store,
            "leave_seconds": 0.5,
        }
        return self._start(name, "gateway", settings)

    def wait_ready(self, *gateways: Program) -> None:
        """Wait until all gateways report that they are ready."""
        for gateway in gateways:
            address = gateway.settings["readiness"]
            _wait_for(lambda address=address: _is_ok(f"http://{address}/readyz"))

    def create_object(self, kind: str, name: str, spec: Any) -> None:
        """Create an object in the store."""
        body = json.dumps({"metadata": {"name": name}, "spec": spec}).encode()
        request = urllib.request.Request(
            f"http://{self.store}/objects/{kind}", data=body, method="POST"
        )
        urllib.request.urlopen(request, timeout=5).close()

    def run_operator(self, *arguments: str) -> str:
        """Run one `lotushill` command and return its output."""
        command = [sys.executable, "-m", "lotushill.console.operator", "--store", self.store]
        completed = subprocess.run(
            [*command, *arguments], capture_output=True, text=True, check=False
        )
        return (completed.stdout + completed.stderr).strip()

    def _start(self, name: str, program: str, settings: dict[str, Any]) -> Program:
        folder = Path(self._folder.name)
        path = folder / f"{name}.yaml"
        path.write_text(json.dumps(settings), encoding="utf-8")
        output = folder / f"{name}.log"
        with output.open("wb") as stream:
            process = subprocess.Popen(
                [sys.executable, "-m", f"lotushill.console.{program}", "--config", str(path)],
                stdout=stream,
                stderr=subprocess.STDOUT,
                env=os.environ,
            )
        started = Program(name, settings, process, output)
        self.programs.append(started)
        return started


def _is_ok(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=2) as response:
            return bool(response.status == 200)
    except (URLError, OSError):
        return False


def _wait_for(condition: Any) -> None:
    deadline = time.monotonic() + _READY_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError
        time.sleep(_POLL_INTERVAL_SECONDS)
