"""The request path of a gateway, run within the test process with scripted upstreams."""

from __future__ import annotations

import asyncio
import functools
import random
import socket
import struct
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import TypeAlias

from lotushill import clock as clocks
from lotushill.availability.cooldowns import Cooldowns
from lotushill.availability.stated_limits import StatedLimits
from lotushill.contracts.settings_view import SettingsView
from lotushill.duties.request_counter import RequestCounter
from lotushill.duties.true_time import TrueTime
from lotushill.event_log import EventLog
from lotushill.limits.barred_upstreams import BarredUpstreams
from lotushill.limits.fleet_limits import FleetLimits
from lotushill.limits.fleet_slots import FleetSlots
from lotushill.limits.limit_owners import LimitOwners
from lotushill.limits.permit_rank import PermitRanks
from lotushill.limits.team_limits import TeamLimits
from lotushill.links.http_server import HttpServer
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.membership.membership import Membership
from lotushill.membership.membership_options import MembershipOptions
from lotushill.membership.schedulers import Schedulers
from lotushill.peering.group_gossip import GroupGossip
from lotushill.peering.leaving_gossip import LeavingGossip
from lotushill.peering.quarantine_gossip import QuarantineGossip
from lotushill.placement.fleet import Fleet
from lotushill.platform import request_head
from lotushill.process.metrics import Metrics
from lotushill.process.settings import RetrySettings
from lotushill.process.suspension import SuspensionWatch
from lotushill.quarantine.isolation import Isolation
from lotushill.quarantine.quarantine import Quarantine
from lotushill.requests.client_application import ClientApplication
from lotushill.requests.client_protocol import ClientProtocol
from lotushill.requests.engine_memory_client import EngineMemoryClient
from lotushill.requests.gateway_components import GatewayComponents
from lotushill.requests.isolation_policy import IsolationPolicy
from lotushill.requests.mover import Mover
from lotushill.requests.retry_budgets import RetryBudgets
from lotushill.requests.upstream_gate import UpstreamGate
from lotushill.requests.upstream_pool import UpstreamPool
from lotushill.routing.limits import ClientLimits
from lotushill.routing.route import Route
from lotushill.routing.route import RouteKind
from lotushill.routing.route import WeightedService
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from lotushill.routing.table import RoutingTable
from lotushill.routing.team import Team
from lotushill.routing.upstream import Upstream
from lotushill.routing.urgency import Urgency
from lotushill.scheduling.placer import Placer
from lotushill.scheduling.shared_load import SharedLoad
from lotushill.versions.ended_incarnations import EndedIncarnations
from lotushill.versions.stream_origins import StreamOrigins
from lotushill.views.configuration_view import ConfigurationView
from lotushill.views.upstream_view import UpstreamView

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lotushill.clients.bounds import ClientBounds
    from lotushill.links.messages import LeavingNews
    from lotushill.links.origin_messages import EndedNews
    from lotushill.links.quarantine_messages import ClearedNews
    from lotushill.links.quarantine_messages import GroupNews
    from lotushill.links.quarantine_messages import SuspectNews

HOST = "a.example"
KEY = "secret-key"
TEAM = "bakery"
LINK_RATE = 1e6
"""Link rate in bytes per second between upstreams that move memory of one byte per token."""
SIGNED = "Response-Signature: s1\r\n"


