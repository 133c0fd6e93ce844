"""One soak run: a fault plan, real gateways, engines that restart, and clients throughout."""

from __future__ import annotations

import asyncio
import math
import random
import signal
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from lotushill.links.http_server import HttpServer
from lotushill.standin.metadata_app import MetadataApp
from lotushill.standin.metadata_app import StoreFault
from lotushill.standin.metadata_store import MetadataStore
from tests.console.test_gateway_program import SPEC
from tests.entries import entry
from tests.requests.rig import ScriptedUpstream
from tests.soak.client import Client
from tests.soak.engine import KIND
from tests.soak.engine import Engine
from tests.soak.gateways import Gateways
from tests.soak.ledger import Absence
from tests.soak.ledger import Ledger
from tests.soak.plan import QUIET_SECONDS
from tests.soak.plan import Deed
from tests.soak.plan import draw
from tests.soak.plan import draw_limits
from tests.soak.plan import draw_words

if TYPE_CHECKING:
    from tests.requests.rig import ReceivedRequest
    from tests.soak.plan import Step

_GATEWAYS = 4
_ENGINES = 8
_CLIENTS = 16
_PAUSE_SECONDS = 0.25
_DEADLY_PAUSE_SECONDS = 0.35
_SETTLED_SECONDS = 2.0
_ODD = (
    {"address": "here"},
    {"address": None},
    {"slots": float("inf")},
    {"state": "standby"},
    {"state": None},
    {"service": ["app"]},
    {"zone": 7},
    {"seqNo": "one"},
    {"born": 1.5},
    {"coldRemainingMs": -1},
)
"""Fields that make an entry malformed; entries with a usable address point to a decoy."""
_TROUBLES = (StoreFault.BUSY, StoreFault.SILENT, StoreFault.MANY)


@dataclass(frozen=True)
class Result:
    """Outcome of a soak run."""

    faults: list[str]
    errors: list[str]
    late_sends: int
    engines_ended: int
    """Number of engines crashed by the deadly request."""
    ended_by_varying: int
    """Number of engines crashed by deadly requests with varying bodies."""
    rests: int
    leavings: int
    limited_runs: dict[str, int]
    """Requests run at each engine incarnation that ever stated a limit."""
    served: tuple[int, int]
    """Ordinary requests in the quiet time at the end: number served, number sent."""
    common_served: tuple[int, int]
    idle_engines: set[str]
    """Names of engines that received no requests in the quiet time."""
    tries: int

    @property
    def share(self) -> float:
        """Return the fraction of ordinary and common requests that were served at the end."""
        served = self.served[0] + self.common_served[0]
        return served / max(1, self.served[1] + self.common_served[1])


