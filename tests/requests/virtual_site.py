"""One request that is moved between upstreams that fail, in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any

from lotushill.clients.memory_budget import MemoryBudget
from lotushill.requests.client_protocol import CONNECTION
from lotushill.requests.client_protocol import TARGET
from lotushill.routing.route import RouteKind
from lotushill.routing.upstream import Upstream
from tests.requests.faulty_upstream import FaultyUpstream
from tests.requests.faulty_upstream import World
from tests.requests.rig import HOST
from tests.requests.rig import KEY
from tests.requests.rig import Rig
from tests.requests.test_cooldowns import prefer
from tests.requests.virtual_network import Network
from tests.requests.virtual_network import VirtualMemoryClient
from tests.requests.virtual_network import VirtualPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.requests.engine_memory_client import EngineMemoryClient
    from lotushill.requests.upstream_pool import UpstreamPool

REQUEST = "r1"
NOTICE_SECONDS = 3.0
_TIMEOUT_SECONDS = 20.0
_RATIO = 0.2
_USED_FRACTION = 0.8
"""Retries for each request, and the fraction of the budget that is used."""
_CHECK_SECONDS = 0.01
_EVENTS_BEFORE_NOTICE = 5
_MEMORY_BYTES = 16_000_000
"""Memory that the gateway may hold for clients."""
_SETTLE_SECONDS = 12.0
"""Time after the end of the answer by which all calls and runs have ended."""


@dataclass
class VirtualClient:
    """A client that receives one answer, and may leave."""

    body: bytes = b""
    status: int = 0
    whole: bool = False
    has_left: bool = False
    last_event_at: float = 0.0

    async def receive(self) -> dict[str, Any]:
        """Return the empty body of the request."""
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(self, message: Any) -> None:
        """Receive a part of the answer."""
        if message["type"] == "http.response.start":
            self.status = message["status"]
            return
        self.body += message.get("body", b"")
        self.last_event_at = asyncio.get_running_loop().time()
        self.whole = not message.get("more_body", False)


class VirtualRig(Rig):
    """The request path of a gateway over a virtual network."""

    def __init__(self, network: Network, upstreams: list[FaultyUpstream], **options: Any) -> None:
        super().__init__(
            list(upstreams), RouteKind.STREAM, timeout=_TIMEOUT_SECONDS, engine=True, moves=True,
            **options,
        )  # fmt: skip
        self._network = network
        self.retry_window_seconds = 1_000.0

    def clock(self) -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def steady_clock(self) -> float:
        """Return the virtual time."""
        return self.clock()

    def make_pool(self) -> UpstreamPool:
        """Create the pool of connections to the upstreams."""
        return VirtualPool(self._network, self.clock)

    def make_memory_client(self) -> EngineMemoryClient:
        """Create the client for moving the memory of runs."""
        return VirtualMemoryClient(self._network)

    async def start_server(self) -> None:
        """Do nothing, as the application is called directly."""

    async def stop_server(self) -> None:
        """Do nothing, as no server was started."""


class VirtualSite:
    """Three upstreams, of which the first receives the request and leaves after some events.

    It does not leave if it stalls.
    """

    def __init__(self, resumable: bool = False, slack: float = 100.0) -> None:
        network = Network()
        self.resumable = resumable
        self.slack = slack
        self.world = World()
        self.source = FaultyUpstream(self.world, network)
        self.others = [FaultyUpstream(self.world, network) for _ in range(2)]
        self.upstreams = [self.source, *self.others]
        self.rig = VirtualRig(network, self.upstreams, resumable=resumable, slack=slack)
        self.client = VirtualClient()
        self.ended_at = 0.0
        """When the answer ended."""
        self.usable_at_end: list[str] = []
        """Addresses of the upstreams that ran the run, or held its memory, at that time."""
        self.held: list[str] = []
        """Handles that the gateway knew and could free, but has not after everything has ended."""
        self.handovers_left = 0
        """Number of handovers in progress after everything has ended."""
        self.retries_spent = 0
        """Number of retries that were spent."""
        self.retries_left = 0
        """Number of retries that were left at the end."""
        self.retries_reserved = 0
        """Number of retries that stayed reserved."""
        self._connection = SimpleNamespace(
            on_lost=None,
            is_lost=False,
            is_refused=False,
            stated_body_bytes=0,
            memory=MemoryBudget(_MEMORY_BYTES, self.rig.clock).open(lambda: None),
        )

    async def play(self) -> None:
        """Send the request, and wait until nothing is in progress any more."""
        async with self.rig:
            prefer(self.rig, "b0")
            mover = asyncio.create_task(self._run_mover())
            calling = asyncio.create_task(self._call())
            if self.source.stalls_after is None:
                await self._mark_leaving()
            await calling
            await asyncio.sleep(_SETTLE_SECONDS)
            mover.cancel()
            self.handovers_left = self.rig.mover.handovers_in_progress
            self._count_retries()
            self.held = self._held()

    def leave(self) -> None:
        """End the connection of the client."""
        self.client.has_left = True
        if self._connection.on_lost is not None:
            self._connection.on_lost()

    def start_cooldowns(self, seconds: float) -> None:
        """Let all upstreams ask for a cooldown."""
        for number in range(len(self.upstreams)):
            self.rig.cooldowns.note_requested(f"b{number}", seconds, self.rig.clock())

    def mark_leaving(self, numbers: tuple[int, ...], revision: int) -> None:
        """Mark some upstreams as leaving."""
        listed = [
            Upstream(
                f"b{number}", "s", item.address, "z", 8, number in numbers,
                leaves_seconds=NOTICE_SECONDS if number in numbers else None,
            )
            for number, item in enumerate(self.upstreams)
        ]  # fmt: skip
        self.rig.view.replace(listed, revision)

    def at_step(self, step: str, seconds: float, act: Callable[[], None]) -> None:
        """Act once some seconds after an upstream receives the first call or request of a step."""
        is_due = True

        def on_step(reached: str) -> None:
            nonlocal is_due
            if is_due and reached == step:
                is_due = False
                asyncio.get_running_loop().call_later(seconds, act)

        for item in self.upstreams:
            item.on_step.append(on_step)

    def _count_retries(self) -> None:
        """Count the retries that were spent, and those that stayed reserved.

        Those that were spent are left again after their window; reserved ones are not.
        """
        budgets, now = self.rig.components.budgets, self.rig.clock()
        later = now + 2 * self.rig.retry_window_seconds
        left = 0
        while budgets.try_spend("s", now):
            left += 1
        allowed = int(_USED_FRACTION * (self.slack + _RATIO))
        self.retries_left = left
        left_later = 0
        while budgets.try_spend("s", later):
            left_later += 1
        self.retries_reserved = int(_USED_FRACTION * self.slack) - left_later
        self.retries_spent = allowed - left - self.retries_reserved

    def _held(self) -> list[str]:
        if not self.source.accepts_connections:
            return []
        held = [name for name, item in self.world.handles.items() if not item.used]
        return [name for name in held if name in self.world.told]

    def arrivals(self) -> int:
        """Return the number of times that the request has reached an upstream."""
        seen = [request for item in self.upstreams for request in item.requests]
        return sum("/kv-" not in request.line for request in seen)

    async def _run_mover(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_SECONDS)
            self.rig.mover.start_due_handovers()

    async def _mark_leaving(self) -> None:
        while not any(run.made >= _EVENTS_BEFORE_NOTICE for run in self.source.runs.values()):
            await asyncio.sleep(_CHECK_SECONDS)
        self.mark_leaving((0,), 2)

    async def _call(self) -> None:
        headers = [
            ("host", HOST), ("attempt-id", REQUEST), ("authorization", f"Bearer {KEY}"),
            ("token-usage", "50,60"), ("content-length", "0"),
        ]  # fmt: skip
        scope: dict[str, Any] = {
            "type": "http",
            "method": "POST",
            "headers": [(name.encode(), value.encode()) for name, value in headers],
            TARGET: b"/p/x",
            CONNECTION: self._connection,
        }
        await self.rig.front(scope, self.client.receive, self.client.send)
        self.ended_at = self.rig.clock()
        self.usable_at_end = [
            item.address for item in self.upstreams if item.holds(REQUEST) or item.executes(REQUEST)
        ]
