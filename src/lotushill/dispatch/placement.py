"""Choosing an upstream for one request among those that have room for it."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import Enum
from operator import itemgetter
from statistics import median_low
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.dispatch.messages import Ask
    from lotushill.dispatch.upstream_state import UpstreamState

TOKENS_PER_LOAD = 4000.0
"""Cached prompt tokens that are worth as much as one whole engine's load."""
_RUNNERS_UP = 2
"""Upstreams named in the decision log beside the one chosen."""
_LOWER_TIER_LOAD = 0.25
"""How much of a slot a request of a lower tier takes from a higher one."""


class Contention(Enum):
    """What a request of a higher tier does when lower ones hold the slots."""

    QUEUE = "queue"
    """It waits for one to end."""
    PAUSE = "pause"
    """It is granted over the cap; the engine's own priorities pause the lower ones."""
    PREEMPT = "preempt"
    """A lower one is stopped, to be taken up again later."""


@dataclass(frozen=True)
class Choice:
    """The upstream chosen, its score and the runners-up, for the decision log."""

    upstream: UpstreamState
    score: float
    cached_tokens: int
    others: tuple[str, ...]

    def why(self) -> str:
        """Return the choice in key=value words."""
        others = ",".join(self.others) or "none"
        return f"score={self.score:.3f} cached={self.cached_tokens} runners_up={others}"


def has_room(upstream: UpstreamState, tier: int, contention: Contention) -> bool:
    """Return whether an upstream may take one more request of a tier."""
    total = upstream.total()
    if total < upstream.cap.slots:
        return True
    if contention is not Contention.PAUSE:
        return False
    return upstream.count(tier) < upstream.cap.slots and total < upstream.cap.ceiling


def choose(
    ask: Ask,
    candidates: Iterable[UpstreamState],
    usual_gap: float,
    tokens_per_load: float = TOKENS_PER_LOAD,
) -> Choice | None:
    """Return the upstream with the least load after counting prompt tokens it likely holds."""
    scores = (
        (_score(ask, upstream, usual_gap, tokens_per_load), upstream.name, upstream)
        for upstream in candidates
    )
    scored = heapq.nsmallest(1 + _RUNNERS_UP, scores, key=itemgetter(0, 1))
    if not scored:
        return None
    score, _, best = scored[0]
    others = tuple(f"{name}:{value:.2f}" for value, name, _ in scored[1:])
    return Choice(best, score, best.prefixes.matched_tokens(ask.prefix), others)


def usual_gap(upstreams: Iterable[UpstreamState]) -> float:
    """Return the median seconds between tokens over the upstreams of a cell, 0 if unknown."""
    gaps = [upstream.health.gap for upstream in upstreams if upstream.health.gap]
    return median_low(gaps) if gaps else 0.0


def _score(ask: Ask, upstream: UpstreamState, gap: float, tokens_per_load: float) -> float:
    ahead = upstream.count(ask.tier)
    below = upstream.total() - ahead
    load = (ahead + 1 + _LOWER_TIER_LOAD * below) / upstream.cap.slots
    cached = upstream.prefixes.matched_tokens(ask.prefix) if tokens_per_load else 0
    saving = cached / tokens_per_load if cached else 0.0
    return load * upstream.health.slowness(gap) - saving