@dataclass
class ReceivedRequest:
    """A request as received by an upstream, with methods to answer it."""

    line: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    id: str = ""
    frames_events: bool = True
    """Whether its stream of events is sent in chunks; otherwise it ends with the connection."""

    def __post_init__(self) -> None:
        self.id = self.headers.get("attempt-id", "")

    def answer(self, head: str, body: bytes = b"", request_id: str | None = None) -> None:
        """Write a head with the id of the request, followed by the body unchanged."""
        wanted = self.id if request_id is None else request_id
        text = f"HTTP/1.1 {head}Attempt-Id: {wanted}\r\n\r\n"
        self.writer.write(text.encode() + body)

    def answer_whole(self, body: bytes = b"done", status: str = "200 OK") -> None:
        """Write a complete signed answer."""
        self.answer(f"{status}\r\nContent-Length: {len(body)}\r\n{SIGNED}", body)

    def start_events(self, headers: str = "") -> None:
        """Write the head of a stream of events, with header lines that each begin with CRLF."""
        framing = "Transfer-Encoding: chunked\r\n" if self.frames_events else ""
        self.answer(f"200 OK{headers}\r\n{framing}{SIGNED}")

    def event(self, number: int) -> None:
        """Write one event."""
        self.chunk(event(number))

    def chunk(self, data: bytes) -> None:
        """Write a piece of the stream, as one chunk if it is sent in chunks."""
        self.writer.write(
            f"{len(data):x}\r\n".encode() + data + b"\r\n" if self.frames_events else data
        )

    def end_events(self) -> None:
        """Write the end of the stream."""
        if self.frames_events:
            self.writer.write(b"0\r\n\r\n")
        else:
            self.close()

    def close(self) -> None:
        """End the connection in order."""
        self.writer.close()

    def reset(self) -> None:
        """End the connection with a reset."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


Script: TypeAlias = "Callable[[ReceivedRequest], Awaitable[None]]"


def event(number: int) -> bytes:
    """Return the bytes of one event."""
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


@dataclass
class ScriptedUpstream:
    """Upstream that answers each request by the next script, and all further ones by the last."""

    scripts: list[Callable[[ReceivedRequest], Awaitable[None]]]
    requests: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    closed: int = 0
    address: str = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._tasks: set[asyncio.Task[None] | None] = set()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Accept no more connections."""
        self._server.close()

    def crash(self, seen: ReceivedRequest) -> None:
        """Accept no more connections and reset all open ones; called within a script."""
        self.stop()
        for task in self._tasks - {asyncio.current_task()}:
            if task is not None:
                task.cancel()
        seen.reset()
        raise ConnectionResetError

    async def close(self) -> None:
        """Stop the upstream and close its open connections."""
        self.stop()
        tasks = [task for task in self._tasks if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                seen = await _read_request(reader, writer)
                self.requests.append(seen)
                script = self.scripts[min(len(self.requests), len(self.scripts)) - 1]
                await script(seen)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self._tasks.discard(task)
            self.closed += 1
            writer.close()


async def _read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> ReceivedRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head.strip().split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (item.partition(":") for item in rest)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(line, headers, body, reader, writer)


@dataclass(frozen=True)
class ReceivedAnswer:
    """An answer as received by a client."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    """Whether the answer was complete according to its framing."""


class Rig:
    """The request path of a gateway with `upstreams` behind one route."""

    def __init__(
        self,
        upstreams: list[ScriptedUpstream],
        kind: RouteKind = RouteKind.IDEMPOTENT,
        resumable: bool = False,
        max_attempts: int = 2,
        timeout: float = 5.0,
        engine: bool = False,
        slack: float = 100.0,
        backups: bool = False,
        team_priority: int = 1,
        moves: bool = False,
    ) -> None:
        self.upstreams = upstreams
        self.route = Route(
            "r", HOST, "/p/", kind, (WeightedService("s", 1.0),), timeout, 0.4, 0.0,
            Urgency(2),
            max_attempts, False, resumable,
        )  # fmt: skip
        link = LINK_RATE if moves else 0.0
        profile = EngineProfile(8, 100_000, 1, 1, link, backups) if engine else None
        self.service = Service("s", 50, profile)
        self.configuration = ConfigurationView()
        self.view = UpstreamView()
        self.settings = SettingsView()
        self.fresh = True
        self.holds_are_known = True
        self.slack = slack
        self.retry_window_seconds = 10.0
        self.team_priority = team_priority
        self.lines: list[bytes] = []
        self.suspended = 0.0
        self.suspension_lengths: list[float] = []
        self.bounds: ClientBounds | None = None
        """Bounds of all client connections together, None if each has bounds of its own."""
        self.confirmed = True
        """Whether the views were confirmed since the last suspension of the host."""
        self.quarantine = Quarantine()
        self.isolation = Isolation()
        self.sent_leaving_messages: list[LeavingNews] = []
        self.sent_ended_messages: list[EndedNews] = []
        self.sent_messages: list[SuspectNews | ClearedNews | GroupNews] = []
        """Messages that `quarantine_gossip.send_due` sent to other gateways."""

    def clock(self) -> float:
        """Return seconds of a clock that continues during a suspension."""
        return clocks.now() + self.suspended

    def steady_clock(self) -> float:
        """Return seconds of a clock that stops during a suspension."""
        return time.monotonic()

    def suspend(self, seconds: float) -> None:
        """Let time pass during which the steady clock is stopped."""
        self.suspended += seconds

    def _on_suspension(self, seconds: float) -> None:
        self.suspension_lengths.append(seconds)
        self.front.note_suspension(seconds)
        self.components.pool.close_idle()

    async def __aenter__(self) -> Rig:
        """Start the upstreams and the request path."""
        for upstream in self.upstreams:
            await upstream.start()
        fleet = Fleet("z")
        self.set_table(1)
        self.view.replace(
            [
                Upstream(f"b{n}", "s", item.address, "z", 8, False)
                for n, item in enumerate(self.upstreams)
            ],
            1,
        )
        shared_load = SharedLoad("gw", fleet, self.clock, lambda _: self.service, lambda _: None)
        pool = self.make_pool()
        self.suspension = SuspensionWatch(
            self.clock, self.steady_clock, self._on_suspension, lambda _: self.confirmed
        )
        log = EventLog("gw", self.lines.append)
        self.cooldowns = cooldowns = Cooldowns()
        members, stated = alone("gw"), StatedLimits()
        limit_owners = LimitOwners(members, Schedulers(members), lambda: 1)
        self.limits = FleetLimits(
            self.view,
            limit_owners,
            stated,
            PermitRanks(fleet, stated, self.view.of),
            lambda *_: None,
            lambda _: None,
            log,
            random.Random(7),
            self.clock,
        )
        self.slots = FleetSlots(
            self.view,
            limit_owners,
            fleet.brittle,
            lambda upstream_id: len(fleet.load(upstream_id).running),
            lambda *_: None,
            lambda _: None,
            log,
            random.Random(9),
            self.clock,
        )
        self.leaving = LeavingGossip(
            "gw", self.view, self.sent_leaving_messages.append, log, random.Random(5), self.clock
        )
        groups = GroupGossip(
            "gw", self.isolation, self.sent_messages.append, log, random.Random(6), self.clock
        )
        self.quarantine_gossip = QuarantineGossip(
            "gw", self.quarantine, groups, self.view, pool.has_ended,
            self.sent_messages.append, log, random.Random(3), self.clock,
        )  # fmt: skip
        placer = Placer(
            "gw",
            fleet,
            shared_load,
            self.view,
            random.Random(2),
            self.clock,
            BarredUpstreams(cooldowns, self.limits.denials),
            stated,
        )
        retries = RetrySettings(0.2, self.slack, self.retry_window_seconds)
        budgets = RetryBudgets(retries, lambda: 1)
        metrics = Metrics()
        isolation_policy = IsolationPolicy(self.isolation, self.view, self.clock)
        gate = UpstreamGate(
            self.view,
            cooldowns,
            self.limits,
            self.leaving.note_answer,
            log,
            self.clock,
            self.slots,
        )
        self.mover = Mover(
            self.make_memory_client(), placer, shared_load, self.view, isolation_policy,
            self.quarantine_gossip, budgets, gate, pool, fleet, stated.rate, metrics, log,
            self.clock,
        )  # fmt: skip
        self.stream_origins = StreamOrigins(
            members, self.view, lambda *_: None, lambda: self.fresh, self.clock
        )
        self.ended_incarnations = EndedIncarnations(
            self.view, self.sent_ended_messages.append, lambda: self.fresh, self.clock, log
        )
        pool.on_refused = self.ended_incarnations.note_refused
        self.components = GatewayComponents(
            name="gw",
            configuration=self.configuration,
            upstreams=self.view,
            settings=self.settings,
            fleet=fleet,
            shared_load=shared_load,
            placer=placer,
            pool=pool,
            isolation_policy=isolation_policy,
            mover=self.mover,
            gate=gate,
            limits=self.limits,
            team_limits=TeamLimits(limit_owners, self.limits.client, random.Random(8), self.clock),
            quarantine=self.quarantine_gossip,
            stream_origins=self.stream_origins,
            ended_incarnations=self.ended_incarnations,
            budgets=budgets,
            work=RequestCounter("gw", 5.0, TrueTime(time.time, self.clock), self.clock),
            log=log,
            metrics=metrics,
            rng=random.Random(1),
            clock=self.clock,
            suspension=self.suspension,
            view_is_fresh=lambda: self.fresh,
            holds_are_known=lambda: self.holds_are_known,
        )
        self.front = ClientApplication(self.components)
        await self.start_server()
        return self

    def make_pool(self) -> UpstreamPool:
        """Create the pool of connections to the upstreams."""
        return UpstreamPool(request_head.answer_request_id, clock=self.clock)

    def make_memory_client(self) -> EngineMemoryClient:
        """Create the client for moving the memory of runs."""
        return EngineMemoryClient()

    async def start_server(self) -> None:
        """Listen for clients on a free port."""
        self.server = HttpServer(
            self.front,
            "127.0.0.1:0",
            protocol=functools.partial(ClientProtocol, bounds=self.bounds),
        )
        self._task = asyncio.create_task(self.server.serve())
        await self.server.wait_started()

    async def stop_server(self) -> None:
        """Stop listening, and end all connections of clients."""
        self.server.abort()
        await self._task

    def set_table(self, version: int, routes: bool = True) -> None:
        """Apply a configuration with the given version."""
        teams = [Team(TEAM, (KEY,), self.team_priority)]
        table = RoutingTable(
            version, [self.route] if routes else [], [self.service], teams, ClientLimits()
        )
        self.configuration.replace(table, version)

    async def __aexit__(self, *_: object) -> None:
        """Stop the request path and the upstreams."""
        await self.stop_server()
        for upstream in self.upstreams:
            await upstream.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client connection."""
        host, _, port = self.server.address.partition(":")
        return await asyncio.open_connection(host, int(port))

    async def call(
        self, request_id: str = "r1", headers: str = "", body: bytes = b"", path: str = "/p/x"
    ) -> ReceivedAnswer:
        """Send one request on a new connection and return the answer."""
        reader, writer = await self.connect()
        try:
            return await self.call_on(reader, writer, request_id, headers, body, path)
        finally:
            writer.close()

    async def call_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str = "r1",
        headers: str = "",
        body: bytes = b"",
        path: str = "/p/x",
    ) -> ReceivedAnswer:
        """Send one request on an open connection and return the answer."""
        writer.write(request_bytes(request_id, headers, body, path))
        return await read_answer(reader)


