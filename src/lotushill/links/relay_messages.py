"""Messages that open a connection to an upstream through another gateway."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RelayOutcome(Enum):
    """Result of opening a connection for another gateway."""

    OPEN = "open"
    """The connection is open: all further bytes on both sides belong to it."""
    REFUSED = "refused"
    """Nothing listens at the address."""
    UNREACHABLE = "unreachable"
    """No connection was established in time."""
    UNKNOWN = "unknown"
    """The address is that of no upstream known to the relay."""
    UNAVAILABLE = "unavailable"
    """The relay reaches no upstreams itself, stops, or has too many relayed connections."""


@dataclass(frozen=True)
class RelayOpen:
    """Asks a gateway to open a connection to an upstream; the first message on a connection."""

    sender: str
    address: str
    """Address of the upstream (IP:PORT)."""


@dataclass(frozen=True)
class RelayAnswer:
    """Answers `RelayOpen`."""

    outcome: RelayOutcome
