"""The policy experiment: a router against fake engines, in virtual time."""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING

from lotushill.dispatch.messages import EndKind
from lotushill.dispatch.options import CellOptions
from lotushill.dispatch.placement import Contention
from lotushill.load.arrivals import Request
from lotushill.load.arrivals import draw
from lotushill.load.fake_engine import FakeEngine
from lotushill.load.fake_engine import Run
from lotushill.load.lost_dispatcher import LostDispatcherRouter
from lotushill.load.routers import Action
from lotushill.load.routers import CellRouter
from lotushill.load.routers import Drop
from lotushill.load.routers import LeastReported
from lotushill.load.routers import Place
from lotushill.load.routers import Pooled
from lotushill.load.routers import RoundRobin
from lotushill.load.routers import Router
from lotushill.load.routers import Stop
from lotushill.load.routers import TwoChoices
from lotushill.load.shapes import EngineShape

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.load.shapes import Shape

MESSAGE_SECONDS = 0.0005
"""One way between an entry and the dispatcher."""
_TICK_SECONDS = 0.02
_WARM_UP = 10.0
_MAX_ATTEMPTS = 4
_DOWN_SECONDS = 10.0
_CRASH_PERIOD = 60.0
_FIRST_CRASH = 15.0


@dataclass
class Fate:
    """What became of one request."""

    request: Request
    attempt: int = 0
    already: int = 0
    """Output tokens that the caller has."""
    engine: str = ""
    first_token: float = 0.0
    ended: float = 0.0
    outcome: str = "open"
    wasted: int = 0


@dataclass
class ClassResult:
    """Figures of one class."""

    requests: int = 0
    completed: int = 0
    refused: int = 0
    attained: int = 0

    @property
    def attainment(self) -> float:
        """Return the share of all requests that met their target."""
        return self.attained / self.requests if self.requests else 1.0


@dataclass
class Result:
    """Figures of one run; tokens are output tokens."""

    classes: dict[str, ClassResult] = field(default_factory=dict)
    good_tokens: int = 0
    """Of answers that became whole between the warm-up and the end of the arrivals."""
    whole_tokens: int = 0
    """Of all answers that were whole, late in the run or not."""
    wasted_tokens: int = 0
    team_tokens: dict[str, int] = field(default_factory=dict)

    @property
    def wasted_share(self) -> float:
        """Return wasted tokens over all that were produced."""
        total = self.whole_tokens + self.wasted_tokens
        return self.wasted_tokens / total if total else 0.0


