"""Messages between hosts that are not about dispatch: settings and membership."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lotushill.dispatch.messages import Ask  # noqa: TC001  (the codec reads it at run time)


@dataclass(frozen=True)
class Held:
    """One attempt that an entry is running, told to a new dispatcher."""

    ask: Ask
    upstream: str


@dataclass(frozen=True)
class Pull:
    """Asks a peer for the accepted objects whose digests are not in `known`."""

    generation: int
    known: tuple[str, ...]


@dataclass(frozen=True)
class AcceptedObject:
    """One accepted object of the settings tree."""

    name: str
    digest: str
    text: str


@dataclass(frozen=True)
class Pulled:
    """Answer to a pull: the head that the peer holds and the objects that were missing."""

    generation: int
    head: str
    objects: tuple[AcceptedObject, ...]
    hosts: str
    """The host list as the peer last read it, in JSON; empty if it never has."""


class ViewKind(Enum):
    """A view of the store that gateways pass on to each other."""

    CONFIGURATION = "configuration"
    BACKENDS = "backends"


@dataclass(frozen=True)
class ViewPull:
    """Asks a peer for its view, if it is newer than the asker's revision."""

    kind: ViewKind
    revision: int


@dataclass(frozen=True)
class ViewPage:
    """A peer's view, as JSON text."""

    kind: ViewKind
    revision: int
    text: str


class MemberPhase(Enum):
    """What is held of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LOST = "lost"


@dataclass(frozen=True)
class MemberState:
    """What one member says, or passes on, of a member."""

    name: str
    address: str
    hall: str
    region: str
    incarnation: int
    phase: MemberPhase
    generation: int
    """Generation of the settings, or revision of the configuration, that it has in force."""
    backends: int = 0
    """Revision of the member's view of the backends."""


@dataclass(frozen=True)
class Ping:
    """A heartbeat and probe; with a target, a request to probe that member for the sender."""

    sender: str
    sequence: int
    target: str
    members: tuple[MemberState, ...]
    """The sender's own state first, then states of others passed on."""


@dataclass(frozen=True)
class Pong:
    """Answer to a ping; with a target, that member answered."""

    sender: str
    sequence: int
    target: str
    members: tuple[MemberState, ...]
