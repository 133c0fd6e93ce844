"""Interrupted requests for which it is not yet known whether their upstream failed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.quarantine.group import Group

_SECONDS = 12.0
"""Seconds for which an interrupted request is watched.

An upstream that failed unannounced stays listed for three of its heartbeats, which are about 1.2 s
each, and for three more if the store was unavailable.
"""
_MOST = 1024


class Listing(Enum):
    """Status of an upstream in the list of upstreams."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True)
class InterruptedRequest:
    """One request that lost the connection to its upstream."""

    identity: bytes
    team: str
    path: str
    upstream: str
    groups: tuple[Group, ...] = ()
    """The groups of the request if no event of its response had arrived, otherwise empty.

    Only a request without any event can be the cause of the upstream failure.
    """


class FailureWatch:
    """Stores interrupted requests for a bounded time, until their upstream is no longer listed."""

    def __init__(self) -> None:
        self._cuts: list[tuple[InterruptedRequest, float]] = []

    def add(self, cut: InterruptedRequest, now: float) -> None:
        """Store a request that was interrupted by an upstream that may have failed."""
        self._cuts.append((cut, now + _SECONDS))
        del self._cuts[:-_MOST]

    def pop_failed(
        self, state_of: Callable[[str], Listing], now: float
    ) -> list[InterruptedRequest]:
        """Remove and return the requests whose upstream failed unannounced.

        Requests interrupted by a planned shutdown are dropped.
        """
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
