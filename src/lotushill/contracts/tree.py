"""The operators' documents: one root, and one object per team."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

from pydantic import Field

from lotushill.contracts.document import Document
from lotushill.contracts.policy import Name
from lotushill.contracts.policy import Policy

KEY_HASH_PATTERN = r"^sha256:[0-9a-f]{64}$"
KeyHash = Annotated[str, Field(pattern=KEY_HASH_PATTERN)]


class Pool(Document):
    """A set of upstreams that can stand in for one another."""

    kind: Literal["engine", "service"]
    """`engine` speaks the completion calls; `service` is plain HTTP."""
    model: str | None = None
    """Model name that callers use; for an engine only."""
    slots: Annotated[int, Field(gt=0, le=4096)] = 16
    """Requests at one time with which an upstream starts, before its cap adapts."""
    resume: bool = True
    """Whether an engine can go on from the text that another one produced."""
    max_slots: Annotated[int, Field(gt=0, le=4096)] = 64
    """Requests at one time that no upstream of the pool is ever given more than."""


class Root(Document):
    """The root of the tree: tiers, pools and the values that every team inherits."""

    tiers: Annotated[tuple[Name, ...], Field(min_length=1, max_length=16)]
    """Names of the tiers, the highest first."""
    pools: dict[Name, Pool]
    policy: Policy = Policy()


class ServiceClass(Document):
    """One class of one service."""

    policy: Policy = Policy()


class Service(Document):
    """One service of a team, with its classes."""

    policy: Policy = Policy()
    classes: dict[Name, ServiceClass] = {}


class Team(Document):
    """One team: its keys and its services."""

    team: Name
    keys: tuple[KeyHash, ...] = ()
    """Hashes of the bearer keys that name this team; the keys themselves are kept nowhere."""
    policy: Policy = Policy()
    services: dict[Name, Service] = {}
