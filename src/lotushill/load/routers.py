"""The policies that experiments compare: lotushill's own cell, and the baselines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

import numpy as np

from lotushill.dispatch.cell import Cell
from lotushill.dispatch.messages import Ask
from lotushill.dispatch.messages import Cancel
from lotushill.dispatch.messages import Decision
from lotushill.dispatch.messages import End
from lotushill.dispatch.messages import EndKind
from lotushill.dispatch.messages import Grant
from lotushill.dispatch.messages import Preemption
from lotushill.dispatch.messages import Refusal

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lotushill.dispatch.options import CellOptions
    from lotushill.load.arrivals import Request
    from lotushill.load.fake_engine import FakeEngine

REPORT_LAG_SECONDS = 1.0
ENTRIES = 8
_UNKNOWN_LENGTH = 4000


@dataclass(frozen=True)
class Place:
    """Start a request on an engine."""

    request: str
    engine: str
    priority: int


@dataclass(frozen=True)
class Drop:
    """Tell the caller that the request is not run."""

    request: str


@dataclass(frozen=True)
class Stop:
    """Stop a running request; it asks again."""

    request: str


Action = Place | Drop | Stop


class Router(Protocol):
    """What an experiment needs of a policy."""

    def ask(self, request: Request, attempt: int, already: int, now: float) -> list[Action]:
        """Take in a request, or one that was interrupted."""

    def end(
        self, request: Request, attempt: int, kind: EndKind, tokens: int, first: float, now: float
    ) -> list[Action]:
        """Take in the end of an attempt."""

    def cancel(self, request: Request, now: float) -> list[Action]:
        """The caller gave up."""

    def tick(self, now: float) -> list[Action]:
        """Let time pass."""


class CellRouter:
    """The dispatch code itself: one cell for all engines, or one for each hall."""

    def __init__(
        self,
        engines: Mapping[str, FakeEngine],
        options: CellOptions,
        by_hall: bool = False,
        opens_at: float = 0.0,
    ) -> None:
        self._by_hall = by_hall
        self._cells: dict[str, Cell] = {}
        self._asks: dict[str, tuple[Ask, float, str, str]] = {}
        for name, engine in engines.items():
            key = engine.shape.hall if by_hall else "region"
            cell = self._cells.setdefault(key, Cell(key, options, opens_at))
            cell.add_upstream(name, "127.0.0.1:1", engine.shape.hall)

    def ask(self, request: Request, attempt: int, already: int, now: float) -> list[Action]:
        """Ask the cell."""
        ask = self._ask(request, attempt, already, now)
        self._asks[request.name] = (ask, now, ask.cell, "")
        return self._act(self._cells[ask.cell].ask(ask, now), now)

    def adopt(self, request: Request, attempt: int, already: int, engine: str, now: float) -> None:
        """Tell the cell of an attempt that runs already."""
        ask = self._ask(request, attempt, already, now)
        self._asks[request.name] = (ask, now, ask.cell, engine)
        self._cells[ask.cell].adopt(ask, engine, now)

    def _ask(self, request: Request, attempt: int, already: int, now: float) -> Ask:
        klass = request.klass
        key = request.hall if self._by_hall else "region"
        return Ask(
            request=request.name,
            attempt=attempt,
            entry="entry",
            cell=key,
            team=request.team,
            service="service",
            klass=klass.name,
            tier=klass.tier,
            team_weight=1.0,
            class_weight=1.0,
            prompt_tokens=request.prompt,
            output_limit=_UNKNOWN_LENGTH,
            resumed_tokens=already,
            time_left=request.at + klass.deadline - now,
            target=klass.target,
            refuse_early=klass.refuse_early,
            resumable=True,
            rate=0.0,
            concurrency=0,
            tokens=0.0,
            queued=100_000,
            prefix=request.prefix,
        )

    def end(
        self, request: Request, attempt: int, kind: EndKind, tokens: int, first: float, now: float
    ) -> list[Action]:
        """Report the end to the cell."""
        _, began, key, upstream = self._asks[request.name]
        gap = (now - began - first) / (tokens - 1) if tokens > 1 else 0.0
        end = End(request.name, attempt, key, upstream, kind, tokens, first, gap)
        return self._act(self._cells[key].end(end, now), now)

    def cancel(self, request: Request, now: float) -> list[Action]:
        """Cancel at the cell."""
        key = self._asks[request.name][2]
        return self._act(self._cells[key].cancel(Cancel(request.name, key), now), now)

    def tick(self, now: float) -> list[Action]:
        """Let time pass in the cells."""
        return [
            action for cell in self._cells.values() for action in self._act(cell.tick(now), now)
        ]

    def _act(self, decisions: list[Decision], now: float) -> list[Action]:
        actions: list[Action] = []
        for decision in decisions:
            if isinstance(decision, Grant):
                ask, _, key, _ = self._asks[decision.request]
                self._asks[decision.request] = (ask, now, key, decision.upstream)
                actions.append(Place(decision.request, decision.upstream, decision.tier))
            elif isinstance(decision, Refusal):
                actions.append(Drop(decision.request))
            elif isinstance(decision, Preemption):
                actions.append(Stop(decision.request))
        return actions


class _Direct:
    """Base of the baselines: a request goes to an engine as soon as it comes."""

    def __init__(self, engines: Mapping[str, FakeEngine], seed: int) -> None:
        self.engines = engines
        self.names = list(engines)
        self.rng = np.random.default_rng(seed)
        self._serial = 0

    def choose(self, request: Request, entry: int, now: float) -> str:
        """Return the engine for a request that came through an entry."""
        raise NotImplementedError

    def ask(self, request: Request, attempt: int, already: int, now: float) -> list[Action]:
        """Place the request at once."""
        self._serial += 1
        engine = self.choose(request, self._serial % ENTRIES, now)
        return [Place(request.name, engine, request.klass.tier)]

    def end(
        self, request: Request, attempt: int, kind: EndKind, tokens: int, first: float, now: float
    ) -> list[Action]:
        """Nothing waits here."""
        return []

    def cancel(self, request: Request, now: float) -> list[Action]:
        """Nothing waits here."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Nothing waits here."""
        return []


