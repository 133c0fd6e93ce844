"""From the platform's entry of a backend to the product's own."""

from __future__ import annotations

from typing import Any

from lotushill.platform import names
from lotushill.routing.backend import Backend

_MS = 1000.0


def parse_backend(name: str, spec: Any) -> Backend | None:
    """Return the backend of an entry, None for an entry that cannot be read."""
    try:
        return Backend(
            id=name,
            service=str(spec["service"]),
            address=str(spec["address"]),
            zone=str(spec["zone"]),
            slots=max(1, int(spec.get("slots") or 1)),
            draining=spec.get("state") == names.DRAINING,
            slow_seconds=float(spec.get("coldRemainingMs") or 0.0) / _MS,
        )
    except (KeyError, TypeError, ValueError):
        return None
