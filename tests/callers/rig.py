"""A front door with its dispatcher, stand-in upstreams and platform, in one loop on loopback."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import anyio

from lotushill.callers.claims import Claims
from lotushill.callers.front_door import FrontDoor
from lotushill.callers.front_door import FrontDoorParts
from lotushill.callers.journal import Journal
from lotushill.contracts.book import Book
from lotushill.contracts.book import build
from lotushill.contracts.book import build_team
from lotushill.contracts.book import hash_key
from lotushill.contracts.tree import Root
from lotushill.contracts.tree import Team
from lotushill.dispatch.client import DispatchClient
from lotushill.dispatch.dispatcher import Dispatcher
from lotushill.dispatch.options import CellOptions
from lotushill.links.http_server import HttpServer
from lotushill.load.caller import Caller
from lotushill.load.caller import Order
from lotushill.metrics import Metrics
from lotushill.objectapi.http_platform import HttpPlatform
from lotushill.objectapi.objects import HostRecord
from lotushill.objectapi.objects import HostRole
from lotushill.objectapi.objects import HostState
from lotushill.standin.engine_app import EngineApp
from lotushill.standin.engine_app import EngineOptions
from lotushill.standin.platform_app import PlatformApp
from lotushill.upstreams.client import UpstreamClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from lotushill.standin.service_app import ServiceApp

KEY = "key-pekara"
REGION = "hr-kontinent"
LOOPBACK = "127.0.0.1:0"
NOBODY = "127.0.0.1:9"
"""An address where nobody listens."""


def make_book(**policy: Any) -> Book:
    """Return contracts of one team: an engine class of each tier, and two service classes."""
    root = Root.model_validate(
        {
            "tiers": ["counter", "desk", "batch"],
            "pools": {
                "disputes": {"kind": "engine", "model": "disputes-8b"},
                "portal": {"kind": "service"},
            },
            "policy": {"pool": "disputes", "deadline": 10.0} | policy,
        }
    )
    tiers = {tier: {"policy": {"tier": tier}} for tier in root.tiers}
    plain = {
        "note": {"policy": {"repeatable": False}},
        "look": {"policy": {"repeatable": True}},
    }
    team = Team.model_validate(
        {
            "team": "pekara",
            "keys": [hash_key(KEY)],
            "services": {
                "letters": {"classes": tiers},
                "portal": {"policy": {"pool": "portal", "tier": "counter"}, "classes": plain},
            },
        }
    )
    return build(1, root, [build_team(root, team)])


@dataclass
class Rig:
    """The running parts."""

    book: Book
    engines: list[EngineApp] = field(default_factory=list)
    services: list[ServiceApp] = field(default_factory=list)
    platform: PlatformApp = field(default_factory=PlatformApp)
    options: CellOptions = field(default_factory=CellOptions)
    caller: Caller = field(default_factory=Caller)
    records: list[HostRecord] = field(default_factory=list)
    journal: Journal = field(default_factory=Journal)
    address: str = ""

    async def start(self, group: TaskGroup) -> None:
        """Start the servers and wire the front door to them."""
        for index, engine in enumerate(self.engines):
            group.start_soon(engine.run)
            await self._serve(group, engine, f"engine-{index}", "disputes")
        for index, service in enumerate(self.services):
            await self._serve(group, service, f"service-{index}", "portal")
        self._store = await self._listen(group, self.platform)
        self.dispatcher = Dispatcher(lambda pool: self.options)
        self.dispatcher.set_upstreams(self.records)
        self.dispatch = DispatchClient("entry-0", self.dispatcher, lambda *_: None, time.monotonic)
        self.upstreams = UpstreamClient()
        self.objects = HttpPlatform(f"http://{self._store}")
        parts = FrontDoorParts(
            entry="entry-0",
            region=REGION,
            book=lambda: self.book,
            dispatch=self.dispatch,
            upstreams=self.upstreams,
            claims=Claims(self.objects),
            journal=self.journal,
            metrics=Metrics(None),
        )
        self.front_door = FrontDoor(parts)
        self.address = await self._listen(group, self.front_door)
        group.start_soon(self._tick)

    async def close(self) -> None:
        """Close all connections."""
        await self.caller.close()
        await self.upstreams.close()
        await self.objects.close()

    def add_dead_upstream(self, name: str, pool: str) -> None:
        """List an upstream where nobody listens."""
        role = HostRole.ENGINE
        record = HostRecord(name, role, "hall-0", REGION, NOBODY, pool, HostState.LIVE)
        self.records.append(record)

    def letter(self, prompt: str, klass: str = "desk", **changes: Any) -> Order:
        """Return an order of a completion call."""
        return Order(self.address, KEY, "letters", klass, "disputes-8b", prompt, **changes)

    def note(self, klass: str = "note", **changes: Any) -> Order:
        """Return an order of a call to the plain service."""
        values: dict[str, Any] = {"stream": False, "path": "/notes", "deadline": 5.0}
        values["repeatable"] = klass != "note"
        return Order(self.address, KEY, "portal", klass, "", "", **(values | changes))

    def runs(self) -> int:
        """Return how many requests any engine or service began."""
        by_engines = sum(len(engine.records) for engine in self.engines)
        return by_engines + sum(len(service.records) for service in self.services)

    async def _serve(
        self, group: TaskGroup, app: EngineApp | ServiceApp, name: str, pool: str
    ) -> None:
        address = await self._listen(group, app)
        role = HostRole.ENGINE if isinstance(app, EngineApp) else HostRole.SERVICE
        record = HostRecord(name, role, "hall-0", REGION, address, pool, HostState.LIVE)
        self.records.append(record)

    async def _listen(self, group: TaskGroup, app: Any) -> str:
        server = HttpServer(app, LOOPBACK, lets_cut=True)
        group.start_soon(server.serve)
        await server.wait_started()
        return server.address

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(0.01)
            self.dispatch.carry_out(self.dispatcher.tick(time.monotonic()))


def make_engines(count: int, step: float = 0.002) -> list[EngineApp]:
    """Return fast stand-in engines."""
    return [EngineApp(EngineOptions(f"engine-{index}", step=step)) for index in range(count)]


@asynccontextmanager
async def open_rig(rig: Rig) -> AsyncIterator[Rig]:
    """Run a rig for the length of a block."""
    async with anyio.create_task_group() as group:
        await rig.start(group)
        try:
            yield rig
        finally:
            await rig.close()
            group.cancel_scope.cancel()


def run_with(rig: Rig, scenario: Callable[[Rig], Awaitable[None]]) -> None:
    """Run a scenario against a rig in a loop of its own."""

    async def main() -> None:
        async with open_rig(rig):
            await scenario(rig)

    # The same loop as in the programs: its transports differ from asyncio's.
    anyio.run(main, backend_options={"use_uvloop": True})
