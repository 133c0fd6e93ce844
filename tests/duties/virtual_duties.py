"""Gateways with the real keeper of duties before a store and a platform, in virtual time.

The ledger of `FakePlatform` says what the platform saw: who called, with which token, and what was
taken. What must hold is checked there and not from what gateways say.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.duties.duty_runner import DutyRunner
from lotushill.duties.ports import FleetAccess
from lotushill.duties.request_counter import RequestCounter
from lotushill.duties.true_time import TrueTime
from lotushill.event_log import EventLog
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.messages import StoreContact
from lotushill.links.messages import WorkPage
from lotushill.links.messages import WorkPull
from lotushill.platform.duty_api import CallOutcome
from lotushill.platform.duty_api import EngineOrder
from lotushill.platform.duty_api import LeaseCredentials
from lotushill.process.settings import DutySettings
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import ScalingProfile
from lotushill.routing.service import Service
from lotushill.routing.upstream import Upstream
from lotushill.standin.metadata_store import MetadataStore
from lotushill.standin.metadata_store import StoreStatusError
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreUnavailableError
from lotushill.views.stored_object import StoredObject
from lotushill.views.upstream_view import UpstreamView

if TYPE_CHECKING:
    from collections.abc import Mapping

WINDOW = 5.0
LEASE = 3.0
LATE = 10.0
"""After a window has closed, when its report is due."""
EPOCH = 1_700_000_000.0
TRAVEL = 0.002
DETECT = 1.5
"""Until others take a silent gateway for lost."""
SERVICE = Service("llm", 100, EngineProfile(12, 100_000, 10), ScalingProfile(1, 28, 0.22))
TEAMS = ("bakery", "kiosk", "pharmacy")


@dataclass(frozen=True)
class Call:
    """One call as the platform carried it out."""

    at: float
    node: str
    subject: str
    token: int
    taken: bool


class FakePlatform:
    """Takes reports and orders; may check tokens, be down, or do things late."""

    def __init__(self, fenced: bool, rng: random.Random) -> None:
        self.fenced = fenced
        self.rng = rng
        self.down = False
        self.late_share = 0.0
        self.none_reclaimable: set[str] = set()
        self.calls: list[Call] = []
        self.reports: dict[int, dict[str, int]] = {}
        self.reported_at: dict[int, float] = {}
        self.differing: list[int] = []
        self.engines: dict[tuple[str, bool], int] = {}
        self._tokens: dict[str, int] = {}

    def carry_out(self, node: str, subject: str, token: int) -> bool:
        """Return whether a call with a token is taken, and keep it."""
        newest = self._tokens.get(subject, 0)
        taken = token >= newest or not self.fenced
        self._tokens[subject] = max(newest, token)
        self.calls.append(Call(asyncio.get_running_loop().time(), node, subject, token, taken))
        return taken

    def take_report(self, window: int, counts: dict[str, int]) -> None:
        """Keep the first report of a window, and note one that differs."""
        if self.reports.setdefault(window, counts) != counts:
            self.differing.append(window)
        self.reported_at.setdefault(window, asyncio.get_running_loop().time())


class Node:
    """One host: it may be killed, frozen, cut off, and its clock may step."""

    def __init__(self, world: World, index: int) -> None:
        self.world = world
        self.name = f"gw-{index}"
        self.address = f"10.0.0.{index}:7"
        self.alive = False
        self.seen_alive = False
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.store_cut = False
        self.api_cut = False
        self.peers_cut = False
        self.clock_step = 0.0
        self.life = 0
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start a new process."""
        world = self.world
        self.life += 1
        self.alive = True
        self.time = TrueTime(lambda: EPOCH + world.now() + self.clock_step, world.now)
        self.work = RequestCounter(self.name, WINDOW, self.time, world.now)
        self.lines: list[bytes] = []
        self.keeper = DutyRunner(
            self.name,
            self.life,
            DutySettings("10.9.9.9:1", LEASE, world.platform.fenced, WINDOW),
            NodeStore(self),
            NodePlatform(self),
            FleetAccess(
                members=self._members,
                reads_store=lambda: not self.store_cut and self in world.readers(),
                rank=lambda: world.readers().index(self),
                services=lambda: [SERVICE],
                upstreams=world.view,
                send_pull=self._send,
                request_rate_limit=lambda _: NO_LIMIT,
                stream_seconds=lambda _: 1.0,
                own_pages=self.work.pages,
            ),
            self.time,
            EventLog(self.name, self.lines.append, world.now),
            world.now,
        )
        self.task = asyncio.get_running_loop().create_task(self.keeper.run())
        asyncio.get_running_loop().call_later(DETECT, self._noticed)

    def _noticed(self) -> None:
        self.seen_alive = self.alive

    def kill(self) -> None:
        """End the process without a word."""
        self.alive = False
        if self.task is not None:
            self.task.cancel()
        asyncio.get_running_loop().call_later(DETECT, self._noticed)

    async def stop(self) -> None:
        """End the process in a planned way."""
        await self.keeper.hand_over()
        self.kill()

    def begin_request(self, team: str) -> None:
        """Serve a request that begins now."""
        if self.alive:
            self.work.record_start(team)
            window = int((EPOCH + self.world.now()) // WINDOW)
            counts = self.world.truth.setdefault(window, {})
            counts[team] = counts.get(team, 0) + 1

    def _members(self) -> list[MemberState]:
        return [
            MemberState(
                node.name,
                node.address,
                "h",
                "r",
                node.life,
                MemberPhase.ALIVE,
                contact=StoreContact.READING,
            )
            for node in self.world.nodes
            if node is self or (node.seen_alive and not node.peers_cut and not self.peers_cut)
        ]

    def _send(self, message: WorkPull, address: str) -> None:
        target = next(node for node in self.world.nodes if node.address == address)
        asyncio.get_running_loop().call_later(TRAVEL, self._arrive, message, target)

    def _arrive(self, message: WorkPull, target: Node) -> None:
        if not target.hears(self):
            return
        target.time.set_time(message.now)
        for page in target.work.pages(message.since):
            asyncio.get_running_loop().call_later(TRAVEL, self._answered, page, target)

    def _answered(self, page: WorkPage, source: Node) -> None:
        if self.hears(source):
            self.keeper.receive(page)

    def hears(self, other: Node) -> bool:
        """Return whether datagrams of another node come here."""
        return self.alive and self.thawed.is_set() and not self.peers_cut and not other.peers_cut


class NodeStore:
    """The store as one node reaches it."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def get(self, kind: str, name: str, stale: bool = False) -> StoredObject | None:
        """Return one object."""
        del stale
        try:
            return _stored(await self._call(lambda store: store.get(kind, name)))
        except StoreStatusError:
            return None

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Make an object."""
        return await self._write(lambda store: store.create(kind, name, spec))

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int | None = None
    ) -> StoredObject:
        """Replace an object."""
        return await self._write(lambda store: store.replace(kind, name, spec, revision))

    async def _write(self, act: Any) -> StoredObject:
        try:
            return _stored(await self._call(act))
        except StoreStatusError as error:
            if error.status == 409:
                raise RevisionConflictError from error
            raise StoreUnavailableError(str(error.status)) from error

    async def _call(self, act: Any) -> Any:
        node, world = self._node, self._node.world
        await node.thawed.wait()
        if world.store_down or node.store_cut:
            await asyncio.sleep(world.rng.choice((0.01, 2.0)))
            raise StoreUnavailableError("down")
        await asyncio.sleep(TRAVEL)
        if world.rng.random() < world.lost_share:
            await self._lose(act)
        found = act(world.store)
        await asyncio.sleep(TRAVEL)
        await node.thawed.wait()
        return found

    async def _lose(self, act: Any) -> None:
        """Carry a call out now or seconds later, and never answer."""
        world = self._node.world
        asyncio.get_running_loop().call_later(
            world.rng.choice((0.0, 3.0)), _quietly, act, world.store
        )
        await asyncio.sleep(2.0)
        raise StoreUnavailableError("no answer")