class Experiment:
    """One run of one router."""

    def __init__(
        self,
        requests: list[Request],
        engines: dict[str, FakeEngine],
        router: Router,
        resumes: bool,
        crashes: bool,
    ) -> None:
        self._engines = engines
        self._router = router
        self._resumes = resumes
        self._fates = {request.name: Fate(request) for request in requests}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.now = 0.0
        for request in requests:
            self._at(request.at + MESSAGE_SECONDS, partial(self._arrive, request))
            self._at(request.at + request.klass.deadline, partial(self._expire, request))
        self._last = max(request.at + request.klass.deadline for request in requests)
        self._at(_TICK_SECONDS, self._tick)
        if crashes:
            for index, name in enumerate(engines):
                self._at(_FIRST_CRASH + index * _CRASH_PERIOD, partial(self._crash, name))

    def run(self, until: float) -> Result:
        """Run to the end and return the figures of requests that came after the warm-up."""
        while self._events and self.now <= self._last:
            self.now, _, event = heapq.heappop(self._events)
            event()
        return self._figures(until)

    # Events

    def _at(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), event))

    def _arrive(self, request: Request) -> None:
        fate = self._fates[request.name]
        self._act(self._router.ask(request, fate.attempt, fate.already, self.now))

    def _tick(self) -> None:
        self._act(self._router.tick(self.now))
        self._at(self.now + _TICK_SECONDS, self._tick)

    def _expire(self, request: Request) -> None:
        """The caller's deadline passes: it goes away, and what it had is wasted."""
        fate = self._fates[request.name]
        if fate.outcome != "open":
            return
        fate.outcome = "expired"
        run = self._engines[fate.engine].remove(request.name) if fate.engine else None
        fate.wasted += fate.already + (run.produced if run else 0)
        self._act(self._router.cancel(request, self.now))

    def _act(self, actions: list[Action]) -> None:
        for action in actions:
            fate = self._fates[action.request]
            if isinstance(action, Place):
                fate.engine = action.engine
                due = self.now + MESSAGE_SECONDS
                self._at(due, partial(self._start, fate, action))
            elif isinstance(action, Drop):
                self._drop(fate)
            elif isinstance(action, Stop):
                self._interrupt(fate, EndKind.PREEMPTED)

    def _drop(self, fate: Fate) -> None:
        fate.outcome = "refused" if not fate.already else "failed"
        fate.wasted += fate.already

    def _start(self, fate: Fate, place: Place) -> None:
        if fate.outcome != "open":
            return
        engine = self._engines[place.engine]
        if not engine.alive:
            self._retry(fate, EndKind.NOT_SENT)
            return
        engine.add(fate.request, fate.attempt, place.priority, fate.already, self.now)
        self._schedule(engine)

    def _schedule(self, engine: FakeEngine) -> None:
        if not engine.step_scheduled and engine.runs:
            engine.step_scheduled = True
            self._at(self.now + engine.shape.step, lambda: self._step(engine))

    def _step(self, engine: FakeEngine) -> None:
        ended = engine.step(self.now)
        engine.step_scheduled = False
        for run in ended:
            self._complete(run)
        self._schedule(engine)

    def _complete(self, run: Run) -> None:
        fate = self._fates[run.request.name]
        fate.outcome = "completed"
        fate.ended = self.now
        fate.first_token = fate.first_token or run.first_token
        first = run.first_token - run.started
        self._act(
            self._router.end(
                run.request, run.attempt, EndKind.COMPLETED, run.produced, first, self.now
            )
        )

    def _crash(self, name: str) -> None:
        engine = self._engines[name]
        for run in engine.crash():
            fate = self._fates[run.request.name]
            self._keep(fate, run)
            self._retry(fate, EndKind.BROKEN, run.produced)
        self._at(self.now + _DOWN_SECONDS, lambda: self._revive(engine))

    def _revive(self, engine: FakeEngine) -> None:
        engine.alive = True

    def _interrupt(self, fate: Fate, kind: EndKind) -> None:
        run = self._engines[fate.engine].remove(fate.request.name)
        if run is not None:
            self._keep(fate, run)
        self._retry(fate, kind, run.produced if run else 0)

    def _keep(self, fate: Fate, run: Run) -> None:
        """Keep what a broken attempt gave, where another engine can go on from it."""
        if self._resumes:
            fate.already += run.produced
            fate.first_token = fate.first_token or run.first_token
        else:
            fate.wasted += run.produced

    def _retry(self, fate: Fate, kind: EndKind, tokens: int = 0) -> None:
        request = fate.request
        self._act(self._router.end(request, fate.attempt, kind, tokens, 0.0, self.now))
        if fate.outcome != "open":
            return
        fate.attempt += 1
        fate.engine = ""
        if fate.attempt >= _MAX_ATTEMPTS and kind is not EndKind.PREEMPTED:
            self._drop(fate)
            return
        self._at(self.now + MESSAGE_SECONDS, lambda: self._ask_again(fate))

    def _ask_again(self, fate: Fate) -> None:
        if fate.outcome == "open":
            self._arrive(fate.request)

    # Figures

    def _figures(self, until: float) -> Result:
        result = Result()
        tokens: dict[str, int] = defaultdict(int)
        for fate in self._fates.values():
            request = fate.request
            if fate.outcome == "completed" and _WARM_UP <= fate.ended <= until:
                result.good_tokens += request.output
                tokens[request.team] += request.output
            if request.at < _WARM_UP:
                continue
            figures = result.classes.setdefault(request.klass.name, ClassResult())
            figures.requests += 1
            figures.refused += fate.outcome == "refused"
            result.wasted_tokens += fate.wasted
            if fate.outcome != "completed":
                continue
            figures.completed += 1
            figures.attained += _in_time(fate)
            result.whole_tokens += request.output
        result.team_tokens = dict(tokens)
        return result


