"""Messages between gateways: membership, and views passed on."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ViewKind(Enum):
    """A view of the store that gateways pass on to each other."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    SETTINGS = "settings"
    HOLDS = "holds"


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
    text: str = ""
    """Empty where it is packed."""
    packed: bytes = b""
    """The text as `links/packed_text.py` packs it."""


@dataclass(frozen=True)
class LoadNews:
    """News of load that a scheduler is to pass on, as records (`links/load_records.py`)."""

    records: bytes


@dataclass(frozen=True)
class LoadBatch:
    """News of several gateways from one scheduler to another; empty to say that it is there."""

    sender: str
    records: bytes


@dataclass(frozen=True)
class ModelPull:
    """Asks a scheduler for all that it holds to run, since the asker has become one."""

    sender: str


@dataclass(frozen=True)
class ModelPage:
    """All that a scheduler holds to run, and the paces it has found, as records."""

    records: bytes
    paces: bytes


@dataclass(frozen=True)
class PlacementAsk:
    """Asks a scheduler where a request is to go; times are seconds, lengths tokens."""

    sender: str
    request: int
    """Number of the attempt, if there is to be one."""
    service: str
    route: str
    target: float
    gap: float
    time_left: float
    stream: bool
    copied: bool
    """Whether a copy of the run may be kept, since it must not run twice."""
    again: bool
    """Whether the request was asked for before."""
    prompt_tokens: int
    output_tokens: int
    part_ids: tuple[int, ...]
    part_tokens: tuple[int, ...]
    tier: int
    excluded: tuple[str, ...]
    """Upstreams that the asker has tried or cannot reach."""
    team: str = ""
    share: float = 1.0
    """Weight of the team's part of the service."""
    waited: float = 0.0
    """Since the request came to its gateway."""
    caller: int = 0
    """Number of what stays the same when the request is sent again."""
    waits: bool = False
    """Whether the asker waits for room where the answer says `HELD`; asked again, with the same
    number, the request keeps its place."""
    leaves: bool = False
    """Whether the request waits no longer, so that nothing is to be placed."""


@dataclass(frozen=True)
class PlacementAnswer:
    """Where a request is to go, or why it goes nowhere; the figures are those of `Choice`."""

    sender: str
    request: int
    upstream: str = ""
    refusal: str = ""
    """Empty where an upstream is named; `UNREADY` where the scheduler cannot tell yet."""
    retry_after: float = 0.0
    cost: float = 0.0
    first: float = 0.0
    seconds: float = 0.0
    wait: float = 0.0
    harm: float = 0.0
    reading: int = 0
    ahead: int = 0
    again: int = 0
    running: int = 0
    memory: int = 0
    fetch_from: str = ""
    fetch_tokens: int = 0
    fetch_seconds: float = 0.0
    backup: str = ""
    usual_prompt: float = 0.0
    longest_prompt: float = 0.0
    returned: bool = False
    standing: float = 0.0
    final: bool = False
    """Whether a refused request would also wait in vain."""


UNREADY = "unready"
HELD = "held"
"""In place of a refusal: the request waits there, and is to be asked for again after `retry_after`
seconds; another answer comes as soon as there is room."""


@dataclass(frozen=True)
class WaitingNews:
    """How many requests of each tier wait for a service at a scheduler."""

    sender: str
    service: str
    tiers: tuple[int, ...]
    counts: tuple[int, ...]


class MemberPhase(Enum):
    """What is held of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LOST = "lost"


class StoreContact(Enum):
    """How a member stands with the platform's store."""

    PASSIVE = "passive"
    """It leaves reading to others."""
    READING = "reading"
    """It reads, and is answered."""
    AWAY = "away"
    """It tries to read, and is not answered."""


@dataclass(frozen=True)
class MemberState:
    """What one member says, or passes on, of a member."""

    name: str
    address: str
    hall: str
    region: str
    incarnation: int
    phase: MemberPhase
    configuration: int = -1
    """Revision of the configuration that it has in force; below 0 for none."""
    upstreams: int = -1
    """Revision of the member's view of the upstreams."""
    settings: int = -1
    """Revision of the member's view of the settings tree."""
    contact: StoreContact = StoreContact.PASSIVE
    holds: int = -1
    """Revision of the member's view of the requests that are held."""


@dataclass(frozen=True)
class Ping:
    """A heartbeat and probe; with a target, a request to probe that member for the sender."""

    sender: str
    sequence: int
    target: str
    members: tuple[MemberState, ...]
    """The sender's own state first, then states of others passed on."""
    digest: int = 0
    """Of the names of all members that the sender holds for live; says nothing without `known`."""
    known: int = 0
    """How many these are."""


@dataclass(frozen=True)
class Pong:
    """Answer to a ping; with a target, that member answered."""

    sender: str
    sequence: int
    target: str
    members: tuple[MemberState, ...]
    digest: int = 0
    known: int = 0


@dataclass(frozen=True)
class WorkPull:
    """Asks a gateway what it counted for the holder of the duties."""

    sender: str
    since: int
    """The first window of usage that is of interest."""
    now: float
    """True time in seconds since 1970, as the sender works it out from many clocks."""


@dataclass(frozen=True)
class TeamCount:
    """Requests of a team that began at an upstream in one window of usage."""

    window: int
    team: str
    count: int


@dataclass(frozen=True)
class ServiceDemand:
    """What one gateway has to do for a service."""

    service: str
    running: int
    """Requests in progress, those that wait included."""


@dataclass(frozen=True)
class WorkPage:
    """What a gateway counted, or a part of it."""

    sender: str
    age: float
    """Seconds since its process started."""
    wall: float
    """What its host's clock shows, in seconds since 1970."""
    counts: tuple[TeamCount, ...] = ()
    demand: tuple[ServiceDemand, ...] = ()


@dataclass(frozen=True)
class RosterPull:
    """Asks a member for the members by which its roster differs from the sender's."""

    sender: str
    digests: tuple[int, ...]
    """The sender's, one for each group of names."""


@dataclass(frozen=True)
class RosterPage:
    """A part of a member's roster."""

    sender: str
    members: tuple[MemberState, ...]


@dataclass(frozen=True)
class LeavingNews:
    """Upstreams that said in answers that they leave, and whose entries do not say it."""

    sender: str
    upstreams: tuple[str, ...]
    complete: bool
    """Whether these are all that the sender knows of."""
