"""Run of real gateways before engines that fall over if they have to reject too often."""

from __future__ import annotations

import asyncio
import math
import random
import tempfile
import time
from collections import Counter
from collections import deque
from dataclasses import dataclass
from pathlib import Path

from lotushill.links.http_server import HttpServer
from lotushill.standin.metadata_app import MetadataApp
from lotushill.standin.metadata_store import MetadataStore
from tests.console.test_gateway_program import free_address
from tests.entries import entry
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import read_answer
from tests.requests.rig import request_bytes
from tests.soak.configuration import soak_configuration
from tests.soak.engine import KIND
from tests.soak.gateways import Gateways

ENGINE_COUNT = 6
_SLOTS = 3
_WORK_SECONDS = 0.3
BEARABLE_PER_SECOND = ENGINE_COUNT * _SLOTS / _WORK_SECONDS
_MAX_REJECTIONS_PER_SECOND = 6
"""Rejections in one second from which one more makes a brittle engine fall over; stated in its
answers."""
_USUAL_WAITING = 6
_BRITTLE_WAITING = 1
"""Requests that an engine lets wait, as a rule and once it is brittle."""
_BRITTLE_AFTER_SECONDS = 3.0
"""Time after the first statement from which fewer wait."""
_DOWN_SECONDS = 2.5
_STATED_AT_SECONDS = 3.0
_DEADLINE_SECONDS = 2.0


class BrittleEngine:
    """Engine with few slots that states after a while that it is brittle."""

    def __init__(self, name: str, store: MetadataStore) -> None:
        self.name = name
        self._store = store
        self._states_at = self._brittle_at = math.inf
        self._slots = asyncio.Semaphore(_SLOTS)
        self._present = 0
        self._rejected_at: deque[float] = deque()
        self._server: ScriptedUpstream | None = None
        self._restart: asyncio.Task[None] | None = None
        self.falls = 0
        self.served_at: list[float] = []

    def become_brittle(self, at: float) -> None:
        """State from a time on that the engine is brittle, and be so a while later."""
        self._states_at, self._brittle_at = at, at + _BRITTLE_AFTER_SECONDS

    async def start(self) -> None:
        """Listen, and write the entry with the new address."""
        self._present, self._slots = 0, asyncio.Semaphore(_SLOTS)
        self._rejected_at.clear()
        self._server = ScriptedUpstream([self._handle])
        await self._server.start()
        self._store.put(KIND, self.name, entry("app", self._server.address, slots=_SLOTS))

    async def stop(self) -> None:
        """Stop without a restart."""
        if self._restart is not None:
            self._restart.cancel()
        if self._server is not None:
            await self._server.close()

    async def _handle(self, seen: ReceivedRequest) -> None:
        now = time.monotonic()
        stated = (
            f"Server-Brittle: {_MAX_REJECTIONS_PER_SECOND}\r\n" if now >= self._states_at else ""
        )
        waiting = _BRITTLE_WAITING if now >= self._brittle_at else _USUAL_WAITING
        if self._present >= _SLOTS + waiting:
            self._reject(seen, stated, now)
            return
        self._present += 1
        try:
            async with self._slots:
                await asyncio.sleep(_WORK_SECONDS)
        finally:
            self._present -= 1
        self.served_at.append(time.monotonic())
        seen.answer(f"200 OK\r\n{stated}Content-Length: 4\r\nResponse-Signature: s1\r\n", b"done")

    def _reject(self, seen: ReceivedRequest, stated: str, now: float) -> None:
        self._rejected_at.append(now)
        while self._rejected_at[0] < now - 1.0:
            self._rejected_at.popleft()
        if now >= self._brittle_at and len(self._rejected_at) > _MAX_REJECTIONS_PER_SECOND:
            self.falls += 1
            assert self._server is not None
            self._restart = asyncio.create_task(self._start_later())
            self._server.crash(seen)
        seen.answer(f"503 Full\r\n{stated}Not-Executed: 1\r\nContent-Length: 0\r\n")

    async def _start_later(self) -> None:
        await asyncio.sleep(_DOWN_SECONDS)
        await self.start()


@dataclass(frozen=True)
class BrittleResult:
    """What became of the requests and of the engines."""

    falls: int
    work_fraction: float
    """Work done since the engines are brittle, of what they bear."""
    statuses: Counter[int]
    errors: list[str]


async def run_brittle(
    per_second: float, seconds: float, gateways: int = 9, seed: int = 1
) -> BrittleResult:
    """Send requests at a rate for some seconds, whatever becomes of them."""
    store = MetadataStore()
    server = HttpServer(MetadataApp(store), free_address())
    serving = asyncio.create_task(server.serve())
    await server.wait_started()
    store.put("config", "main", soak_configuration(3, None))
    rng = random.Random(seed)
    statuses: Counter[int] = Counter()
    tasks: set[asyncio.Task[None]] = set()
    with tempfile.TemporaryDirectory(prefix="lotushill-brittle-") as folder:
        fleet = Gateways(Path(folder), server.address, gateways, {}, halls=3)
        engines = [BrittleEngine(f"i-{n}", store) for n in range(ENGINE_COUNT)]
        for engine in engines:
            await engine.start()
        await fleet.start()
        began = time.monotonic()
        for engine in engines:
            engine.become_brittle(began + _STATED_AT_SECONDS)
        try:
            count = 0
            while (now := time.monotonic()) < began + seconds:
                while count < (now - began) * per_second:
                    count += 1
                    address = rng.choice(fleet.all).clients
                    task = asyncio.create_task(_send(f"a{count}", address, statuses))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                await asyncio.sleep(0.005)
            ended = time.monotonic()
            await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            await fleet.kill_all()
            for engine in engines:
                await engine.stop()
            server.abort()
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
    since = began + _STATED_AT_SECONDS + _BRITTLE_AFTER_SECONDS
    done = sum(since <= at < ended for engine in engines for at in engine.served_at)
    return BrittleResult(
        falls=sum(engine.falls for engine in engines),
        work_fraction=done / (BEARABLE_PER_SECOND * (ended - since)),
        statuses=statuses,
        errors=fleet.errors,
    )


async def _send(attempt: str, address: str, statuses: Counter[int]) -> None:
    host, _, port = address.partition(":")
    status = 0
    try:
        async with asyncio.timeout(_DEADLINE_SECONDS + 1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            headers = f"Deadline-Ms: {int(_DEADLINE_SECONDS * 1000)}\r\nConnection: close\r\n"
            writer.write(request_bytes(attempt, headers, b"body", "/p/x"))
            status = (await read_answer(reader)).status
            writer.close()
    except (OSError, TimeoutError):
        pass
    statuses[status] += 1
