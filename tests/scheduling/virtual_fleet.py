"""A fleet of gateways and engines in virtual time: the real decisions, news with a delay."""

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
NEWS_SECONDS = 0.025
"""Until other schedulers hear of something: a batch and the way."""
EVENT_SECONDS = 0.03
EVENTS = 40
FIRST_SECONDS = 0.06


@dataclass
class Engine:
    """How an engine behaves from some moment on."""

    upstream: Upstream
    fails: float = 0.0
    """Share of its requests."""
    slow: float = 1.0
    """How many times longer it takes."""
    silent: bool = False
    sent: list[float] = field(default_factory=list)
    """When requests were sent to it."""


@dataclass
class Scheduler:
    """A gateway that places, for itself and for others."""

    name: str
    hall: str
    fleet: Fleet
    load: SharedLoad
    desk: PlacementResponder


class VirtualFleet:
    """So many gateways, each with one request a second, before 39 engines."""

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
        """Let time pass."""
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

        def tell(load: Load) -> None:
            for other in self.schedulers:
                if other.name != name:
                    self._later(NEWS_SECONDS, lambda other=other: other.load.receive(load))  # type: ignore[misc]

        def is_near(sender: str) -> bool:
            return sender.endswith(f"@{hall}")

        load = SharedLoad(name, fleet, lambda: self.now, lambda _: SERVICE, tell, is_near)
        desk = PlacementResponder(
            name,
            fleet,
            load,
            lambda _: SERVICE,
            lambda _: self.upstreams,
            lambda: True,
            StatedLimits(),
        )
        self.schedulers.append(Scheduler(name, hall, fleet, load, desk))

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
        answer = scheduler.desk.answer(ask, self.now)
        if answer.upstream:
            self._run(scheduler, sender, number, self.engines[answer.upstream])

    def _run(self, scheduler: Scheduler, sender: str, number: int, engine: Engine) -> None:
        """Have a request run, and its news told as its gateway would tell them."""
        engine.sent.append(self.now)
        news = SharedLoad(sender, Fleet(scheduler.hall), lambda: self.now, lambda _: SERVICE,
                          lambda load: self._tell(scheduler, load))  # fmt: skip
        placed = scheduler.fleet.running_request(number)
        assert placed is not None
        news.start(placed, SERVICE, announced=True)
        if engine.silent:
            self._later(0.8, lambda: news.end(number, Outcome.FAILED, 0.8))
            return
        if self.rng.random() < engine.fails:
            self._later(0.05, lambda: news.end(number, Outcome.FAILED, 0.05))
            return
        first = FIRST_SECONDS * engine.slow
        pause = EVENT_SECONDS * engine.slow
        whole = first + EVENTS * pause
        self._later(first, lambda: news.begin(number, first))
        self._later(first + 8 * pause, lambda: news.note_paced(number, pause))
        self._later(whole, lambda: news.end(number, Outcome.WHOLE, whole))

    def _tell(self, scheduler: Scheduler, load: Load) -> None:
        """Have a gateway tell its scheduler, which tells the others."""
        self._later(0.001, lambda: scheduler.load.receive(load))
        for other in self.schedulers:
            if other is not scheduler:
                self._later(NEWS_SECONDS, lambda other=other: other.load.receive(load))  # type: ignore[misc]
