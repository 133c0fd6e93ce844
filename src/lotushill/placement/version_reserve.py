"""Leaves room at the last upstreams of a software version to streams that began there. Pure.

Handles versions that serve side by side while one of them is replaced: under high load, new streams
fill the few upstreams that the old version still has, although they could go anywhere, and streams
that have to go on there find no slot.
"""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from lotushill.routing.upstream import Upstream

_MAX_SCARCE_UPSTREAMS = 2
"""Number of upstreams up to which a version counts as scarce."""
_RESERVED_FRACTION = 0.125
"""Fraction of a scarce upstream's slots that is left to streams bound to its version."""


def without_reserved(
    upstreams: list[Upstream],
    serving: Collection[Upstream],
    free_slots: Callable[[Upstream], int],
) -> list[Upstream]:
    """Return the upstreams that a request may use which is not bound to a version.

    `serving` contains all upstreams of the service that accept requests. Upstreams of a scarce
    version with no more free slots than the reserve are left out, as long as another version has an
    upstream with a free slot.
    """
    if _has_one_version(serving):
        return upstreams
    counts = Counter(item.version for item in serving)
    by_version: dict[str, list[Upstream]] = defaultdict(list)
    for item in upstreams:
        by_version[item.version].append(item)
    if not any(
        free_slots(item) > 0
        for version, items in by_version.items()
        if counts[version] > _MAX_SCARCE_UPSTREAMS
        for item in items
    ):
        return upstreams
    return [
        item
        for item in upstreams
        if counts[item.version] > _MAX_SCARCE_UPSTREAMS or free_slots(item) > _reserve(item)
    ]


def _has_one_version(upstreams: Collection[Upstream]) -> bool:
    """Return whether all upstreams have the same version, without counting them."""
    first = next(iter(upstreams), None)
    return first is None or all(item.version == first.version for item in upstreams)


def _reserve(upstream: Upstream) -> int:
    return max(1, int(_RESERVED_FRACTION * upstream.slots))
