"""Which upstreams are weighed at all where there are many, so that a choice costs the same."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.placement.need import Need
    from lotushill.routing.upstream import Upstream

MAX_WEIGHED_UPSTREAMS = 64


def shortlist(need: Need, upstreams: Sequence[Upstream]) -> Sequence[Upstream]:
    """Return the upstreams to weigh for a request: all of a few, or some of many.

    Which of many is told by a hash of the prompt's first parts and of the upstream: requests that
    share a prompt meet the same upstreams, and those of other prompts are spread over all.
    """
    if len(upstreams) <= MAX_WEIGHED_UPSTREAMS:
        return upstreams
    shared = need.parts[0].id if need.parts else 0
    prompt = need.parts[-2].id if len(need.parts) > 1 else shared
    order = sorted(
        upstreams, key=lambda item: xxhash.xxh32_intdigest(item.id, seed=prompt & 0xFFFFFFFF)
    )
    return order[:MAX_WEIGHED_UPSTREAMS]