def alone(name: str) -> Membership:
    """Return the membership of a gateway without known peers."""
    own = MemberState(name, "127.0.0.1:1", "z", "r", 1, MemberPhase.ALIVE)
    return Membership(own, (), MembershipOptions(), random.Random(8))


def request_bytes(
    request_id: str = "r1", headers: str = "", body: bytes = b"", path: str = "/p/x"
) -> bytes:
    """Return the bytes of a client's request."""
    authorization = "" if "Authorization" in headers else f"Authorization: Bearer {KEY}\r\n"
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n"
        f"{authorization}{headers}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_answer(reader: asyncio.StreamReader) -> ReceivedAnswer:
    """Read one answer, or the part of it that arrives."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return ReceivedAnswer(0, {}, b"", False)
    first, *rest = head.strip().split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (item.partition(":") for item in rest)
    }
    body = bytearray()
    whole = await _read_body(reader, headers, body)
    return ReceivedAnswer(int(first.split()[1]), headers, bytes(body), whole)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], body: bytearray
) -> bool:
    try:
        if "content-length" in headers:
            body += await reader.readexactly(int(headers["content-length"]))
            return True
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            body += data[:size]
            if not size:
                return True
    except asyncio.IncompleteReadError as error:
        body += error.partial
        return False
    except ConnectionError:
        return False
