"""Selects the gateways that keep the origin of a stream.

One in each hall, so that the record outlives any hall and each hall finds it within its own, up to
`_MAX_OWNERS` halls: more copies cost every stream a datagram. Every gateway computes the same
owners from the same members. Where members differ, a gateway asks others than those that were told.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.links.messages import MemberState
    from lotushill.membership.members import Members

_MAX_OWNERS = 4
_MIN_OWNERS = 3
"""Number of owners in a fleet of fewer halls, of which the next best gateways are taken."""


class OriginOwners:
    """The owners among the live members."""

    def __init__(self, members: Members) -> None:
        self._members = members
        self._computed_version = -1
        self._live: tuple[tuple[bytes, MemberState], ...] = ()

    def of(self, request: str) -> list[MemberState]:
        """Return the owners of a stream, named by its first request; this gateway may be one."""
        if self._members.composition_version != self._computed_version:
            self._computed_version = self._members.composition_version
            self._live = tuple((item.name.encode(), item) for item in self._members.live())
        key = xxhash.xxh64_intdigest(request)
        order = sorted(
            self._live, key=lambda item: xxhash.xxh64_intdigest(item[0], seed=key), reverse=True
        )
        return _one_in_each_hall(item for _, item in order)


def _one_in_each_hall(order: Iterable[MemberState]) -> list[MemberState]:
    """Return the first member of each hall, then others up to the least number."""
    first: dict[str, MemberState] = {}
    rest = []
    for item in order:
        if item.hall not in first and len(first) < _MAX_OWNERS:
            first[item.hall] = item
        else:
            rest.append(item)
    return [*first.values(), *rest[: max(0, _MIN_OWNERS - len(first))]]