def _in_time(fate: Fate) -> bool:
    target = fate.request.klass.target
    return not target or fate.first_token - fate.request.at <= target


@dataclass(frozen=True)
class Policy:
    """One policy to compare."""

    name: str
    make: Callable[[dict[str, FakeEngine], int], Router]
    honours_priority: bool = True
    resumes: bool = True


def _cell(**changes: object) -> Callable[[dict[str, FakeEngine], int], Router]:
    def make(engines: dict[str, FakeEngine], seed: int) -> Router:
        return CellRouter(engines, CellOptions(**changes))  # type: ignore[arg-type]

    return make


def _hall_cells(engines: dict[str, FakeEngine], seed: int) -> Router:
    return CellRouter(engines, CellOptions(), by_hall=True)


def _lost(seconds: float, fallback: bool) -> Callable[[dict[str, FakeEngine], int], Router]:
    def make(engines: dict[str, FakeEngine], seed: int) -> Router:
        return LostDispatcherRouter(engines, CellOptions(), seconds, fallback)

    return make


POLICIES = (
    Policy("lotushill", _cell()),
    Policy("round-robin-fcfs", RoundRobin, honours_priority=False, resumes=False),
    Policy("round-robin", RoundRobin, resumes=False),
    Policy("least-reported", LeastReported, resumes=False),
    Policy("two-choices", TwoChoices, resumes=False),
    Policy("bound", Pooled),
)
VARIANTS = (
    Policy("pause", _cell()),
    Policy("preempt", _cell(contention=Contention.PREEMPT)),
    Policy("queue", _cell(contention=Contention.QUEUE)),
    Policy("no-prefix", _cell(tokens_per_load=0.0)),
    Policy("fixed-cap", _cell(adapt=False)),
    Policy("finish-0.7", _cell(finish_quantile=0.7)),
    Policy("finish-0.9", _cell(finish_quantile=0.9)),
    Policy("finish-0.97", _cell(finish_quantile=0.97)),
    Policy("finish-0.99", _cell(finish_quantile=0.99)),
    Policy("no-lane", _cell(lane_share=0.0)),
    Policy("hall-cells", _hall_cells),
    Policy("lost-1s", _lost(1.0, False)),
    Policy("lost-3s", _lost(3.0, False)),
    Policy("lost-1s-fallback", _lost(1.0, True)),
    Policy("lost-3s-fallback", _lost(3.0, True)),
)


def run_policy(
    shape: Shape, policy: Policy, overload: float, seed: int, seconds: float, crashes: bool
) -> Result:
    """Run one policy once."""
    requests = draw(shape, overload, seconds, seed)
    engines = {
        engine.name: FakeEngine(engine, policy.honours_priority)
        for engine in _engines(shape, policy)
    }
    router = policy.make(engines, seed)
    pooled = policy.name == "bound"
    experiment = Experiment(requests, engines, router, policy.resumes, crashes and not pooled)
    return experiment.run(seconds)


def _engines(shape: Shape, policy: Policy) -> tuple[EngineShape, ...]:
    if policy.name != "bound":
        return shape.engines
    slots = sum(engine.slots for engine in shape.engines)
    rate = sum(engine.slots / engine.step for engine in shape.engines)
    return (EngineShape("pool", "all", slots, slots / rate),)
