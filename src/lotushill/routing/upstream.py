"""An upstream: one running instance of a service, as it tells of itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Upstream:
    """One life of an instance: whoever starts again holds and knows nothing of before."""

    id: str
    """Of the life: all that is known, kept or connected hangs on it."""
    service: str
    address: str
    """IP number and port."""
    hall: str
    slots: int
    draining: bool
    """Whether it is leaving and gets no new requests."""
    slow_seconds: float = 0.0
    """How much longer it is slow from its start."""
    instance: str = ""
    """Its name at the platform, which later lives may share; empty where it is the `id`."""

    leaves_seconds: float | None = None
    """In how many seconds it ends, as it said when it wrote its entry; None if it did not."""

    @property
    def name(self) -> str:
        """Return what requests to it are addressed with."""
        return self.instance or self.id
