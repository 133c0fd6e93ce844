"""Chooses an upstream while the load of the upstreams is unknown. Performs no I/O.

Each upstream has a credit at this gateway: one request, plus one for each request that it has
begun. The choice among upstreams with remaining credit is random, so that gateways without
knowledge of each other spread their requests; a choice by rank or by an incomplete model would be
the same on all of them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from lotushill.routing.upstream import Upstream

_INITIAL_CREDIT = 1


@dataclass(frozen=True)
class UpstreamCredit:
    """Requests of this gateway on one upstream since the gateway's start."""

    upstream: Upstream
    unanswered: int
    """Own requests that the upstream has not begun."""
    answered: int
    """Own requests that the upstream has begun."""

    @property
    def credit(self) -> int:
        """Return how many more requests may be sent to the upstream."""
        return _INITIAL_CREDIT + self.answered - self.unanswered


def draw_upstream(upstream_credits: Sequence[UpstreamCredit], rng: random.Random) -> list[Upstream]:
    """Return a list of the chosen upstream, empty if there are no upstreams.

    If no upstream has credit, one of those with the highest credit is chosen: no request is refused
    because too little is known.
    """
    if not upstream_credits:
        return []
    with_credit = [item for item in upstream_credits if item.credit > 0]
    if not with_credit:
        max_credit = max(item.credit for item in upstream_credits)
        with_credit = [item for item in upstream_credits if item.credit == max_credit]
    return [rng.choice(with_credit).upstream]
