"""Messages between gateways: membership, views, load, placement and usage."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ViewKind(Enum):
    """A view of the store that gateways send to each other."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    SETTINGS = "settings"
    HOLDS = "holds"


@dataclass(frozen=True)
class ViewPull:
    """Requests a peer's view if it is newer than the sender's revision."""

    kind: ViewKind
    revision: int


@dataclass(frozen=True)
class ViewPage:
    """A peer's view as JSON text."""

    kind: ViewKind
    revision: int
    text: str = ""
    """JSON text; empty if `packed` is set."""
    packed: bytes = b""
    """The JSON text, compressed by `links/packed_text.py`."""


@dataclass(frozen=True)
class LoadNews:
    """A load update that a scheduler is to forward, as records (`links/load_records.py`)."""

    records: bytes


@dataclass(frozen=True)
class LoadBatch:
    """Load updates of several gateways, sent between schedulers; empty as a keepalive."""

    sender: str
    records: bytes


@dataclass(frozen=True)
class ModelPull:
    """Requests a scheduler's model of running requests, as the sender has become a scheduler."""

    sender: str


@dataclass(frozen=True)
class ModelPage:
    """A scheduler's model of running requests and its measured paces, as records."""

    records: bytes
    paces: bytes


@dataclass(frozen=True)
class PlacementAsk:
    """Asks a scheduler to place a request; times are in seconds, lengths in tokens."""

    sender: str
    request: int
    """Number of the attempt, if one is made."""
    service: str
    route: str
    target: float
    gap: float
    time_left: float
    stream: bool
    copied: bool
    """Whether a backup of the run may be kept, as the request must not be executed twice."""
    again: bool
    """Whether a placement of this request was requested before."""
    prompt_tokens: int
    output_tokens: int
    part_ids: tuple[int, ...]
    part_tokens: tuple[int, ...]
    tier: int
    excluded: tuple[str, ...]
    """Upstreams that the sender has tried or cannot reach."""
    team: str = ""
    share: float = 1.0
    """Weight of the team's share of the service."""
    waited: float = 0.0
    """Seconds since the request arrived at its gateway."""
    caller: int = 0
    """Number of the caller, from properties that are the same when the request is sent again."""
    waits: bool = False
    """Whether the sender waits for a free slot if the answer is `HELD`; a renewal with the same
    number keeps the request's place in the queue."""
    leaves: bool = False
    """Whether the request has left the queue, so that nothing is to be placed."""
    team_place: int = 0
    """Rank of the team within the tier plus 1, 0 in messages of versions that send no rank."""
    version: str = ""
    """Software version of the upstreams that may serve it; empty for any."""


@dataclass(frozen=True)
class PlacementAnswer:
    """The upstream of a request or the refusal; the figures are those of `Choice`."""

    sender: str
    request: int
    upstream: str = ""
    refusal: str = ""
    """Reason of a refusal, empty if an upstream is named; `UNREADY` if it cannot be decided yet."""
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
    """Whether waiting would not help a refused request either."""


UNREADY = "unready"
HELD = "held"
"""Value in place of a refusal: the request is queued at the scheduler.

The request is renewed after `retry_after` seconds; another answer follows as soon as there is a
free slot.
"""


@dataclass(frozen=True)
class WaitingNews:
    """Queue entries of a service per tier at one scheduler."""

    sender: str
    service: str
    tiers: tuple[int, ...]
    counts: tuple[int, ...]


class MemberPhase(Enum):
    """Phase of a member as recorded by another member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LOST = "lost"


class StoreContact(Enum):
    """Contact of a member with the platform's store."""

    PASSIVE = "passive"
    """The member does not read the store; other members do."""
    READING = "reading"
    """The member reads the store, and its calls are answered."""
    AWAY = "away"
    """The member tries to read the store, but its calls are not answered."""


@dataclass(frozen=True)
class MemberState:
    """State of a member, as it reports itself or as another member forwards it."""

    name: str
    address: str
    hall: str
    region: str
    incarnation: int
    phase: MemberPhase
    configuration: int = -1
    """Revision of the configuration that the member has in force; below 0 for none."""
    upstreams: int = -1
    """Revision of the member's view of the upstreams."""
    settings: int = -1
    """Revision of the member's view of the settings tree."""
    contact: StoreContact = StoreContact.PASSIVE
    holds: int = -1
    """Revision of the member's view of held requests."""


@dataclass(frozen=True)
class Ping:
    """A heartbeat and probe; with a target, a request to probe that member for the sender."""

    sender: str
    sequence: int
    target: str
    members: tuple[MemberState, ...]
    """The sender's own state first, then forwarded states of other members."""
    digest: int = 0
    """Hash of the names of all members live at the sender; has no meaning without `known`."""
    known: int = 0
    """Number of members that the digest covers."""


@dataclass(frozen=True)
class Pong:
    """Answer to a ping; with a target, it reports that this member answered."""

    sender: str
    sequence: int
    target: str
    members: tuple[MemberState, ...]
    digest: int = 0
    known: int = 0


@dataclass(frozen=True)
class WorkPull:
    """Requests the usage counts and demand of a gateway for the holder of the duties."""

    sender: str
    since: int
    """First usage window that is requested."""
    now: float
    """True time in seconds since 1970, which the sender estimates from many clocks."""


@dataclass(frozen=True)
class TeamCount:
    """Number of requests of a team that began at an upstream in one usage window."""

    window: int
    team: str
    count: int


@dataclass(frozen=True)
class ServiceDemand:
    """Demand for a service at one gateway."""

    service: str
    running: int
    """Requests in progress, including those that wait."""


@dataclass(frozen=True)
class WorkPage:
    """The usage counts and demand of a gateway, or a part of them."""

    sender: str
    age: float
    """Seconds since its process started."""
    wall: float
    """Time of the host's clock in seconds since 1970."""
    counts: tuple[TeamCount, ...] = ()
    demand: tuple[ServiceDemand, ...] = ()


@dataclass(frozen=True)
class RosterPull:
    """Requests the members by which the receiver's roster differs from the sender's."""

    sender: str
    digests: tuple[int, ...]
    """Digests of the sender's roster, one for each digest group."""


@dataclass(frozen=True)
class RosterPage:
    """A part of a member's roster."""

    sender: str
    members: tuple[MemberState, ...]


@dataclass(frozen=True)
class LeavingNews:
    """Upstreams that announced in answers that they leave, but whose entries do not say so."""

    sender: str
    upstreams: tuple[str, ...]
    complete: bool
    """Whether the list contains all upstreams of this kind known to the sender."""
