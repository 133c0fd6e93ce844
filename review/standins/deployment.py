"""A small deployment: the stand-in store, engines and gateways as processes, and settings."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

from standins import messages
from standins.store import Store

REPOSITORY = Path(__file__).resolve().parents[2]
HEARTBEAT_SECONDS = 1.2
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
_READY_SECONDS = 30.0
_FIRST_PORTS = (10_000, 30_000)
_PORTS_OF_A_RUN = 100
_READINESS_INTERVAL_SECONDS = 1.0
_MISSES_TO_LEAVE = 2


_ports = itertools.count(random.randrange(*_FIRST_PORTS, _PORTS_OF_A_RUN))


def free_address() -> str:
    """Return a loopback address with a port that is free now.

    Each run takes a block of ports, so that runs at the same time hardly ever meet. They lie below
    the ports that the system gives to outgoing connections, one of which might take a port before
    the program that is to listen there.
    """
    for port in _ports:
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        return f"127.0.0.1:{port}"
    raise AssertionError("the ports never end")


class Site:
    """Processes of one deployment; all of them are ended by `close`."""

    def __init__(self, folder: Path) -> None:
        """Write settings and logs into `folder`."""
        self.folder = folder
        self.store = Store(HEARTBEAT_SECONDS)
        self.gateways: list[str] = []
        """Addresses for clients."""
        self.readiness: list[str] = []
        self.starts: dict[str, list[float]] = {}
        """When processes of each gateway were started, by its address for clients."""
        self._gateway_settings: dict[str, Path] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        """Running processes by name."""
        self.engine_options: dict[str, dict[str, Any]] = {}
        self.engine_log = folder / "engines.jsonl"
        self.engine_log.touch()

    def start_engine(self, name: str, **options: Any) -> None:
        """Start an engine, or start it again with some options changed, at the same address."""
        known = self.engine_options.get(name) or {
            "id": name,
            "address": free_address(),
            "store": self.store.address,
            "heartbeat": HEARTBEAT_SECONDS,
            "log": str(self.engine_log),
        }
        self.engine_options[name] = {**known, **options}
        arguments = [sys.executable, str(REPOSITORY / "review/standins/engine.py")]
        self._spawn(name, [*arguments, json.dumps(self.engine_options[name])], {})

    def start_gateway(self, name: str, zone: str) -> None:
        """Start a gateway with the command of the deploy file."""
        clients, readiness, peers = free_address(), free_address(), free_address()
        # What the template of the deploy file gives with the bounds of the site.
        settings = {
            "name": name,
            "hall": zone,
            "region": "jalisco",
            "clients": clients,
            "readiness": readiness,
            "peers": peers,
            "store": self.store.address,
            "grace_seconds": 8,
            "recent_seconds": 10,
            "retry": {"ratio": 0.2, "slack": 56, "window_seconds": 10},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        self._gateway_settings[name] = path
        self.gateways.append(clients)
        self.readiness.append(readiness)
        self.restart_gateway(name)

    def restart_gateway(self, name: str) -> None:
        """Start a gateway that does not run, with the settings that it had."""
        path = self._gateway_settings[name]
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["gateway"]["run"].split()
        variables = {
            "LOTUSHILL_NODE_FILE": str(path),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
        }
        self._spawn(name, command, variables)
        clients = json.loads(path.read_text(encoding="utf-8"))["clients"]
        self.starts.setdefault(clients, []).append(time.time())

    def _spawn(self, name: str, command: list[str], variables: dict[str, str]) -> None:
        environment = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        environment |= variables
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    async def wait_ready(self, engines: int) -> bool:
        """Return whether all gateways are ready and all engines are registered in time."""
        ends = time.monotonic() + _READY_SECONDS
        while time.monotonic() < ends:
            statuses = [await get_status(item, "/readyz") for item in self.readiness]
            registered = len(self.store.names("servers"))
            if all(status == 200 for status in statuses) and registered == engines:
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self) -> None:
        """End all processes."""
        for name in list(self.processes):
            self.kill(name)


class Entry:
    """The platform's address for clients: which gateways get new connections.

    A gateway whose readiness misses twice, asked every second, gets none until it is ready again.
    """

    def __init__(self, site: Site) -> None:
        """Ask the gateways of `site`."""
        self._site = site
        self._misses = dict.fromkeys(site.gateways, 0)

    async def run(self) -> None:
        """Ask all gateways for their readiness, every second, until cancelled."""
        while True:
            await asyncio.gather(*(self._ask(index) for index in range(len(self._misses))))
            await asyncio.sleep(_READINESS_INTERVAL_SECONDS)

    async def _ask(self, index: int) -> None:
        clients, readiness = self._site.gateways[index], self._site.readiness[index]
        is_ready = await get_status(readiness, "/readyz") == 200
        self._misses[clients] = 0 if is_ready else self._misses[clients] + 1

    def pick(self) -> str:
        """Return the gateway that gets a new connection."""
        known = list(self._misses)
        entered = [item for item in known if self._misses[item] < _MISSES_TO_LEAVE]
        return random.choice(entered or known)


async def get_status(address: str, path: str) -> int:
    """Return the status of a GET, 0 without an answer."""
    host, _, port = address.partition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return 0
    try:
        writer.write(messages.message(f"GET {path} HTTP/1.1", {"Host": host}))
        head = await asyncio.wait_for(messages.read_head(reader), 1.0)
        return head.status if head is not None else 0
    except (TimeoutError, ConnectionError):
        return 0
    finally:
        writer.close()


def configuration(version: int, services: dict[str, Any], routes: list[dict[str, Any]]) -> Any:
    """Return a configuration as the platform's store holds it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "protocol": "h1", "tls": False, **fields}
            for name, fields in services.items()
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "huka270", "apiKeys": [KEY], "priority": 1}],
    }


def stream_route(name: str, prefix: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of streams that may be resumed, as the sheet has it."""
    route = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "stream",
        "timeoutMs": 15000,
        "targetLatencyMs": 250,
        "targetGapMs": 120,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sessionAffinity": True,
        "streamResume": True,
    }
    return {**route, **changes}
