"""Emulates a model engine in virtual time: it decodes a batch and prefills prompts in chunks."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.placement.prefix_cache_model import Chain

_MAX_MERGED_STEPS = 10
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
    slowdown_factor: float


@dataclass
class Run:
    """One execution of a request at one engine."""

    number: int
    tier: int
    remaining_prompt_tokens: int
    output: int
    context: int
    chain: Chain = ()
    generated_tokens: int = 0
    arrived: float = 0.0
    events: list[float] = field(default_factory=list)
    """Times of the events sent so far."""

    @property
    def is_complete(self) -> bool:
        """Return whether the answer is complete."""
        return self.generated_tokens >= self.output


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
        self._prefix_cache: OrderedDict[int, int] = OrderedDict()
        self._cached_tokens = 0
        self.prefilled_tokens = 0
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
        for runs in (self.running, self.waiting):
            if run in runs:
                runs.remove(run)

    def step(self, now: float) -> float | None:
        """Run one step and return the time at which it ends, None if no request runs."""
        self._admit()
        if not self.running:
            return None
        prefilling = min(
            (run for run in self.running if run.remaining_prompt_tokens > 0),
            key=lambda run: (run.tier, run.arrived),
            default=None,
        )
        slowness = self.slowness_at(now)
        steps = 1 if prefilling or self.waiting else self._steps_without_prefill()
        seconds = steps * self._step_seconds()
        decoding = sum(run.remaining_prompt_tokens <= 0 for run in self.running)
        self.work_seconds += seconds * slowness * decoding / self.figures.slots
        if prefilling is not None:
            chunk_tokens = min(self.figures.piece, prefilling.remaining_prompt_tokens)
            prefilling.remaining_prompt_tokens -= chunk_tokens
            self.prefilled_tokens += chunk_tokens
            seconds += chunk_tokens / self.figures.read_rate
            self.work_seconds += slowness * chunk_tokens / self.figures.read_rate
        ends = now + seconds * slowness
        for run in list(self.running):
            if run.remaining_prompt_tokens <= 0:
                self._generate(run, steps, ends)
        return ends

    def slowness_at(self, now: float) -> float:
        """Return the factor by which the engine is slower than usual at a given time."""
        latest = self.disturbance
        if latest is None or not latest.begins <= now < latest.ends:
            return self.slowness
        return self.slowness * latest.slowdown_factor

    def _steps_without_prefill(self) -> int:
        stride = self.figures.tokens_per_event
        steps_to_event = min(
            min(run.output - run.generated_tokens, stride - run.generated_tokens % stride)
            for run in self.running
        )
        return max(1, min(_MAX_MERGED_STEPS, steps_to_event))

    def _step_seconds(self) -> float:
        figures = self.figures
        context = sum(run.context + run.generated_tokens for run in self.running)
        each = figures.step_seconds_each * len(self.running)
        return figures.step_seconds + each + figures.context_seconds * context

    def _generate(self, run: Run, tokens: int, now: float) -> None:
        first = run.generated_tokens == 0
        events_before = run.generated_tokens // self.figures.tokens_per_event
        run.generated_tokens += tokens
        if (
            first
            or run.is_complete
            or run.generated_tokens // self.figures.tokens_per_event > events_before
        ):
            run.events.append(now)
            self._on_event(run, now)
        if run.is_complete:
            self.running.remove(run)
            self._on_end(run, now)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.figures.slots:
            run = self.waiting.pop(0)
            run.remaining_prompt_tokens = max(
                1, run.remaining_prompt_tokens - self._count_cached(run.chain)
            )
            self._add_to_cache(run.chain)
            self.running.append(run)

    def _count_cached(self, chain: Chain) -> int:
        cached = 0
        for key, part in chain:
            if key not in self._prefix_cache:
                return cached
            cached += part.tokens
        return cached

    def _add_to_cache(self, chain: Chain) -> None:
        run_tokens = sum(run.context + run.output for run in self.running)
        for key, part in chain:
            if key not in self._prefix_cache:
                self._prefix_cache[key] = part.tokens
                self._cached_tokens += part.tokens
            self._prefix_cache.move_to_end(key)
        while self._prefix_cache and self._cached_tokens > self.figures.memory_tokens - run_tokens:
            _, tokens = self._prefix_cache.popitem(last=False)
            self._cached_tokens -= tokens
