"""Messages between gateways about requests during which upstreams failed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SuspectState:
    """Upstream failures that a gateway has recorded for one request, or for one part of prompts."""

    identity: bytes
    team: str
    path: str
    upstreams: tuple[str, ...]
    """Upstreams that failed during the request since it was last cleared."""
    ages: tuple[float, ...] = ()
    """Seconds since each of these failures, if the suspect is a part; empty for a request."""
    held: bool = False
    """Whether the sender holds the part."""


@dataclass(frozen=True)
class SuspectNews:
    """Requests during which upstreams failed."""

    sender: str
    suspects: tuple[SuspectState, ...]


@dataclass(frozen=True)
class GroupEnd:
    """An upstream failed before a request of a group received its first event."""

    service: str
    label: str
    """Label of the group."""
    upstream: str
    """Failed upstream; empty if only completions are reported."""
    whole: int
    """Number of recently completed requests of the group at the sender."""


@dataclass(frozen=True)
class IsolatedGroup:
    """An isolated group; times are in seconds."""

    service: str
    label: str
    left: float
    """Remaining time of the isolation."""
    pause: float
    """Pause after the group's next upstream failure."""


@dataclass(frozen=True)
class GroupNews:
    """Groups of requests during which upstreams failed."""

    sender: str
    ends: tuple[GroupEnd, ...] = ()
    isolated: tuple[IsolatedGroup, ...] = ()
    """Groups that the sender isolates; empty if it reports only failures."""


@dataclass(frozen=True)
class BegunPart:
    """The latest first event of a request with a part of prompts."""

    identity: bytes
    age: float
    """Seconds since the event."""


@dataclass(frozen=True)
class ClearedNews:
    """Completed requests, and parts of prompts that are not at fault for earlier failures."""

    sender: str
    since: tuple[bytes, ...]
    """Requests completed after their last failure, so that they did not cause it."""
    before: tuple[bytes, ...]
    """Requests completed before their first failure."""
    begun: tuple[BegunPart, ...] = ()