class RoundRobin(_Direct):
    """Each engine in turn."""

    def choose(self, request: Request, entry: int, now: float) -> str:
        """Return the next engine."""
        return self.names[self._serial % len(self.names)]


class LeastReported(_Direct):
    """The engine with the least load by reports that lag."""

    def __init__(self, engines: Mapping[str, FakeEngine], seed: int) -> None:
        super().__init__(engines, seed)
        self._reports: dict[str, int] = dict.fromkeys(engines, 0)
        self._pending: list[tuple[float, dict[str, int]]] = []
        self._next = 0.0

    def choose(self, request: Request, entry: int, now: float) -> str:
        """Return the engine that was least loaded when it last reported."""
        self.observe(now)
        order = self.rng.permutation(len(self.names))
        best = min(order, key=lambda index: self._reports[self.names[index]])
        return self.names[int(best)]

    def observe(self, now: float) -> None:
        """Take reports and let those come in that have travelled long enough."""
        if now >= self._next:
            self._next = now + REPORT_LAG_SECONDS / 4
            loads = {name: engine.load() for name, engine in self.engines.items()}
            self._pending.append((now + REPORT_LAG_SECONDS, loads))
        while self._pending and self._pending[0][0] <= now:
            self._reports = self._pending.pop(0)[1]


class TwoChoices(_Direct):
    """The better of two random engines, by what this entry itself has running there."""

    def __init__(self, engines: Mapping[str, FakeEngine], seed: int) -> None:
        super().__init__(engines, seed)
        self._counts = [dict.fromkeys(engines, 0) for _ in range(ENTRIES)]
        self._where: dict[str, tuple[int, str]] = {}

    def choose(self, request: Request, entry: int, now: float) -> str:
        """Return the engine of two on which this entry has less."""
        pair = self.rng.choice(len(self.names), size=2, replace=False)
        counts = self._counts[entry]
        name = min((self.names[int(index)] for index in pair), key=lambda item: counts[item])
        counts[name] += 1
        self._where[request.name] = (entry, name)
        return name

    def end(
        self, request: Request, attempt: int, kind: EndKind, tokens: int, first: float, now: float
    ) -> list[Action]:
        """Count one less."""
        return self.cancel(request, now)

    def cancel(self, request: Request, now: float) -> list[Action]:
        """Count one less."""
        entry, name = self._where.pop(request.name, (0, ""))
        if name:
            self._counts[entry][name] -= 1
        return []


class Pooled(_Direct):
    """The all-knowing bound: one engine as large as all, which knows every length."""

    def ask(self, request: Request, attempt: int, already: int, now: float) -> list[Action]:
        """Place by tier, and within a tier the shortest first."""
        priority = request.klass.tier * _UNKNOWN_LENGTH + min(request.output, _UNKNOWN_LENGTH - 1)
        return [Place(request.name, self.names[0], priority)]
