"""The dispatcher lost in mid-burst: what entries do meanwhile, and what the next one finds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.dispatch.dispatcher import GATHER_SECONDS
from lotushill.load.routers import ENTRIES
from lotushill.load.routers import Action
from lotushill.load.routers import CellRouter
from lotushill.load.routers import Place

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lotushill.dispatch.messages import EndKind
    from lotushill.dispatch.options import CellOptions
    from lotushill.load.arrivals import Request
    from lotushill.load.fake_engine import FakeEngine

LOST_AT = 22.0
"""Two seconds into the second burst."""


@dataclass
class _Placed:
    request: Request
    attempt: int
    already: int
    engine: str


class LostDispatcherRouter:
    """A cell that is gone for a while; then a new one takes over what runs and waits."""

    def __init__(
        self,
        engines: Mapping[str, FakeEngine],
        options: CellOptions,
        seconds: float,
        fallback: bool,
    ) -> None:
        self._engines = engines
        self._options = options
        self._back_at = LOST_AT + seconds
        self._fallback = fallback
        self._inner = CellRouter(engines, options)
        self._placed: dict[str, _Placed] = {}
        self._held: dict[str, tuple[Request, int, int]] = {}
        self._taken_over = False

    def ask(self, request: Request, attempt: int, already: int, now: float) -> list[Action]:
        """Ask, or hold the ask while nobody decides."""
        self._held[request.name] = (request, attempt, already)
        if self._lost(now):
            return self._place_alone(request, attempt, already)
        return self._follow(self._inner.ask(request, attempt, already, now))

    def end(
        self, request: Request, attempt: int, kind: EndKind, tokens: int, first: float, now: float
    ) -> list[Action]:
        """Report an end; nobody hears of it while the dispatcher is lost."""
        self._placed.pop(request.name, None)
        if self._lost(now):
            return []
        return self._follow(self._inner.end(request, attempt, kind, tokens, first, now))

    def cancel(self, request: Request, now: float) -> list[Action]:
        """The caller gave up."""
        self._held.pop(request.name, None)
        self._placed.pop(request.name, None)
        return [] if self._lost(now) else self._follow(self._inner.cancel(request, now))

    def tick(self, now: float) -> list[Action]:
        """Let time pass, and take over when it is time."""
        if not self._lost(now):
            return self._follow(self._inner.tick(now))
        if now < self._back_at:
            return []
        self._taken_over = True
        return self._take_over(now)

    def _lost(self, now: float) -> bool:
        return now >= LOST_AT and not self._taken_over

    def _place_alone(self, request: Request, attempt: int, already: int) -> list[Action]:
        """Place a request of the top tier within the shares that all entries have together."""
        if not self._fallback or request.klass.tier:
            return []
        counts = dict.fromkeys(self._engines, 0)
        for item in self._placed.values():
            if item.request.klass.tier == 0:
                counts[item.engine] += 1
        share = max(1, self._options.slots // ENTRIES) * ENTRIES
        name = min(counts, key=lambda engine: counts[engine])
        if counts[name] >= share:
            return []
        return self._follow([Place(request.name, name, 0)])

    def _take_over(self, now: float) -> list[Action]:
        self._inner = CellRouter(self._engines, self._options, opens_at=now + GATHER_SECONDS)
        for item in self._placed.values():
            self._inner.adopt(item.request, item.attempt, item.already, item.engine, now)
        actions: list[Action] = []
        for request, attempt, already in list(self._held.values()):
            actions += self._follow(self._inner.ask(request, attempt, already, now))
        return actions

    def _follow(self, actions: list[Action]) -> list[Action]:
        for action in actions:
            held = self._held.pop(action.request, None)
            if isinstance(action, Place) and held is not None:
                self._placed[action.request] = _Placed(*held, action.engine)
        return actions