class NodePlatform:
    """The platform's calls as one node reaches them."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def report_usage(
        self, window: int, counts: Mapping[str, int], signature: LeaseCredentials
    ) -> CallOutcome:
        """Report a window."""
        platform, told = self._node.world.platform, dict(counts)

        def act() -> CallOutcome:
            if not platform.carry_out(self._node.name, "usage", signature.token):
                return CallOutcome.REFUSED
            platform.take_report(window, told)
            return CallOutcome.DONE

        return await self._call(act)

    async def order(self, order: EngineOrder, signature: LeaseCredentials) -> CallOutcome:
        """Order engines."""
        platform = self._node.world.platform

        def act() -> CallOutcome:
            subject = f"{order.service}/{order.hall}"
            if not platform.carry_out(self._node.name, subject, signature.token):
                return CallOutcome.REFUSED
            if order.reclaimable and order.hall in platform.none_reclaimable:
                return CallOutcome.REFUSED
            platform.engines[order.hall, order.reclaimable] = order.engines
            return CallOutcome.DONE

        return await self._call(act)

    async def _call(self, act: Any) -> CallOutcome:
        node, platform = self._node, self._node.world.platform
        await node.thawed.wait()
        if platform.down or node.api_cut:
            await asyncio.sleep(1.5)
            return CallOutcome.UNANSWERED
        await asyncio.sleep(TRAVEL)
        if platform.rng.random() < platform.late_share:
            asyncio.get_running_loop().call_later(platform.rng.uniform(2.0, 12.0), act)
            await asyncio.sleep(1.5)
            return CallOutcome.UNANSWERED
        end: CallOutcome = act()
        await asyncio.sleep(TRAVEL)
        await node.thawed.wait()
        return end


@dataclass
class World:
    """Everything, with its faults."""

    count: int
    fenced: bool = True
    seed: int = 1
    store_down: bool = False
    lost_share: float = 0.0
    truth: dict[int, dict[str, int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.store = MetadataStore()
        self.platform = FakePlatform(self.fenced, random.Random(self.seed + 1))
        self.view = UpstreamView()
        self.stand(14)
        self.nodes = [Node(self, index) for index in range(self.count)]

    def stand(self, engines: int) -> None:
        """Let each of two halls have so many engines."""
        self.view.replace(
            [
                Upstream(f"{hall}{n}", "llm", f"10.1.0.{n}:1", hall, 12, False)
                for hall in ("east", "west")
                for n in range(engines)
            ],
            self.view.revision + 1,
        )

    def now(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def readers(self) -> list[Node]:
        """Return the nodes that read the store: the first that it serves."""
        return [node for node in self.nodes if node.alive and not node.store_cut][:4]

    def holder(self) -> Node | None:
        """Return who holds the duties, as far as it knows."""
        held = [node for node in self.nodes if node.alive and node.keeper.lease.held]
        return max(held, key=lambda node: node.keeper.lease.token or 0, default=None)

    async def serve(self, seconds: float, rate: float = 40.0) -> None:
        """Let requests begin at all nodes for some time."""
        ends = self.now() + seconds
        while self.now() < ends:
            await asyncio.sleep(1.0 / rate)
            self.rng.choice(self.nodes).begin_request(self.rng.choice(TEAMS))

    def end(self) -> None:
        """Stop all processes."""
        for node in self.nodes:
            node.kill()

    def closed_windows(self) -> list[int]:
        """Return the windows whose reports are due by now, but for the first."""
        newest = int((EPOCH + self.now() - 10.0) // WINDOW)
        return sorted(window for window in self.truth if window < newest)[1:]

    def wrong(self) -> list[tuple[int, str]]:
        """Return the windows that were reported late, never, or beyond a twentieth wrong."""
        found = []
        for window in self.closed_windows():
            told, truth = self.platform.reports.get(window), self.truth[window]
            due = (window + 1) * WINDOW + LATE
            if told is None:
                found.append((window, "never reported"))
            elif EPOCH + self.platform.reported_at[window] > due:
                found.append((window, "late"))
            elif any(abs(told.get(team, 0) - n) > max(1, 0.05 * n) for team, n in truth.items()):
                found.append((window, f"{told} for {truth}"))
        return found


def _quietly(act: Any, store: MetadataStore) -> None:
    try:
        act(store)
    except StoreStatusError:
        pass


def _stored(item: Any) -> StoredObject:
    return StoredObject(item["metadata"]["name"], item["metadata"]["revision"], item["spec"])
