"""Where a request goes while nothing is known of what upstreams run. Pure.

Each upstream has a credit at this gateway: one request, and one more for each that it has begun.
Among those with credit left the choice is drawn, so that gateways which know nothing of each other
spread; a choice by rank or by a small model would be the same at all of them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from lotushill.routing.upstream import Upstream

_FIRST_CREDIT = 1


@dataclass(frozen=True)
class UpstreamCredit:
    """What this gateway has seen of an upstream since its start."""

    upstream: Upstream
    unanswered: int
    """Own requests that it has not begun."""
    answered: int
    """Own requests that it has begun."""

    @property
    def credit(self) -> int:
        """Return how many more requests it may be sent."""
        return _FIRST_CREDIT + self.answered - self.unanswered


def draw_upstream(seen: Sequence[UpstreamCredit], rng: random.Random) -> list[Upstream]:
    """Return the one to take, none of none.

    Without credit anywhere it is one of those with the most: no request is refused since too
    little is known.
    """
    if not seen:
        return []
    open_ones = [item for item in seen if item.credit > 0]
    if not open_ones:
        most = max(item.credit for item in seen)
        open_ones = [item for item in seen if item.credit == most]
    return [rng.choice(open_ones).upstream]
