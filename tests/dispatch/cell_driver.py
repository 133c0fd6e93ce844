"""Drives a cell and keeps the history of what it decided."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from lotushill.dispatch.cell import Cell
from lotushill.dispatch.messages import Ask
from lotushill.dispatch.messages import Cancel
from lotushill.dispatch.messages import Decision
from lotushill.dispatch.messages import End
from lotushill.dispatch.messages import EndKind
from lotushill.dispatch.messages import Grant
from lotushill.dispatch.messages import Preemption
from lotushill.dispatch.messages import Refusal
from lotushill.dispatch.options import CellOptions


def make_ask(request: str, **changes: object) -> Ask:
    """Return an ask with ordinary values."""
    values: dict[str, object] = {
        "request": request,
        "attempt": 0,
        "entry": "entry-0",
        "cell": "pool@region",
        "team": "team-0",
        "service": "service",
        "klass": "class",
        "tier": 1,
        "team_weight": 1.0,
        "class_weight": 1.0,
        "prompt_tokens": 100,
        "output_limit": 100,
        "resumed_tokens": 0,
        "time_left": 1000.0,
        "target": 0.0,
        "refuse_early": False,
        "resumable": True,
        "rate": 0.0,
        "concurrency": 0,
        "tokens": 0.0,
        "queued": 1000,
    }
    return Ask(**(values | changes))  # type: ignore[arg-type]


@dataclass
class CellDriver:
    """A cell with its clock, the grants in force and every decision so far."""

    options: CellOptions = field(default_factory=CellOptions)
    upstreams: int = 2
    now: float = 100.0
    granted: dict[str, Grant] = field(default_factory=dict)
    """Attempts that run, by request."""
    decided: list[tuple[str, int]] = field(default_factory=list)
    history: list[Decision] = field(default_factory=list)
    asks: dict[str, Ask] = field(default_factory=dict)
    deadlines: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.cell = Cell("pool@region", self.options)
        for index in range(self.upstreams):
            self.cell.add_upstream(f"up-{index}", f"127.0.0.1:{index + 1}", f"hall-{index % 2}")

    def ask(self, ask: Ask) -> list[Decision]:
        """Ask and return the decisions that followed."""
        self.asks[ask.request] = ask
        self.deadlines.setdefault(ask.request, self.now + ask.time_left)
        return self.take(self.cell.ask(ask, self.now))

    def end(
        self, request: str, kind: EndKind = EndKind.COMPLETED, tokens: int = 50
    ) -> list[Decision]:
        """End a running attempt."""
        grant = self.granted.pop(request)
        end = End(request, grant.attempt, grant.cell, grant.upstream, kind, tokens, 0.1, 0.01)
        return self.take(self.cell.end(end, self.now))

    def cancel(self, request: str) -> list[Decision]:
        """Let the caller of a request go away."""
        self.granted.pop(request, None)
        return self.take(self.cell.cancel(Cancel(request, "pool@region"), self.now))

    def pass_time(self, seconds: float) -> list[Decision]:
        """Let time pass; entries end attempts at the deadline, as they do for their callers."""
        self.now += seconds
        decisions: list[Decision] = []
        for request in list(self.granted):
            if self.now >= self.deadlines[request]:
                decisions += self.end(request, EndKind.CANCELLED)
        return decisions + self.take(self.cell.tick(self.now))

    def take(self, decisions: list[Decision]) -> list[Decision]:
        """Note decisions, as an entry would."""
        for decision in decisions:
            self.history.append(decision)
            if isinstance(decision, Grant):
                if decision.why != "repeated":
                    self.decided.append((decision.request, decision.attempt))
                self.granted[decision.request] = decision
            elif isinstance(decision, Refusal):
                self.decided.append((decision.request, decision.attempt))
        return decisions

    def preempted(self) -> list[Preemption]:
        """Return all preemptions so far."""
        return [item for item in self.history if isinstance(item, Preemption)]
