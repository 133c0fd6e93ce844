"""Running requests and observed health of one upstream."""

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
_SLOWNESS_SECONDS = 6.0
_INITIAL_BACK_OFF_SECONDS = 0.5
_MAX_BACK_OFF_SECONDS = 4.0


class UpstreamLoad:
    """The requests of all gateways on one upstream, and its health as observed by this gateway."""

    def __init__(self) -> None:
        self.running: dict[int, Placed] = {}
        self._expected_seconds = 0.0
        """Sum of the expected durations of the running requests."""
        self.reserved_tokens = 0
        """Maximum number of tokens that the running requests may occupy in the end."""
        self._answer_tokens = 0
        """Tokens in `reserved_tokens` that do not belong to prompt parts."""
        self.prefix_cache = PrefixCacheModel()
        self.failures = FailureRate()
        self.streams_by_target_gap: Counter[float] = Counter()
        """Number of streams by their longest allowed pause."""
        self.prefill_queue = PrefillQueue()
        self._tiers: Counter[int] = Counter()
        self._begun: dict[int, int] = {}
        """Requests whose first event has arrived, with their tiers."""
        self._begun_tiers: Counter[int] = Counter()
        self.answered = 0
        """Number of requests so far whose first event has arrived."""
        self._slowness = 1.0
        self._slowness_at = 0.0
        self.pace = EnginePace()
        self._unreachable_until = float("-inf")
        self._back_off = _INITIAL_BACK_OFF_SECONDS

    def start(self, placed: Placed, memory_tokens: int, now: float) -> None:
        """Add a request on an upstream with a memory of `memory_tokens`."""
        if placed.request in self.running:
            return
        self.running[placed.request] = placed
        self._tiers[placed.tier] += 1
        self._expected_seconds += placed.seconds
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
        self._answer_tokens += max(0, placed.memory - sum(placed.part_tokens))
        self.prefix_cache.touch(parts, memory_tokens - self._answer_tokens)

    def begin(self, request: int, now: float) -> None:
        """Record that the prompt of a request has been processed."""
        self.prefill_queue.finish(request, now)
        placed = self.running.get(request)
        if placed is not None:
            self._note_begun(placed)

    def end(self, request: int, now: float) -> Placed | None:
        """Remove a request."""
        placed = self.running.pop(request, None)
        if placed is None:
            return None
        self.prefill_queue.cancel(request, now)
        self._tiers[placed.tier] -= 1
        if self._begun.pop(request, None) is not None:
            self._begun_tiers[placed.tier] -= 1
        self._expected_seconds -= placed.seconds
        self.reserved_tokens -= placed.memory
        self._answer_tokens -= max(0, placed.memory - sum(placed.part_tokens))
        if placed.target_gap > 0:
            self.streams_by_target_gap[placed.target_gap] -= 1
            if not self.streams_by_target_gap[placed.target_gap]:
                del self.streams_by_target_gap[placed.target_gap]
        return placed

    @property
    def unanswered(self) -> int:
        """Return the number of running requests whose first event has not arrived."""
        return len(self.running) - len(self._begun)

    @property
    def mean_expected_seconds(self) -> float:
        """Return the mean expected duration of the running requests, 0 if there is none."""
        return self._expected_seconds / len(self.running) if self.running else 0.0

    def count_before(self, tier: int) -> int:
        """Return how many requests hold a slot against a new one of a tier.

        A request that has begun keeps its slot to its end, however urgent the new one is; of the
        others, the less urgent are admitted after it.
        """
        return sum(
            count if other <= tier else self._begun_tiers[other]
            for other, count in self._tiers.items()
        )

    def count_more_urgent(self, tier: int) -> int:
        """Return how many running requests are more urgent than a tier."""
        return sum(count for other, count in self._tiers.items() if other < tier)

    def _note_begun(self, placed: Placed) -> None:
        if placed.request not in self._begun:
            self._begun[placed.request] = placed.tier
            self._begun_tiers[placed.tier] += 1
            self.answered += 1

    def slowness(self, now: float) -> float:
        """Return the ratio of its times to those of a typical upstream.

        The ratio decays to 1 without new samples.
        """
        age = max(0.0, now - self._slowness_at)
        remaining = max(0.0, 1.0 - age / _SLOWNESS_SECONDS)
        return 1.0 + (self._slowness - 1.0) * remaining

    def note_pace(self, ratio: float, now: float) -> None:
        """Update the slowness from the ratio of a measured time to the typical one."""
        current = self.slowness(now)
        self._slowness = current + _SLOWNESS_WEIGHT * (min(20.0, max(0.3, ratio)) - current)
        self._slowness_at = now

    def is_unreachable(self, now: float) -> bool:
        """Return whether the upstream counts as unreachable."""
        return now < self._unreachable_until

    def note_unreachable(self, now: float) -> None:
        """Record that no connection could be opened, and double the back-off up to its limit."""
        self._unreachable_until = now + self._back_off
        self._back_off = min(_MAX_BACK_OFF_SECONDS, self._back_off * 2)

    def note_reached(self) -> None:
        """Record that the upstream answers."""
        self._back_off = _INITIAL_BACK_OFF_SECONDS
        self._unreachable_until = float("-inf")
