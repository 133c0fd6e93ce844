"""A small fake of a model engine in virtual time: continuous batching and a prefix cache."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.load.shapes import PREFILL_PER_STEP
from lotushill.standin.batch import Batch
from lotushill.upstreams.prefix_memory import TOKENS_PER_BLOCK

if TYPE_CHECKING:
    from lotushill.load.arrivals import Request
    from lotushill.load.shapes import EngineShape

_CACHE_BLOCKS = 160
"""Blocks that the prefix cache holds: not enough for all teams and classes at once."""


@dataclass
class Run:
    """One request inside an engine."""

    request: Request
    attempt: int
    started: float
    already: int
    """Output tokens that an earlier attempt produced."""
    first_token: float = 0.0
    produced: int = 0
    """Output tokens that this attempt produced."""


class FakeEngine:
    """One engine; its owner calls `step` at the times that `step_due` tells."""

    def __init__(self, shape: EngineShape, honours_priority: bool = True) -> None:
        self.shape = shape
        self.alive = True
        self.batch = Batch(shape.slots, PREFILL_PER_STEP)
        self.runs: dict[str, Run] = {}
        self.step_scheduled = False
        self._joining: list[tuple[str, int, float, int, int]] = []
        self._honours_priority = honours_priority
        self._cache: OrderedDict[int, None] = OrderedDict()

    def add(self, request: Request, attempt: int, priority: int, already: int, now: float) -> Run:
        """Take in a request."""
        prefill = max(0.0, request.prompt - self._cached(request.prefix))
        level = priority if self._honours_priority else 0
        self._joining.append((request.name, level, prefill, request.output, already))
        if not self.step_scheduled:
            self._join()
        run = Run(request, attempt, now, already)
        self.runs[request.name] = run
        return run

    def _join(self) -> None:
        """Let in what came during a step; it takes part from the next one on."""
        for name, priority, prefill, length, already in self._joining:
            if name in self.runs or not self.step_scheduled:
                self.batch.add(name, priority, prefill, length, already)
        self._joining.clear()

    def remove(self, name: str) -> Run | None:
        """Take a request out before its end."""
        self.batch.remove(name)
        return self.runs.pop(name, None)

    def step(self, now: float) -> list[Run]:
        """Run one step that ends at `now`; return the runs that are whole."""
        ended: list[Run] = []
        for sequence in self.batch.step():
            run = self.runs[sequence.request]
            run.produced += 1
            if not run.first_token:
                run.first_token = now
            if sequence.done:
                ended.append(self.runs.pop(sequence.request))
        self._join()
        return ended

    def crash(self) -> list[Run]:
        """Lose everything; return what was running."""
        self.alive = False
        lost = list(self.runs.values())
        self.runs.clear()
        self.batch.sequences.clear()
        self._joining.clear()
        self._cache.clear()
        return lost

    def load(self) -> int:
        """Return how many requests are inside, as a load report would."""
        return len(self.runs)

    def _cached(self, prefix: tuple[int, ...]) -> int:
        matched = 0
        for block in prefix:
            if block not in self._cache:
                break
            matched += TOKENS_PER_BLOCK
        for block in prefix:
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > _CACHE_BLOCKS:
            self._cache.popitem(last=False)
        return matched
