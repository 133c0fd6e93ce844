"""What runs on one upstream and how it has been doing."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from lotushill.placement.engine_pace import EnginePace
from lotushill.placement.failure_rate import FailureRate
from lotushill.placement.prefill_queue import PrefillQueue
from lotushill.placement.prefix_cache_model import PrefixCacheModel
from lotushill.routing.demand import PromptPart

if TYPE_CHECKING:
    from lotushill.placement.messages import Placed

_SLOWNESS_WEIGHT = 0.15
_FORGET_SECONDS = 6.0
_FIRST_BACK_OFF = 0.5
_LONGEST_BACK_OFF = 4.0


class UpstreamLoad:
    """The requests of all gateways on one upstream, and its health as seen from here."""

    def __init__(self) -> None:
        self.running: dict[int, Placed] = {}
        self._seconds = 0.0
        """How long those that run are expected to take, all together."""
        self.reserved_tokens = 0
        """Tokens that the running requests may hold in the end."""
        self._answers = 0
        """Of the memory, what is not parts of prompts."""
        self.prefix_cache = PrefixCacheModel()
        self.failures = FailureRate()
        self.streams_by_target_gap: Counter[float] = Counter()
        """Streams by the longest pause that is in time for them."""
        self.prefill_queue = PrefillQueue()
        self._tiers: Counter[int] = Counter()
        self._begun: dict[int, int] = {}
        """Requests whose first event has come, with their tiers."""
        self._begun_tiers: Counter[int] = Counter()
        self.answered = 0
        """Requests whose first event has come so far."""
        self._slowness = 1.0
        self._slowness_at = 0.0
        self.pace = EnginePace()
        self._away_until = float("-inf")
        self._back_off = _FIRST_BACK_OFF

    def start(self, placed: Placed, memory_tokens: int, now: float) -> None:
        """Count a request in, on an upstream with so much memory."""
        if placed.request in self.running:
            return
        self.running[placed.request] = placed
        self._tiers[placed.tier] += 1
        self._seconds += placed.seconds
        self.reserved_tokens += placed.memory
        if placed.target_gap > 0:
            self.streams_by_target_gap[placed.target_gap] += 1
        if placed.began:
            self._note_begun(placed)
        else:
            self.prefill_queue.add(
                placed.request, placed.tier, placed.prefill_tokens, now - placed.age
            )
        parts = [PromptPart(*item) for item in zip(placed.part_ids, placed.part_tokens)]
        self._answers += max(0, placed.memory - sum(placed.part_tokens))
        self.prefix_cache.touch(parts, memory_tokens - self._answers)

    def begin(self, request: int, now: float) -> None:
        """Note that the prompt of a request has been read."""
        self.prefill_queue.finish(request, now)
        placed = self.running.get(request)
        if placed is not None:
            self._note_begun(placed)

    def end(self, request: int, now: float) -> Placed | None:
        """Count a request out."""
        placed = self.running.pop(request, None)
        if placed is None:
            return None
        self.prefill_queue.cancel(request, now)
        self._tiers[placed.tier] -= 1
        if self._begun.pop(request, None) is not None:
            self._begun_tiers[placed.tier] -= 1
        self._seconds -= placed.seconds
        self.reserved_tokens -= placed.memory
        self._answers -= max(0, placed.memory - sum(placed.part_tokens))
        if placed.target_gap > 0:
            self.streams_by_target_gap[placed.target_gap] -= 1
            if not self.streams_by_target_gap[placed.target_gap]:
                del self.streams_by_target_gap[placed.target_gap]
        return placed

    @property
    def unanswered(self) -> int:
        """Return how many run whose first event has not come."""
        return len(self.running) - len(self._begun)

    @property
    def mean_expected_seconds(self) -> float:
        """Return how long one of those that run is expected to take, 0 where none does."""
        return self._seconds / len(self.running) if self.running else 0.0

    def count_before(self, tier: int) -> int:
        """Return how many requests keep their slots from a new one of a tier.

        Whoever has begun goes on to its end, however urgent the new one is; of those that have not,
        the less urgent are let in after it.
        """
        return sum(
            count if other <= tier else self._begun_tiers[other]
            for other, count in self._tiers.items()
        )

    def count_more_urgent(self, tier: int) -> int:
        """Return how many requests run that are more urgent than a tier."""
        return sum(count for other, count in self._tiers.items() if other < tier)

    def _note_begun(self, placed: Placed) -> None:
        if placed.request not in self._begun:
            self._begun[placed.request] = placed.tier
            self._begun_tiers[placed.tier] += 1
            self.answered += 1

    # Health

    def slowness(self, now: float) -> float:
        """Return how many times slower than its like it works; what is old fades to 1."""
        age = max(0.0, now - self._slowness_at)
        fresh = max(0.0, 1.0 - age / _FORGET_SECONDS)
        return 1.0 + (self._slowness - 1.0) * fresh

    def note_pace(self, ratio: float, now: float) -> None:
        """Learn from a time measured against what is usual."""
        current = self.slowness(now)
        self._slowness = current + _SLOWNESS_WEIGHT * (min(20.0, max(0.3, ratio)) - current)
        self._slowness_at = now

    def is_unreachable(self, now: float) -> bool:
        """Return whether the upstream cannot be reached, as far as is known."""
        return now < self._away_until

    def note_unreachable(self, now: float) -> None:
        """Note that no connection could be opened; try again after a growing pause."""
        self._away_until = now + self._back_off
        self._back_off = min(_LONGEST_BACK_OFF, self._back_off * 2)

    def note_reached(self) -> None:
        """Note that the upstream answers."""
        self._back_off = _FIRST_BACK_OFF
        self._away_until = float("-inf")
