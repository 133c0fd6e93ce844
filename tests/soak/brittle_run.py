"""Run of real gateways before engines that fall over if they have to reject too often."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

from lotushill.links.http_server import HttpServer
from lotushill.standin.free_address import free_address
from lotushill.standin.metadata_app import MetadataApp
from lotushill.standin.metadata_store import MetadataStore
from tests.requests.rig import read_answer
from tests.requests.rig import request_bytes
from tests.soak.brittle_engine import BRITTLE_AFTER_SECONDS
from tests.soak.brittle_engine import BrittleEngine
from tests.soak.brittle_engine import EngineShape
from tests.soak.brittle_engine import Fall
from tests.soak.configuration import soak_configuration
from tests.soak.gateways import Gateways

_STATED_AT_SECONDS = 3.0
_DEADLINE_SECONDS = 2.0
_MAX_BEARABLE_PER_SECOND = 80.0
"""Most requests per second that the engines of a drawn run work on together."""


@dataclass(frozen=True)
class Burst:
    """A time in which clients send a multiple of the usual rate."""

    at: float
    seconds: float
    factor: float


@dataclass(frozen=True)
class BrittlePlan:
    """Sizes, load and faults of one run; times in seconds from the start of the load."""

    seconds: float = 16.0
    gateways: int = 9
    halls: int = 3
    engines: int = 6
    shape: EngineShape = field(default_factory=EngineShape)
    overload: float = 2.2
    """Usual rate of requests relative to what the engines bear."""
    bursts: tuple[Burst, ...] = ()
    engine_ends: tuple[tuple[float, int], ...] = ()
    """Times at which so many engines end at the same moment for reasons of their own."""
    engines_added: tuple[tuple[float, int], ...] = ()
    """Times at which so many more engines start."""
    gateway_kills: tuple[tuple[float, int], ...] = ()
    """Times at which so many gateways are killed."""
    deadline_seconds: float = _DEADLINE_SECONDS
    seed: int = 1

    @property
    def bearable_per_second(self) -> float:
        """Requests per second that the first engines can work on together."""
        return self.engines * self.shape.slots / self.shape.work_seconds

    @property
    def max_falls(self) -> float:
        """Number of falls that the engines may have in one time in which they are brittle."""
        return 2 + 0.1 * self.engines


@dataclass(frozen=True)
class BrittleResult:
    """What became of the requests and of the engines."""

    falls: list[Fall]
    """Times are relative to the start of the load."""
    rejections: int
    """Requests that engines rejected since they are brittle."""
    work_fraction: float
    """Work done since the engines are brittle, of what those that were up bore."""
    statuses: Counter[int]
    errors: list[str]
    log_lines: list[dict[str, object]]


class _Run:
    """The parts of one run, and its faults."""

    def __init__(self, plan: BrittlePlan, store: MetadataStore, fleet: Gateways) -> None:
        self._plan = plan
        self._store = store
        self._fleet = fleet
        self._rng = random.Random(plan.seed)
        self._statuses: Counter[int] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self.engines = [self._create_engine(number) for number in range(plan.engines)]
        self._up_seconds = 0.0

    def _create_engine(self, number: int) -> BrittleEngine:
        return BrittleEngine(f"i-{number}", self._store, self._plan.shape)

    async def play(self) -> BrittleResult:
        """Send requests and inject the faults; return the result after the last answer."""
        plan = self._plan
        began = time.monotonic()
        for engine in self.engines:
            engine.become_brittle(began + _STATED_AT_SECONDS)
        faults = [asyncio.create_task(self._inject_faults(began))]
        since = began + _STATED_AT_SECONDS + BRITTLE_AFTER_SECONDS
        await self._send_requests(began, since)
        ended = time.monotonic()
        for task in faults:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        done = sum(since <= at < ended for engine in self.engines for at in engine.served_at)
        rejected = sum(since <= at < ended for engine in self.engines for at in engine.rejected_at)
        falls = [fall for engine in self.engines for fall in engine.falls]
        return BrittleResult(
            falls=sorted(
                (Fall(item.engine, item.at - began, item.rejections) for item in falls),
                key=lambda item: item.at,
            ),
            rejections=rejected,
            work_fraction=done * plan.shape.work_seconds / (plan.shape.slots * self._up_seconds),
            statuses=self._statuses,
            errors=self._fleet.errors,
            log_lines=self._fleet.log_lines,
        )

    async def _send_requests(self, began: float, since: float) -> None:
        plan = self._plan
        due, last = 0.0, began
        count = 0
        while (now := time.monotonic()) < began + plan.seconds:
            due += (now - last) * self._rate(now - began)
            if now >= since:
                self._up_seconds += (now - last) * sum(engine.is_up for engine in self.engines)
            last = now
            while count < due:
                count += 1
                address = self._rng.choice(self._fleet.all).clients
                self._start_task(_send(f"a{count}", address, plan.deadline_seconds, self._statuses))
            await asyncio.sleep(0.005)

    def _rate(self, at: float) -> float:
        factors = [
            burst.factor for burst in self._plan.bursts if burst.at <= at < burst.at + burst.seconds
        ]
        return self._plan.overload * self._plan.bearable_per_second * max([1.0, *factors])

    async def _inject_faults(self, began: float) -> None:
        plan = self._plan
        faults = sorted(
            [
                *((at, count, self._end_engines) for at, count in plan.engine_ends),
                *((at, count, self._add_engines) for at, count in plan.engines_added),
                *((at, count, self._kill_gateways) for at, count in plan.gateway_kills),
            ],
            key=lambda item: item[0],
        )
        for at, count, inject in faults:
            await asyncio.sleep(began + at - time.monotonic())
            await inject(count)

    async def _end_engines(self, count: int) -> None:
        up = [engine for engine in self.engines if engine.is_up]
        chosen = self._rng.sample(up, min(count, len(up)))
        await asyncio.gather(*(engine.end() for engine in chosen))

    async def _add_engines(self, count: int) -> None:
        for _ in range(count):
            engine = self._create_engine(len(self.engines))
            engine.become_brittle(time.monotonic() - BRITTLE_AFTER_SECONDS)
            self.engines.append(engine)
            await engine.start()

    async def _kill_gateways(self, count: int) -> None:
        for gateway in self._rng.sample(self._fleet.all, count):
            self._fleet.kill(gateway)

    def _start_task(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def draw_plan(seed: int, seconds: float) -> BrittlePlan:
    """Return a plan with sizes, faults and bursts drawn from a seed."""
    rng = random.Random(f"{seed} brittle")
    shape = EngineShape(
        slots=rng.choice((2, 4, 6, 8)),
        work_seconds=rng.choice((0.3, 0.6, 0.9)),
        brittle_waiting=rng.choice((0, 1, 2)),
        max_rejections=rng.choice((0, 1, 3, 6, 20)),
        down_seconds=rng.uniform(1.0, 3.0),
    )
    # One process has to serve all engines and clients of a run.
    engines = max(2, min(12, int(_MAX_BEARABLE_PER_SECOND * shape.work_seconds / shape.slots)))
    gateways = rng.choice((6, 9, 18, 24))
    first = _STATED_AT_SECONDS + BRITTLE_AFTER_SECONDS

    def times(most: int) -> list[float]:
        return sorted(rng.uniform(first, seconds - 2.0) for _ in range(rng.randint(0, most)))

    return BrittlePlan(
        seconds=seconds,
        gateways=gateways,
        engines=engines,
        shape=shape,
        overload=rng.choice((0.7, 1.2, 2.0)),
        bursts=tuple(Burst(at, 1.0, 2.0) for at in times(2)),
        engine_ends=tuple((at, rng.randint(1, max(1, engines // 2))) for at in times(3)),
        engines_added=tuple((at, rng.randint(1, 2)) for at in times(1)),
        gateway_kills=tuple((at, rng.randint(1, gateways // 3)) for at in times(2)),
        seed=seed,
    )


async def run_brittle(plan: BrittlePlan) -> BrittleResult:
    """Send requests by a plan to real gateways before engines that become brittle."""
    store = MetadataStore()
    server = HttpServer(MetadataApp(store), free_address())
    serving = asyncio.create_task(server.serve())
    await server.wait_started()
    store.put("config", "main", soak_configuration(3, None))
    with tempfile.TemporaryDirectory(prefix="lotushill-brittle-") as folder:
        fleet = Gateways(Path(folder), server.address, plan.gateways, {}, halls=plan.halls)
        run = _Run(plan, store, fleet)
        for engine in run.engines:
            await engine.start()
        await fleet.start()
        try:
            return await run.play()
        finally:
            await fleet.kill_all()
            for engine in run.engines:
                await engine.stop()
            server.abort()
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)


async def _send(
    attempt: str, address: str, deadline_seconds: float, statuses: Counter[int]
) -> None:
    host, _, port = address.partition(":")
    status = 0
    try:
        async with asyncio.timeout(deadline_seconds + 1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            headers = f"Deadline-Ms: {int(deadline_seconds * 1000)}\r\nConnection: close\r\n"
            writer.write(request_bytes(attempt, headers, b"body", "/p/x"))
            status = (await read_answer(reader)).status
            writer.close()
    except (OSError, TimeoutError):
        pass
    statuses[status] += 1
