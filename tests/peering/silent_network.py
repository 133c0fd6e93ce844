"""Gateways that follow the store in virtual time, over connections that may fall silent.

Views, watchers, membership and connections between gateways are real; datagrams, byte streams and
the connections to the store are in memory. A silenced connection stays open and delivers nothing;
datagrams and new connections work.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from typing import TYPE_CHECKING
from typing import Any

import anyio

from lotushill.event_log import EventLog
from lotushill.gateway.store_views import StoreViews
from lotushill.links.answer_timeout import AnswerTimeout
from lotushill.links.messages import UNREADY
from lotushill.links.messages import PlacementAnswer
from lotushill.peering.peers import PeerHooks
from lotushill.peering.peers import Peers
from lotushill.peering.reader_role import ReaderRole
from lotushill.process.settings import GatewaySettings
from lotushill.standin.metadata_store import MetadataStore
from lotushill.standin.metadata_store import StoreStatusError
from lotushill.views.exceptions import HistoryGoneError
from lotushill.views.exceptions import SilentStoreError
from lotushill.views.stored_object import Change
from lotushill.views.stored_object import ObjectList
from lotushill.views.stored_object import StoredObject
from tests.entries import entry

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_LATENCY_SECONDS = 0.001
_TICK_SECONDS = 0.05
_STORE_SECONDS = 0.004
UPSTREAM = "i-1"
CONFIGURATION: dict[str, Any] = {
    "version": 1,
    "routes": [],
    "services": [{"name": "app", "healthPath": "/health", "maxConns": 50}],
}


class Pipe:
    """Both directions of one connection between gateways."""

    def __init__(self) -> None:
        self.is_silent = False
        self.latency_seconds = _LATENCY_SECONDS
        self.trickles = False
        """Whether data arrives byte by byte, spread over the latency."""
        self.ends = (Stream(self), Stream(self))

    def other(self, end: Stream) -> Stream:
        return self.ends[1] if end is self.ends[0] else self.ends[0]


class Stream(anyio.abc.ByteStream):
    """One end of a connection."""

    def __init__(self, pipe: Pipe) -> None:
        self._pipe = pipe
        self._received: deque[bytes] = deque()
        self._arrived = anyio.Event()
        self.is_closed = False

    async def send(self, item: bytes) -> None:
        if self.is_closed:
            raise anyio.ClosedResourceError
        parts = [bytes((byte,)) for byte in item] if self._pipe.trickles else [item]
        for part in parts:
            await anyio.sleep(self._pipe.latency_seconds / len(parts))
            if not self._pipe.is_silent:
                self._pipe.other(self).deliver(part)

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        while not self._received:
            await self._arrived.wait()
            self._arrived = anyio.Event()
        data = self._received.popleft()
        if not data:
            raise anyio.EndOfStream
        if len(data) > max_bytes:
            self._received.appendleft(data[max_bytes:])
        return data[:max_bytes]

    def deliver(self, data: bytes) -> None:
        self._received.append(data)
        self._arrived.set()

    async def send_eof(self) -> None:
        raise NotImplementedError

    async def aclose(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            if not self._pipe.is_silent:
                self._pipe.other(self).deliver(b"")


class StoreConnections:
    """Connections of one gateway to the store; each call takes an idle one, or opens another.

    As in the real client, a call without an answer in time closes all connections but those of
    other calls in progress.
    """

    def __init__(self, store: MetadataStore) -> None:
        self._store = store
        self._idle_silent = 0
        self._idle = 0
        self._timeout = AnswerTimeout()
        self._open_calls: set[asyncio.Event] = set()
        self.calls = 0
        self.unanswered = False
        """Whether the store answers nothing on any connection."""

    def silence(self) -> None:
        """Silence all connections, those of calls in progress and the idle ones."""
        self._idle_silent += self._idle
        self._idle = 0
        for silenced in self._open_calls:
            silenced.set()

    async def list_kind(self, kind: str, stale: bool = False) -> ObjectList:
        del stale
        listed = await self._call(lambda: self._list(kind), 0.0)
        return ObjectList(tuple(_object(item) for item in listed["items"]), listed["at"])

    async def watch(self, kind: str, revision: int, seconds: float) -> tuple[list[Change], int]:
        found = await self._call(lambda: self._store.watch(kind, revision, seconds), seconds)
        changes = [Change(_object(item["object"]), item["gone"]) for item in found["events"]]
        return changes, found["at"]

    async def _list(self, kind: str) -> dict[str, Any]:
        return self._store.list_kind(kind)

    async def _call(
        self, answer: Callable[[], Awaitable[dict[str, Any]]], wait_seconds: float
    ) -> dict[str, Any]:
        self.calls += 1
        sent_at = anyio.current_time()
        try:
            with anyio.fail_after(wait_seconds + self._timeout.seconds):
                result = await self._exchange(answer)
        except TimeoutError as error:
            self._timeout.note_timeout()
            self._idle = self._idle_silent = 0
            raise SilentStoreError(repr(error)) from error
        self._timeout.note_answer(max(0.0, anyio.current_time() - sent_at - wait_seconds))
        return result

    async def _exchange(self, answer: Callable[[], Awaitable[dict[str, Any]]]) -> dict[str, Any]:
        if self._idle_silent:
            self._idle_silent -= 1
            await anyio.sleep_forever()
        self._idle = max(0, self._idle - 1)
        silenced = asyncio.Event()
        self._open_calls.add(silenced)
        try:
            if self.unanswered:
                await anyio.sleep_forever()
            await anyio.sleep(_STORE_SECONDS)
            result = await answer()
        except StoreStatusError as error:
            raise HistoryGoneError from error
        finally:
            self._open_calls.discard(silenced)
        if silenced.is_set():
            await anyio.sleep_forever()
        self._idle += 1
        return result


def _object(item: dict[str, Any]) -> StoredObject:
    metadata = item["metadata"]
    return StoredObject(metadata["name"], metadata["revision"], item["spec"])


class SilentNetwork:
    """Gateways in several halls, a store, and a way to silence their open connections."""

    def __init__(self, halls: int, gateways: int, seed: int) -> None:
        """Create the gateways; each hall gets the same number."""
        self.rng = random.Random(seed)
        self.store = MetadataStore()
        self.store.put("config", "main", CONFIGURATION)
        self.store.put("servers", UPSTREAM, entry("app", "10.0.2.1:80"))
        self.gateways = [
            VirtualGateway(self, f"gw-{index}", f"hall-{index % halls}", f"10.0.0.{index}:7")
            for index in range(gateways)
        ]
        self._pipes: list[Pipe] = []

    def silence(self, store: bool = True, peers: bool = True) -> None:
        """Silence the open connections to the store, and those between gateways."""
        for gateway in self.gateways if store else ():
            gateway.store.silence()
        for pipe in self._pipes if peers else ():
            pipe.is_silent = True

    async def run(self, play: Callable[[SilentNetwork], Awaitable[None]]) -> None:
        """Run all gateways until `play` returns."""
        async with anyio.create_task_group() as group:
            for gateway in self.gateways:
                gateway.start(group)
            await play(self)
            group.cancel_scope.cancel()

    async def connect(self, host: str, port: int) -> Stream:
        """Open a connection to a gateway."""
        await anyio.sleep(_LATENCY_SECONDS)
        pipe = Pipe()
        self._pipes.append(pipe)
        address = f"{host}:{port}"
        next(item for item in self.gateways if item.address == address).accept(pipe.ends[1])
        return pipe.ends[0]

    def send(self, source: str, data: bytes, address: str) -> None:
        """Deliver a datagram after the latency of the network."""
        receiver = next((item for item in self.gateways if item.address == address), None)
        if receiver is None:
            return
        host, _, port = source.partition(":")
        asyncio.get_running_loop().call_later(
            _LATENCY_SECONDS, receiver.peers.datagram_received, data, (host, int(port))
        )


class _Transport:
    """Sends the datagrams of one gateway."""

    def __init__(self, network: SilentNetwork, source: str) -> None:
        self._network = network
        self._source = source

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._network.send(self._source, data, f"{address[0]}:{address[1]}")


class VirtualGateway:
    """The parts of one gateway that make it know configuration and upstreams."""

    def __init__(self, network: SilentNetwork, name: str, hall: str, address: str) -> None:
        self.name = name
        self.address = address
        self.log_lines: list[bytes] = []
        self.store = StoreConnections(network.store)
        self._group: anyio.abc.TaskGroup | None = None
        rng = random.Random(network.rng.random())
        log = EventLog(name, self.log_lines.append)
        clock = asyncio.get_running_loop().time
        role = ReaderRole(lambda: self.peers.membership, clock)
        self.views = StoreViews(self.store, rng, log, lambda: None, role, clock)
        settings = GatewaySettings(
            name=name,
            hall=hall,
            region="r",
            clients="10.0.0.1:1",
            readiness="10.0.0.1:2",
            peers=address,
            store="10.0.1.1:1",
        )
        self.peers = Peers(settings, log, rng, _hooks(name, self.views), clock)
        transport: Any = _Transport(network, address)
        self.peers._transport = transport
        self.peers.membership.add_seeds(f"10.0.0.{index}:7" for index in range(3))

    def start(self, group: anyio.abc.TaskGroup) -> None:
        """Start all tasks."""
        self._group = group
        self.peers.links.start(group)
        group.start_soon(self._tick_forever)
        for watcher in self.views._watchers.values():
            group.start_soon(watcher.run)

    def accept(self, stream: Stream) -> None:
        """Serve a connection that another gateway has opened."""
        assert self._group is not None
        self._group.start_soon(self.peers.links.accept, stream)

    def version(self) -> int:
        """Return the version of the configuration in force."""
        table = self.views.configuration.table
        return table.version if table is not None else 0

    def is_draining(self) -> bool:
        """Return whether the upstream is known to leave."""
        return self.views.upstreams.is_loaded and not self.views.upstreams.of("app")

    async def _tick_forever(self) -> None:
        while True:
            self.peers._tick(asyncio.get_running_loop().time())
            await anyio.sleep(_TICK_SECONDS)


def _hooks(name: str, views: StoreViews) -> PeerHooks:
    ignore: Any = lambda *_: None  # noqa: E731
    none: Any = lambda *_: []  # noqa: E731
    return PeerHooks(
        view_revision=views.revision,
        view_text=views.text,
        on_view=views.receive_from_peer,
        store_contact=views.contact,
        upstream_id=lambda _: None,
        on_load=ignore,
        all_running=none,
        paces=none,
        on_paces=ignore,
        on_gateway_gone=ignore,
        answer_placement=lambda ask, _: PlacementAnswer(name, ask.request, refusal=UNREADY),
        on_late_placement=ignore,
        serve_relay=ignore,
        on_work_pull=none,
        on_work_page=ignore,
        on_suspects=ignore,
        on_leaving=ignore,
        on_limits=ignore,
        on_permit_ask=ignore,
        on_permit_answer=ignore,
        on_slots=ignore,
        on_returns=ignore,
        on_origin=ignore,
        on_origin_ask=ignore,
        on_origin_answer=ignore,
        on_ended=ignore,
        on_tick=ignore,
    )
