"""An upstream: one running instance of a service, as it tells of itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Upstream:
    """One instance; every start of a program is a new instance with a new `id`."""

    id: str
    service: str
    address: str
    """IP number and port."""
    hall: str
    slots: int
    draining: bool
    """Whether it is leaving and gets no new requests."""
    slow_seconds: float = 0.0
    """How much longer it is slow from its start."""
