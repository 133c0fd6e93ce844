"""Continuous batching, as a pure state machine: one call of `step` is one engine step.

Each running sequence gains one token a step. Sequences of a higher priority go first; when
the batch is full they pause lower ones, which keep what they have and go on later.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass
class Sequence:
    """One request inside an engine."""

    request: str
    priority: int
    """0 is the highest."""
    prefill_left: float
    """Prompt tokens still to be read."""
    length: int
    """Output tokens that the answer will have."""
    arrived: int
    produced: int = 0

    @property
    def done(self) -> bool:
        """Return whether the answer is whole."""
        return self.produced >= self.length


@dataclass
class Batch:
    """The sequences of one engine."""

    slots: int
    prefill_per_step: float
    """Prompt tokens that one step reads, over all sequences."""
    sequences: dict[str, Sequence] = field(default_factory=dict)
    _order: int = 0

    def add(self, request: str, priority: int, prompt: float, length: int, done: int = 0) -> None:
        """Take in a request, with `done` output tokens already produced elsewhere."""
        self._order += 1
        self.sequences[request] = Sequence(
            request, priority, prompt + done, length, self._order, done
        )

    def remove(self, request: str) -> Sequence | None:
        """Take a request out; None if it is not here."""
        return self.sequences.pop(request, None)

    def running(self) -> list[Sequence]:
        """Return the sequences that the next step works on."""
        if len(self.sequences) <= self.slots:
            return list(self.sequences.values())
        order = sorted(self.sequences.values(), key=lambda item: (item.priority, item.arrived))
        return order[: self.slots]

    def step(self) -> list[Sequence]:
        """Run one step and return the sequences that gained a token; done ones leave."""
        gained: list[Sequence] = []
        prefill = self.prefill_per_step
        for sequence in sorted(self.running(), key=lambda item: (item.priority, item.arrived)):
            if sequence.prefill_left > 0:
                used = min(prefill, sequence.prefill_left)
                sequence.prefill_left -= used
                prefill -= used
                if sequence.prefill_left > 0:
                    continue
            sequence.produced += 1
            gained.append(sequence)
            if sequence.done:
                del self.sequences[sequence.request]
        return gained
