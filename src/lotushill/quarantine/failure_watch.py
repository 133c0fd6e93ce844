"""Interrupted requests for which it is not yet known whether their upstream failed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.quarantine.group import Group
    from lotushill.quarantine.shared_part import SharedPart

_WATCH_SECONDS = 12.0
"""Seconds for which an interrupted request is watched.

An upstream that failed unannounced stays listed for three of its heartbeats, which are about 1.2 s
each, and for three more if the store was unavailable.
"""
_MAX_REQUESTS = 1024


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
    shared_parts: tuple[SharedPart, ...] = ()
    """The parts of its prompt that other requests may share."""
    at: float = 0.0
    """Time at which the connection was lost."""


class FailureWatch:
    """Stores interrupted requests for a bounded time, until their upstream is no longer listed."""

    def __init__(self) -> None:
        self._interrupted: list[tuple[InterruptedRequest, float]] = []

    def add(self, request: InterruptedRequest, now: float) -> None:
        """Store a request that was interrupted by an upstream that may have failed."""
        self._interrupted.append((request, now + _WATCH_SECONDS))
        del self._interrupted[:-_MAX_REQUESTS]

    def pop_failed(
        self, state_of: Callable[[str], Listing], now: float
    ) -> list[InterruptedRequest]:
        """Remove and return the requests whose upstream failed unannounced.

        Requests interrupted by a planned shutdown are dropped.
        """
        if not self._interrupted:
            return []
        states = {request.upstream: state_of(request.upstream) for request, _ in self._interrupted}
        failed = [
            request for request, _ in self._interrupted if states[request.upstream] is Listing.GONE
        ]
        self._interrupted = [
            (request, until)
            for request, until in self._interrupted
            if now < until and states[request.upstream] is Listing.SERVING
        ]
        return failed
