"""Runs of long streams, and the memory that engines of the soak test hold for them.

Engines record here what they did themselves. The checks compare it with what clients received.
"""

from __future__ import annotations

import itertools
import math
import time
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

LONG_PATH = "/long/"
LONG_EVENT_COUNT = 50


class RunEnd(Enum):
    """How a run ended at one engine."""

    RUNNING = "running"
    WHOLE = "ran to its end"
    STOPPED = "stopped by a call"
    CLOSED = "closed by its gateway"
    """The gateway closed the connection of a run that was neither stopped nor at its end."""
    ENGINE_ENDED = "ended with its engine"


class MemoryEnd(Enum):
    """How an engine came to hold the memory of a run no longer."""

    HELD = "held"
    USED = "used"
    FREED = "freed by a call"
    REPLACED = "kept elsewhere"
    ENGINE_ENDED = "ended with its engine"


@dataclass
class RunSpan:
    """Time in which one engine worked on a run."""

    attempt: str
    engine: str
    since: float
    handle: str
    """Handle from which the run was continued, empty if it began here."""
    until: float = math.inf
    end: RunEnd = RunEnd.RUNNING


@dataclass
class HeldSpan:
    """Time in which one engine held the memory of a run under a handle."""

    attempt: str
    handle: str
    issuer: str
    """Engine that issued the handle, which is asked to free it."""
    engine: str
    since: float
    named_at: float = math.inf
    """Time of the first answer that named the handle to a gateway that still listened."""
    until: float = math.inf
    end: MemoryEnd = MemoryEnd.HELD


@dataclass
class RunMemories:
    """All runs and all held memory of one soak run."""

    runs: list[RunSpan] = field(default_factory=list)
    held: list[HeldSpan] = field(default_factory=list)
    engine_ends: dict[str, float] = field(default_factory=dict)
    """Times at which engine incarnations ended."""
    observed_until: float = math.inf
    """End of the observations; afterwards gateways and engines are shut down."""
    call_faults: list[str] = field(default_factory=list)
    """Faults of calls and of requests with a handle, by name, as they occurred."""
    freed_counts: Counter[str] = field(default_factory=Counter)
    _numbers: itertools.count[int] = field(default_factory=itertools.count)

    def new_handle(self, attempt: str) -> str:
        """Return an unused handle."""
        return f"h{next(self._numbers)}-{attempt}"

    def start_run(self, attempt: str, engine: str, handle: str) -> RunSpan:
        """Record the start of a run; its handle serves no other."""
        now = time.monotonic()
        for span in self.active(handle):
            span.until, span.end = now, MemoryEnd.USED
        run = RunSpan(attempt, engine, now, handle)
        self.runs.append(run)
        return run

    def active(self, handle: str) -> list[HeldSpan]:
        """Return where memory is held under a handle now."""
        return [span for span in self.held if span.handle == handle and span.end is MemoryEnd.HELD]

    def is_held(self, handle: str, engine: str) -> bool:
        """Return whether an engine holds memory under a handle."""
        return any(span.engine == engine for span in self.active(handle))

    def hold(self, handle: str, attempt: str, issuer: str, engine: str) -> None:
        """Record that an engine holds the memory of a run."""
        if not self.is_held(handle, engine):
            self.held.append(HeldSpan(attempt, handle, issuer, engine, time.monotonic()))

    def note_named(self, handle: str) -> None:
        """Record that an answer named a handle to a gateway.

        A copy that is made later under the same handle is not known from that answer.
        """
        for span in self.active(handle):
            span.named_at = min(span.named_at, time.monotonic())

    def release(self, handle: str, end: MemoryEnd, engine: str = "") -> None:
        """Record that memory is held no longer, by `engine` or, if it is empty, by any engine."""
        for span in self.active(handle):
            if engine in ("", span.engine):
                span.until, span.end = time.monotonic(), end

    def free(self, handle: str) -> None:
        """Record that a gateway freed a handle; a copy that is being made for it is dropped."""
        self.freed_counts[handle] += 1
        self.release(handle, MemoryEnd.FREED)

    def end_engine(self, engine: str) -> None:
        """Record the end of an engine incarnation, with all memory that it holds."""
        now = self.engine_ends[engine] = time.monotonic()
        for span in self.held:
            if span.engine == engine and span.end is MemoryEnd.HELD:
                span.until, span.end = now, MemoryEnd.ENGINE_ENDED

    def stopped_count(self) -> int:
        """Return how many runs were stopped by a call."""
        return sum(run.end is RunEnd.STOPPED for run in self.runs)

    def continued_counts(self) -> tuple[int, int]:
        """Return how many runs were continued at another engine, and at the same one."""
        issuers = {span.handle: span.issuer for span in self.held}
        continued = [run for run in self.runs if run.handle]
        returned = sum(issuers.get(run.handle) == run.engine for run in continued)
        return len(continued) - returned, returned
