"""Limits how many upstreams are weighed for a request, which bounds the time of a decision."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.placement.need import Need
    from lotushill.routing.upstream import Upstream

MAX_WEIGHED_UPSTREAMS = 64


def shortlist(need: Need, upstreams: Sequence[Upstream]) -> Sequence[Upstream]:
    """Return the upstreams to weigh for a request: all if there are few, else a subset.

    The subset depends on a hash of the prompt's first parts and of the upstream: requests that
    share a prompt get the same upstreams, and different prompts are spread over all upstreams.
    """
    if len(upstreams) <= MAX_WEIGHED_UPSTREAMS:
        return upstreams
    shared = need.parts[0].id if need.parts else 0
    prompt = need.parts[-2].id if len(need.parts) > 1 else shared
    order = sorted(
        upstreams, key=lambda item: xxhash.xxh32_intdigest(item.id, seed=prompt & 0xFFFFFFFF)
    )
    return order[:MAX_WEIGHED_UPSTREAMS]
