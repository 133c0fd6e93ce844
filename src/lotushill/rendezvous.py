"""Rendezvous hashing: every member computes the same owner from the same members."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def owner(key: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest hash for a key, None if there are no members."""
    return max(members, key=lambda name: (_weight(key, name), name), default=None)


def ranked(key: str, members: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the `count` members with the highest hashes for a key, highest first."""
    order = sorted(members, key=lambda name: (_weight(key, name), name), reverse=True)
    return tuple(order[:count])


def _weight(key: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{member}")
