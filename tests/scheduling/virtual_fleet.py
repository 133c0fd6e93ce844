"""A fleet of gateways and engines in virtual time: real decisions, updates with a delay."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import StatedLimits
from lotushill.links.messages import PlacementAsk
from lotushill.membership.schedulers import MAX_SMALL_FLEET_GATEWAYS
from lotushill.membership.schedulers import SCHEDULERS_PER_HALL
from lotushill.placement.fleet import Fleet
from lotushill.placement.messages import Outcome
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from lotushill.routing.upstream import Upstream
from lotushill.scheduling.placement_responder import PlacementResponder
from lotushill.scheduling.shared_load import SharedLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.placement.messages import Load

SERVICE = Service("llm", 1300, EngineProfile(24, 478_000, 7))
HALLS = 6
UPDATE_DELAY_SECONDS = 0.025
"""Delay until other schedulers receive an update: a batch interval and the network transit."""
EVENT_SECONDS = 0.03
EVENTS = 40
FIRST_SECONDS = 0.06


@dataclass
class Engine:
    """The current behaviour of an engine."""

    upstream: Upstream
    fails: float = 0.0
    """Fraction of its requests that fail."""
    slow: float = 1.0
    """Factor by which its requests take longer."""
    silent: bool = False
    sent: list[float] = field(default_factory=list)
    """Times at which requests were sent to it."""


@dataclass
class Scheduler:
    """A gateway that places its own requests and those of others."""

    name: str
    hall: str
    fleet: Fleet
    load: SharedLoad
    responder: PlacementResponder


class VirtualFleet:
    """`gateways` gateways, each with one request per second, in front of 39 engines by default."""

    def __init__(self, gateways: int, engines: int = 39, seed: int = 1) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.gateways = gateways
        self.engines = {
            f"e{n}": Engine(Upstream(f"e{n}", "llm", f"10.9.0.{n}:80", f"h{n % HALLS}", 24, False))
            for n in range(engines)
        }
        self.upstreams = [item.upstream for item in self.engines.values()]
        self.schedulers: list[Scheduler] = []
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        halls = min(HALLS, gateways)
        each = gateways // halls if gateways <= MAX_SMALL_FLEET_GATEWAYS else SCHEDULERS_PER_HALL
        for hall in range(halls):
            for number in range(each):
                self._add_scheduler(f"s{hall}-{number}", f"h{hall}")
        for index in range(gateways):
            self._later(self.rng.random(), lambda index=index: self._arrive(index))  # type: ignore[misc]

    def run(self, until: float) -> None:
        """Advance the virtual time to `until`."""
        while self._due and self._due[0][0] <= until:
            self.now, _, call = heapq.heappop(self._due)
            call()
        self.now = until

    def sent_between(self, engine: str, start: float, end: float) -> int:
        """Return how many requests were sent to an engine."""
        return sum(start <= at < end for at in self.engines[engine].sent)

    def _later(self, seconds: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + seconds, next(self._order), call))

    def _add_scheduler(self, name: str, hall: str) -> None:
        fleet = Fleet(hall)

        def publish(load: Load) -> None:
            for other in self.schedulers:
                if other.name != name:
                    self._later(UPDATE_DELAY_SECONDS, lambda other=other: other.load.receive(load))  # type: ignore[misc]

        def is_same_hall(sender: str) -> bool:
            return sender.endswith(f"@{hall}")

        load = SharedLoad(name, fleet, lambda: self.now, lambda _: SERVICE, publish, is_same_hall)
        responder = PlacementResponder(
            name,
            fleet,
            load,
            lambda _: SERVICE,
            lambda _: self.upstreams,
            lambda: True,
            StatedLimits(),
        )
        self.schedulers.append(Scheduler(name, hall, fleet, load, responder))

    def _arrive(self, index: int) -> None:
        self._later(self.rng.uniform(0.7, 1.3), lambda: self._arrive(index))
        halls = len({item.hall for item in self.schedulers})
        near = [item for item in self.schedulers if item.hall == f"h{index % halls}"]
        scheduler = (
            near[index // halls % len(near)]
            if self.gateways <= MAX_SMALL_FLEET_GATEWAYS
            else near[0]
        )
        sender = f"gw{index}@{scheduler.hall}"
        number = next(self._numbers)
        own, shared = self.rng.randrange(10**9), self.rng.randrange(60)
        ask = PlacementAsk(
            sender, number, "llm", "chat", 0.26, 0.15, 10.0, True, False, False,
            826, 200, (shared, own), (198, 628), 1, (),
        )  # fmt: skip
        answer = scheduler.responder.answer(ask, self.now)
        if answer.upstream:
            self._run(scheduler, sender, number, self.engines[answer.upstream])

    def _run(self, scheduler: Scheduler, sender: str, number: int, engine: Engine) -> None:
        """Run a request, and send its updates as its gateway would send them."""
        engine.sent.append(self.now)
        gateway_load = SharedLoad(
            sender,
            Fleet(scheduler.hall),
            lambda: self.now,
            lambda _: SERVICE,
            lambda load: self._send_update(scheduler, load),
        )
        placed = scheduler.fleet.running_request(number)
        assert placed is not None
        gateway_load.start(placed, SERVICE, announced=True)
        if engine.silent:
            self._later(0.8, lambda: gateway_load.end(number, Outcome.FAILED, 0.8))
            return
        if self.rng.random() < engine.fails:
            self._later(0.05, lambda: gateway_load.end(number, Outcome.FAILED, 0.05))
            return
        first = FIRST_SECONDS * engine.slow
        pause = EVENT_SECONDS * engine.slow
        total = first + EVENTS * pause
        self._later(first, lambda: gateway_load.begin(number, first))
        self._later(first + 8 * pause, lambda: gateway_load.note_paced(number, pause))
        self._later(total, lambda: gateway_load.end(number, Outcome.WHOLE, total))

    def _send_update(self, scheduler: Scheduler, load: Load) -> None:
        """Send an update to the scheduler of a gateway, which forwards it to the others."""
        self._later(0.001, lambda: scheduler.load.receive(load))
        for other in self.schedulers:
            if other is not scheduler:
                self._later(UPDATE_DELAY_SECONDS, lambda other=other: other.load.receive(load))  # type: ignore[misc]
