"""Requests that were cut, while it is not known whether their upstream ended."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.quarantine.group import Group

_SECONDS = 12.0
"""An upstream that ended without a word is listed for three of its heartbeats, which are some
1.2 s, and then three more where the store was away."""
_MOST = 1024


class Listing(Enum):
    """What the list of upstreams says of one."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True)
class InterruptedRequest:
    """One request that lost its upstream."""

    identity: bytes
    team: str
    path: str
    upstream: str
    groups: tuple[Group, ...] = ()
    """Its groups where no event of it had come, so that it may be what its upstream ended by."""


class FailureWatch:
    """Keeps cuts until their upstream is seen to be gone, for a bounded time."""

    def __init__(self) -> None:
        self._cuts: list[tuple[InterruptedRequest, float]] = []

    def add(self, cut: InterruptedRequest, now: float) -> None:
        """Note a cut by an upstream that may have ended."""
        self._cuts.append((cut, now + _SECONDS))
        del self._cuts[:-_MOST]

    def pop_failed(
        self, state_of: Callable[[str], Listing], now: float
    ) -> list[InterruptedRequest]:
        """Return the cuts whose upstream is gone without a word, and forget planned ends."""
        if not self._cuts:
            return []
        states = {cut.upstream: state_of(cut.upstream) for cut, _ in self._cuts}
        ended = [cut for cut, _ in self._cuts if states[cut.upstream] is Listing.GONE]
        self._cuts = [
            (cut, until)
            for cut, until in self._cuts
            if now < until and states[cut.upstream] is Listing.SERVING
        ]
        return ended
