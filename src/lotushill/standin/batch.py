"""Continuous batching as a pure state machine: each call of `step` is one engine step.

Each running sequence gains one token per step. Sequences of a higher priority run first; when the
batch is full they preempt lower ones, which keep their progress and resume later.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass
class Sequence:
    """One request in an engine's batch."""

    request: str
    priority: int
    """Priority, 0 being the highest."""
    prefill_left: float
    """Prompt tokens still to be prefilled."""
    length: int
    """Number of output tokens of the complete answer."""
    arrived: int
    produced: int = 0

    @property
    def is_done(self) -> bool:
        """Return whether the answer is complete."""
        return self.produced >= self.length


@dataclass
class Batch:
    """The sequences of one engine."""

    slots: int
    prefill_per_step: float
    """Prompt tokens that one step prefills, over all sequences."""
    sequences: dict[str, Sequence] = field(default_factory=dict)
    _arrivals: int = 0

    def add(
        self, request: str, priority: int, prompt_tokens: float, length: int, produced: int = 0
    ) -> None:
        """Add a request, of which another engine has already produced `produced` output tokens."""
        self._arrivals += 1
        self.sequences[request] = Sequence(
            request, priority, prompt_tokens + produced, length, self._arrivals, produced
        )

    def remove(self, request: str) -> Sequence | None:
        """Remove and return a request; None if it is not in the batch."""
        return self.sequences.pop(request, None)

    def running(self) -> list[Sequence]:
        """Return the sequences that the next step runs."""
        if len(self.sequences) <= self.slots:
            return list(self.sequences.values())
        by_priority = sorted(
            self.sequences.values(), key=lambda item: (item.priority, item.arrived)
        )
        return by_priority[: self.slots]

    def step(self) -> list[Sequence]:
        """Run one step and return the sequences that gained a token; completed ones are removed."""
        gained: list[Sequence] = []
        prefill_budget = self.prefill_per_step
        for sequence in sorted(self.running(), key=lambda item: (item.priority, item.arrived)):
            if sequence.prefill_left > 0:
                prefilled = min(prefill_budget, sequence.prefill_left)
                sequence.prefill_left -= prefilled
                prefill_budget -= prefilled
                if sequence.prefill_left > 0:
                    continue
            sequence.produced += 1
            gained.append(sequence)
            if sequence.is_done:
                del self.sequences[sequence.request]
        return gained
