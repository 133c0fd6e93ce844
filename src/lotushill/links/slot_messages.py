"""Messages between gateways about the slots of brittle upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True)
class SlotAsk:
    """Asks the owner of an upstream's slots for one of them; repeated until it is answered."""

    sender: str
    number: int
    """Number of the slot permit, unique at its sender."""
    upstream: str
    max_rejections: float
    """Rejections per second that the upstream bears, as its gateway knows."""
    tier: int
    """Tier of the request; 0 is the most urgent."""
    seconds: float
    """Seconds until the request has ended at the latest."""


@dataclass(frozen=True)
class SlotAnswer:
    """Grants or denies a slot."""

    number: int
    """Number of the ask that is answered."""
    granted: bool


class SlotEnd(Enum):
    """How an attempt ended that held a slot."""

    SERVED = "served"
    """The upstream has answered it."""
    UNSENT = "unsent"
    """It did not reach the upstream."""
    CUT = "cut"
    """It was broken off; the upstream may notice that a moment later."""
    REJECTED = "rejected"
    """The upstream had no room for it."""


@dataclass(frozen=True)
class HeldSlot:
    """A slot permit that is in use."""

    number: int
    seconds: float
    """Seconds until its request has ended at the latest."""


@dataclass(frozen=True)
class EndedSlot:
    """A slot permit that is given back."""

    number: int
    how: SlotEnd


@dataclass(frozen=True)
class SlotReport:
    """Tells the owner which slots of an upstream a gateway holds, and which it gives back.

    Repeated until it is acknowledged.
    """

    sender: str
    sequence: int
    """Number of the report, unique at its sender."""
    upstream: str
    held: tuple[HeldSlot, ...] = ()
    ended: tuple[EndedSlot, ...] = ()


@dataclass(frozen=True)
class SlotReportAck:
    """Acknowledges a report on slots."""

    sequence: int