class Soak:
    """Store, engines, gateways and clients of one run."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        words: bool = True,
        limits: bool = False,
        plan: list[Step] | None = None,
    ) -> None:
        """Prepare a run with the plan drawn from `seed`.

        With `words`, engines reject requests and announce that they leave, and a second client
        sends deadly requests with varying bodies. With `limits`, engines state limits as well.
        Neither changes the other steps of a seed. With an explicit `plan`, only ordinary clients
        send requests.
        """
        self._words = words and plan is None
        self._deadly = plan is None
        self._rng = random.Random(seed)
        self._seconds = seconds
        steps = draw(seed, seconds) + (draw_words(seed, seconds) if words else [])
        steps += draw_limits(seed, seconds) if limits else []
        self._plan = sorted(steps if plan is None else plan, key=lambda step: step.at)
        self._store = MetadataStore()
        self._app = MetadataApp(self._store)
        self._server = HttpServer(self._app, "127.0.0.1:0")
        self._ledger = Ledger()
        self._engines = [
            Engine(f"i-{number}", self._store, self._ledger, self._rng)
            for number in range(_ENGINES)
        ]
        self._decoy = ScriptedUpstream([self._count_odd])
        self._gateways: Gateways | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._version = 3
        self._own_faults: list[str] = []

    async def run(self) -> Result:
        """Run the plan to its end and return the outcome."""
        serving = asyncio.create_task(self._server.serve())
        await self._server.wait_started()
        await self._decoy.start()
        self._put_configuration()
        for engine in self._engines:
            await engine.start()
        with tempfile.TemporaryDirectory(prefix="lotushill-soak-") as folder:
            self._gateways = Gateways(Path(folder), self._server.address, _GATEWAYS)
            self._gateways.on_absence = self._note_absence
            self._gateways.on_restart = self._note_restart
            await self._gateways.start()
            try:
                quiet_since = await self._play()
            finally:
                for task in self._tasks:
                    task.cancel()
                await asyncio.gather(*self._tasks, return_exceptions=True)
                await self._gateways.end()
                for engine in self._engines:
                    await engine.stop()
                await self._decoy.close()
                self._server.abort()
                serving.cancel()
                await asyncio.gather(serving, return_exceptions=True)
        return self._result(quiet_since)

    async def _play(self) -> float:
        assert self._gateways is not None
        addresses = [gateway.clients for gateway in self._gateways.all]
        for number in range(_CLIENTS):
            client = Client(addresses, self._ledger, random.Random(number))
            self._later(client.run(_PAUSE_SECONDS))
        began = time.monotonic()
        if self._deadly:
            deadly = Client(addresses, self._ledger, random.Random(99))
            self._later(deadly.run(_DEADLY_PAUSE_SECONDS, "deadly"))
        if self._words:
            varying = Client(addresses, self._ledger, random.Random(98))
            self._later(varying.run(_DEADLY_PAUSE_SECONDS, "varying"))
        for step in self._plan:
            await asyncio.sleep(max(0.0, began + step.at - time.monotonic()))
            self._later(self._do(step))
        quiet = began + self._seconds - QUIET_SECONDS + _SETTLED_SECONDS
        await asyncio.sleep(max(0.0, quiet - time.monotonic()))
        since = time.monotonic()
        await asyncio.sleep(QUIET_SECONDS - _SETTLED_SECONDS)
        return since

    def _result(self, since: float) -> Result:
        assert self._gateways is not None
        once, sent_once = self._ledger.served("once", since)
        other, sent_other = self._ledger.served("any", since)
        streams, sent_streams = self._ledger.served("stream", since)
        used = {life.partition("@")[0] for life in self._ledger.engines_used(since)}
        ours = [
            str(line)
            for line in self._gateways.lines
            if line.get("event") in ("request.fault", "task.failed", "watch.fault")
        ]
        return Result(
            faults=self._ledger.faults(),
            errors=self._gateways.errors + ours + self._own_faults,
            late_sends=self._ledger.late_sends(),
            engines_ended=len(self._ledger.deadly_ends),
            ended_by_varying=len(self._ledger.varying_ends),
            rests=len(self._ledger.rests),
            leavings=len(self._ledger.leavings),
            limited_runs=self._ledger.limited_runs(),
            served=(once + other + streams, sent_once + sent_other + sent_streams),
            common_served=self._ledger.served("common", since),
            idle_engines={engine.name for engine in self._engines} - used,
            tries=len(self._ledger.answers),
        )

    def _note_absence(self, gateway: str, since: float, until: float) -> None:
        self._ledger.absences.append(Absence(gateway, since, until))

    def _note_restart(self, gateway: str, at: float) -> None:
        self._ledger.restarts.append(Absence(gateway, at, at))

    async def _do(self, step: Step) -> None:
        assert self._gateways is not None
        gateway = self._gateways.all[step.pick % _GATEWAYS]
        engine = self._engines[step.pick % _ENGINES]
        match step.deed:
            case Deed.KILL_GATEWAY:
                self._gateways.kill(gateway)
            case Deed.STOP_GATEWAY:
                self._gateways.signal(gateway, signal.SIGTERM)
            case Deed.RELOAD_GATEWAY:
                self._gateways.signal(gateway, signal.SIGHUP)
            case Deed.FREEZE_GATEWAY:
                await self._gateways.freeze(gateway, step.seconds)
            case Deed.KILL_ALL_GATEWAYS:
                for each in self._gateways.all:
                    self._gateways.kill(each)
            case Deed.END_ENGINE:
                await engine.end()
            case Deed.DRAIN_ENGINE:
                await engine.drain()
            case Deed.PUT_ODD_ENTRY:
                self._put_odd(step.pick)
            case Deed.SPOIL_ENTRY:
                await self._spoil(engine, step.seconds)
            case Deed.CHANGE_CONFIGURATION:
                self._version += 1
                self._put_configuration()
            case Deed.SHED_ENGINE:
                engine.shed(step.seconds)
            case Deed.SHED_ALL_ENGINES:
                for each_engine in self._engines:
                    each_engine.shed(step.seconds / 2)
            case Deed.LIMIT_ENGINE:
                engine.limit(step.rate)
            case Deed.LIMIT_ALL_ENGINES:
                for each_engine in self._engines:
                    each_engine.limit(step.rate)
            case Deed.LIFT_LIMITS:
                for each_engine in self._engines:
                    each_engine.limit(math.inf)
            case Deed.LEAVE_BY_WORD:
                await engine.leave_by_word()
            case Deed.TROUBLE_STORE:
                self._app.fault = _TROUBLES[step.pick % len(_TROUBLES)]
                await asyncio.sleep(step.seconds)
                self._app.fault = StoreFault.NONE

    def _put_odd(self, pick: int) -> None:
        odd: dict[str, Any] = _ODD[pick % len(_ODD)]
        spec = {**entry("app", self._decoy.address), **odd}
        self._store.put(KIND, f"odd-{pick % len(_ODD)}", spec)

    async def _spoil(self, engine: Engine, seconds: float) -> None:
        engine.spoil()
        await asyncio.sleep(seconds)
        engine.tell_again()

    def _put_configuration(self) -> None:
        route: dict[str, Any] = SPEC["routes"][0]  # type: ignore[index]
        idempotent = {**route, "kind": "idempotent", "maxAttempts": 3}
        once = {**route, "name": "once", "pathPrefix": "/once/"}
        stream = {
            **idempotent,
            "name": "stream",
            "pathPrefix": "/stream/",
            "kind": "stream",
            "streamResume": True,
        }
        spec = {**SPEC, "version": self._version, "routes": [idempotent, once, stream]}
        self._store.put("config", "main", spec)

    async def _count_odd(self, seen: ReceivedRequest) -> None:
        self._ledger.odd_requests += 1
        seen.reset()

    def _later(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._own_faults.append(f"task of the soak test failed: {task.exception()!r}")
