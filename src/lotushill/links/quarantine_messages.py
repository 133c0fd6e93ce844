"""What gateways tell each other of requests under which upstreams end."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SuspectState:
    """What a gateway holds against one request."""

    identity: bytes
    team: str
    path: str
    upstreams: tuple[str, ...]
    """Those that ended under it since it was last cleared."""


@dataclass(frozen=True)
class SuspectNews:
    """Requests under which upstreams ended."""

    sender: str
    suspects: tuple[SuspectState, ...]


@dataclass(frozen=True)
class GroupEnd:
    """An upstream ended before a request of a group had its first event."""

    service: str
    label: str
    """Of the group."""
    upstream: str
    """Empty where only whole answers are told."""
    whole: int
    """Requests of the group that the sender had answered whole of late."""


@dataclass(frozen=True)
class IsolatedGroup:
    """A group that is kept apart; times are seconds."""

    service: str
    label: str
    left: float
    """How much longer."""
    pause: float
    """After its next end."""


@dataclass(frozen=True)
class GroupNews:
    """Groups of requests under which upstreams ended."""

    sender: str
    ends: tuple[GroupEnd, ...] = ()
    isolated: tuple[IsolatedGroup, ...] = ()
    """What the sender keeps apart, empty where it tells of ends alone."""


@dataclass(frozen=True)
class ClearedNews:
    """Requests that were answered whole."""

    sender: str
    since: tuple[bytes, ...]
    """Since their last end, so that it was not theirs."""
    before: tuple[bytes, ...]
    """Before their first end."""
