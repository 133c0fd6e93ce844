"""Upstreams: running instances of a service, as they register themselves."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Upstream:
    """One incarnation of an instance; a restarted instance keeps no state of earlier ones."""

    id: str
    """Id of the incarnation; all data, memory and connections of an upstream are bound to it."""
    service: str
    address: str
    """IP address and port."""
    hall: str
    slots: int
    draining: bool
    """Whether it is leaving and gets no new requests."""
    slow_seconds: float = 0.0
    """Seconds for which it is still slow after its start."""
    instance: str = ""
    """Name of the instance on the platform, which later incarnations may share; empty if it equals
    `id`."""
    version: str = ""
    """Version of its software; a stream goes on only at the version that began it."""
    leaves_seconds: float | None = None
    """Seconds until it ends, as stated when it wrote its entry; None if not stated."""

    @property
    def name(self) -> str:
        """Return the name to which requests are addressed."""
        return self.instance or self.id
