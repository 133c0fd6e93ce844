"""Simulates gateways that run the real duties against a store and a platform in virtual time.

`FakePlatform` records what the platform receives: the caller, its token, and whether the call was
accepted. The invariants are checked against these records and not against the state of gateways.
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
REPORT_DEADLINE_SECONDS = 10.0
"""Seconds after the close of a window within which its report is due."""
EPOCH = 1_700_000_000.0
NETWORK_DELAY_SECONDS = 0.002
DETECTION_SECONDS = 1.5
"""Seconds until other gateways consider an unresponsive gateway lost."""
SERVICE = Service("llm", 100, EngineProfile(12, 100_000, 10), ScalingProfile(1, 28, 0.22))
TEAMS = ("bakery", "kiosk", "pharmacy")


@dataclass(frozen=True)
class Call:
    """One call that the platform carried out."""

    at: float
    host: str
    subject: str
    token: int
    accepted: bool


class FakePlatform:
    """Accepts reports and orders; may check tokens, be down, or carry out calls late."""

    def __init__(self, fenced: bool, rng: random.Random) -> None:
        self.fenced = fenced
        self.rng = rng
        self.down = False
        self.late_fraction = 0.0
        self.halls_without_reclaimable: set[str] = set()
        self.calls: list[Call] = []
        self.reports: dict[int, dict[str, int]] = {}
        self.reported_at: dict[int, float] = {}
        self.differing_windows: list[int] = []
        self.engines: dict[tuple[str, bool], int] = {}
        self._tokens: dict[str, int] = {}

    def carry_out(self, host: str, subject: str, token: int) -> bool:
        """Record a call with a token, and return whether it is accepted."""
        newest = self._tokens.get(subject, 0)
        accepted = token >= newest or not self.fenced
        self._tokens[subject] = max(newest, token)
        self.calls.append(Call(asyncio.get_running_loop().time(), host, subject, token, accepted))
        return accepted

    def take_report(self, window: int, counts: dict[str, int]) -> None:
        """Store the first report of a window, and record later ones that differ."""
        if self.reports.setdefault(window, counts) != counts:
            self.differing_windows.append(window)
        self.reported_at.setdefault(window, asyncio.get_running_loop().time())


class Host:
    """One host that may be killed, frozen or cut off, and whose clock may step."""

    def __init__(self, world: World, index: int) -> None:
        self.world = world
        self.name = f"gw-{index}"
        self.address = f"10.0.0.{index}:7"
        self.alive = False
        self.seen_alive = False
        self.not_frozen = asyncio.Event()
        self.not_frozen.set()
        self.store_cut = False
        self.api_cut = False
        self.peers_cut = False
        self.clock_step = 0.0
        self.incarnation = 0
        self.writes_in_progress = 0
        """Number of writes to the store that are not answered yet."""
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start a new process."""
        world = self.world
        self.incarnation += 1
        self.alive = True
        self.time = TrueTime(lambda: EPOCH + world.now() + self.clock_step, world.now)
        self.work = RequestCounter(self.name, WINDOW, self.time, world.now)
        self.lines: list[bytes] = []
        self.runner = DutyRunner(
            self.name,
            self.incarnation,
            DutySettings("10.9.9.9:1", LEASE, world.platform.fenced, WINDOW),
            HostStore(self),
            HostPlatform(self),
            FleetAccess(
                members=self._members,
                reads_store=lambda: not self.store_cut and self in world.readers(),
                rank=lambda: world.readers().index(self),
                candidates=lambda: len(world.readers()),
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
        self.task = asyncio.get_running_loop().create_task(self.runner.run())
        asyncio.get_running_loop().call_later(DETECTION_SECONDS, self._update_seen_alive)

    def _update_seen_alive(self) -> None:
        self.seen_alive = self.alive

    def kill(self) -> None:
        """End the process unannounced."""
        self.alive = False
        if self.task is not None:
            self.task.cancel()
        asyncio.get_running_loop().call_later(DETECTION_SECONDS, self._update_seen_alive)

    async def stop(self) -> None:
        """End the process by a planned shutdown."""
        await self.runner.hand_over()
        self.kill()

    def begin_request(self, team: str) -> None:
        """Start a request now."""
        if self.alive:
            self.work.record_start(team)
            window = int((EPOCH + self.world.now()) // WINDOW)
            counts = self.world.true_counts.setdefault(window, {})
            counts[team] = counts.get(team, 0) + 1

    def _members(self) -> list[MemberState]:
        return [
            MemberState(
                host.name,
                host.address,
                "h",
                "r",
                host.incarnation,
                MemberPhase.ALIVE,
                contact=StoreContact.READING,
            )
            for host in self.world.hosts
            if host is self or (host.seen_alive and not host.peers_cut and not self.peers_cut)
        ]

    def _send(self, message: WorkPull, address: str) -> None:
        target = next(host for host in self.world.hosts if host.address == address)
        asyncio.get_running_loop().call_later(
            NETWORK_DELAY_SECONDS, self._receive_pull, message, target
        )

    def _receive_pull(self, message: WorkPull, target: Host) -> None:
        if not target.receives_from(self):
            return
        target.time.set_time(message.now)
        for page in target.work.pages(message.since):
            asyncio.get_running_loop().call_later(
                NETWORK_DELAY_SECONDS, self._receive_page, page, target
            )

    def _receive_page(self, page: WorkPage, source: Host) -> None:
        if self.receives_from(source):
            self.runner.receive(page)

    def receives_from(self, other: Host) -> bool:
        """Return whether datagrams of another host arrive here."""
        return (
            self.alive and self.not_frozen.is_set() and not self.peers_cut and not other.peers_cut
        )


class HostStore:
    """Access of one host to the store."""

    def __init__(self, host: Host) -> None:
        self._host = host

    async def get(self, kind: str, name: str, stale: bool = False) -> StoredObject | None:
        """Return one object."""
        del stale
        try:
            return _stored(await self._call(lambda store: store.get(kind, name)))
        except StoreStatusError:
            return None

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object."""
        return await self._write(lambda store: store.create(kind, name, spec))

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int | None = None
    ) -> StoredObject:
        """Replace an object."""
        return await self._write(lambda store: store.replace(kind, name, spec, revision))

    async def _write(self, act: Any) -> StoredObject:
        self._host.writes_in_progress += 1
        try:
            return _stored(await self._call(act))
        except StoreStatusError as error:
            if error.status == 409:
                raise RevisionConflictError from error
            raise StoreUnavailableError(str(error.status)) from error
        finally:
            self._host.writes_in_progress -= 1

    async def _call(self, act: Any) -> Any:
        host, world = self._host, self._host.world
        await host.not_frozen.wait()
        if world.store_down or host.store_cut:
            await asyncio.sleep(world.rng.choice((0.01, 2.0)))
            raise StoreUnavailableError("down")
        await asyncio.sleep(NETWORK_DELAY_SECONDS)
        if world.rng.random() < world.lost_fraction:
            await self._lose_answer(act)
        result = act(world.store)
        await asyncio.sleep(NETWORK_DELAY_SECONDS)
        await host.not_frozen.wait()
        return result

    async def _lose_answer(self, act: Any) -> None:
        """Carry out a call now or seconds later, without ever answering."""
        world = self._host.world
        asyncio.get_running_loop().call_later(
            world.rng.choice((0.0, 3.0)), _call_ignoring_errors, act, world.store
        )
        await asyncio.sleep(2.0)
        raise StoreUnavailableError("no answer")


class HostPlatform:
    """Access of one host to the calls of the platform."""

    def __init__(self, host: Host) -> None:
        self._host = host

    async def report_usage(
        self, window: int, counts: Mapping[str, int], credentials: LeaseCredentials
    ) -> CallOutcome:
        """Report a window."""
        platform, reported = self._host.world.platform, dict(counts)

        def act() -> CallOutcome:
            if not platform.carry_out(self._host.name, "usage", credentials.token):
                return CallOutcome.REFUSED
            platform.take_report(window, reported)
            return CallOutcome.DONE

        return await self._call(act)

    async def order(self, order: EngineOrder, credentials: LeaseCredentials) -> CallOutcome:
        """Order engines."""
        platform = self._host.world.platform

        def act() -> CallOutcome:
            subject = f"{order.service}/{order.hall}"
            if not platform.carry_out(self._host.name, subject, credentials.token):
                return CallOutcome.REFUSED
            if order.reclaimable and order.hall in platform.halls_without_reclaimable:
                return CallOutcome.REFUSED
            platform.engines[order.hall, order.reclaimable] = order.engines
            return CallOutcome.DONE

        return await self._call(act)

    async def _call(self, act: Any) -> CallOutcome:
        host, platform = self._host, self._host.world.platform
        await host.not_frozen.wait()
        if platform.down or host.api_cut:
            await asyncio.sleep(1.5)
            return CallOutcome.UNANSWERED
        await asyncio.sleep(NETWORK_DELAY_SECONDS)
        if platform.rng.random() < platform.late_fraction:
            asyncio.get_running_loop().call_later(platform.rng.uniform(2.0, 12.0), act)
            await asyncio.sleep(1.5)
            return CallOutcome.UNANSWERED
        result: CallOutcome = act()
        await asyncio.sleep(NETWORK_DELAY_SECONDS)
        await host.not_frozen.wait()
        return result


@dataclass
class World:
    """All hosts, the store and the platform, with the faults in force."""

    count: int
    fenced: bool = True
    seed: int = 1
    store_down: bool = False
    lost_fraction: float = 0.0
    true_counts: dict[int, dict[str, int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.store = MetadataStore()
        self.platform = FakePlatform(self.fenced, random.Random(self.seed + 1))
        self.view = UpstreamView()
        self.set_engines(14)
        self.hosts = [Host(self, index) for index in range(self.count)]

    def set_engines(self, engines: int) -> None:
        """Give each of two halls the given number of engines."""
        self.view.replace(
            [
                Upstream(f"{hall}{n}", "llm", f"10.1.0.{n}:1", hall, 12, False)
                for hall in ("east", "west")
                for n in range(engines)
            ],
            self.view.revision + 1,
        )

    def now(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def readers(self) -> list[Host]:
        """Return the hosts that read the store, which are the first ones that it serves."""
        return [host for host in self.hosts if host.alive and not host.store_cut][:4]

    def holder(self) -> Host | None:
        """Return the host that considers itself the holder, the one with the newest token."""
        held = [host for host in self.hosts if host.alive and host.runner.lease.is_held]
        return max(held, key=lambda host: host.runner.lease.token or 0, default=None)

    async def serve(self, seconds: float, rate: float = 40.0) -> None:
        """Start requests at random hosts for some time."""
        ends = self.now() + seconds
        while self.now() < ends:
            await asyncio.sleep(1.0 / rate)
            self.rng.choice(self.hosts).begin_request(self.rng.choice(TEAMS))

    def end(self) -> None:
        """Stop all processes."""
        for host in self.hosts:
            host.kill()

    def closed_windows(self) -> list[int]:
        """Return the windows whose reports are due by now, without the first one."""
        newest = int((EPOCH + self.now() - 10.0) // WINDOW)
        return sorted(window for window in self.true_counts if window < newest)[1:]

    def wrong_windows(self) -> list[tuple[int, str]]:
        """Return the windows reported late, never, or with an error of more than a twentieth."""
        wrong = []
        for window in self.closed_windows():
            reported, true_counts = self.platform.reports.get(window), self.true_counts[window]
            due = (window + 1) * WINDOW + REPORT_DEADLINE_SECONDS
            if reported is None:
                wrong.append((window, "never reported"))
            elif EPOCH + self.platform.reported_at[window] > due:
                wrong.append((window, "late"))
            elif any(
                abs(reported.get(team, 0) - n) > max(1, 0.05 * n) for team, n in true_counts.items()
            ):
                wrong.append((window, f"{reported} for {true_counts}"))
        return wrong


def _call_ignoring_errors(act: Any, store: MetadataStore) -> None:
    try:
        act(store)
    except StoreStatusError:
        pass


def _stored(item: Any) -> StoredObject:
    return StoredObject(item["metadata"]["name"], item["metadata"]["revision"], item["spec"])
