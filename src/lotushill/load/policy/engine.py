"""Emulates a model engine in virtual time: it decodes a batch and prefills prompts in chunks."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.placement.prefix_cache_model import Chain

_MOST_STEPS = 10
"""Maximum number of decoding steps simulated as one while there is no prefill.

The events of a stream are about that many steps apart.
"""


@dataclass(frozen=True)
class EngineFigures:
    """Capacity and speed of one kind of engine."""

    slots: int = 12
    memory_tokens: int = 396_000
    tokens_per_event: int = 10
    step_seconds: float = 0.0031
    step_seconds_each: float = 0.0000165
    """Time added to a step by each running request."""
    context_seconds: float = 6.8e-9
    """Time added to a step by each token in memory of the running requests."""
    read_rate: float = 61_800.0
    """Prefill speed in prompt tokens per second."""
    piece: int = 1024
    """Maximum number of prompt tokens processed in one step."""
    queue: int = 25
    """Maximum number of requests that may wait for a slot."""


@dataclass(frozen=True)
class Disturbance:
    """A period in which an engine is slower than usual by the factor `times`."""

    begins: float
    ends: float
    times: float


@dataclass
class Run:
    """One execution of a request at one engine."""

    number: int
    tier: int
    unread: int
    output: int
    context: int
    chain: Chain = ()
    written: int = 0
    arrived: float = 0.0
    events: list[float] = field(default_factory=list)
    """Times of the events sent so far."""

    @property
    def done(self) -> bool:
        """Return whether the answer is complete."""
        return self.written >= self.output


class Engine:
    """One engine, which reports its runs through the callbacks `on_event` and `on_end`."""

    def __init__(
        self,
        figures: EngineFigures,
        slowness: float,
        on_event: Callable[[Run, float], None],
        on_end: Callable[[Run, float], None],
    ) -> None:
        self.figures = figures
        self.slowness = slowness
        self._on_event = on_event
        self._on_end = on_end
        self.running: list[Run] = []
        self.waiting: list[Run] = []
        self._kept: OrderedDict[int, int] = OrderedDict()
        self._kept_tokens = 0
        self.read_tokens = 0
        """Number of prompt tokens processed so far."""
        self.work_seconds = 0.0
        """Work done so far, in seconds of the engine's full capacity.

        Prefill takes the full capacity, a decoding request the fraction of one slot.
        """
        self.disturbance: Disturbance | None = None
        """The latest disturbance, which may be over, None if there was none."""

    def accept(self, run: Run, now: float) -> bool:
        """Queue a request and return True, or return False if the queue is full."""
        if len(self.waiting) >= self.figures.queue:
            return False
        run.arrived = now
        self.waiting.append(run)
        self.waiting.sort(key=lambda item: (item.tier, item.arrived))
        return True

    def drop(self, run: Run) -> None:
        """Remove a request whose client has disconnected."""
        for held in (self.running, self.waiting):
            if run in held:
                held.remove(run)

    def step(self, now: float) -> float | None:
        """Run one step and return the time at which it ends, None if no request runs."""
        self._admit()
        if not self.running:
            return None
        reading = min(
            (run for run in self.running if run.unread > 0),
            key=lambda run: (run.tier, run.arrived),
            default=None,
        )
        slowness = self.slowness_at(now)
        steps = 1 if reading or self.waiting else self._quiet_steps()
        seconds = steps * self._step_seconds()
        writing = sum(run.unread <= 0 for run in self.running)
        self.work_seconds += seconds * slowness * writing / self.figures.slots
        if reading is not None:
            piece = min(self.figures.piece, reading.unread)
            reading.unread -= piece
            self.read_tokens += piece
            seconds += piece / self.figures.read_rate
            self.work_seconds += slowness * piece / self.figures.read_rate
        ends = now + seconds * slowness
        for run in list(self.running):
            if run.unread <= 0:
                self._write(run, steps, ends)
        return ends

    def slowness_at(self, now: float) -> float:
        """Return the factor by which the engine is slower than usual at a given time."""
        seen = self.disturbance
        if seen is None or not seen.begins <= now < seen.ends:
            return self.slowness
        return self.slowness * seen.times

    def _quiet_steps(self) -> int:
        stride = self.figures.tokens_per_event
        due = min(
            min(run.output - run.written, stride - run.written % stride) for run in self.running
        )
        return max(1, min(_MOST_STEPS, due))

    def _step_seconds(self) -> float:
        figures = self.figures
        context = sum(run.context + run.written for run in self.running)
        each = figures.step_seconds_each * len(self.running)
        return figures.step_seconds + each + figures.context_seconds * context

    def _write(self, run: Run, tokens: int, now: float) -> None:
        first = run.written == 0
        before = run.written // self.figures.tokens_per_event
        run.written += tokens
        if first or run.done or run.written // self.figures.tokens_per_event > before:
            run.events.append(now)
            self._on_event(run, now)
        if run.done:
            self.running.remove(run)
            self._on_end(run, now)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.figures.slots:
            run = self.waiting.pop(0)
            run.unread = max(1, run.unread - self._find(run.chain))
            self._keep(run.chain)
            self.running.append(run)

    def _find(self, chain: Chain) -> int:
        found = 0
        for key, part in chain:
            if key not in self._kept:
                return found
            found += part.tokens
        return found

    def _keep(self, chain: Chain) -> None:
        held = sum(run.context + run.output for run in self.running)
        for key, part in chain:
            if key not in self._kept:
                self._kept[key] = part.tokens
                self._kept_tokens += part.tokens
            self._kept.move_to_end(key)
        while self._kept and self._kept_tokens > self.figures.memory_tokens - held:
            _, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens
