"""From the platform's entry of an upstream to the product's own."""

from __future__ import annotations

from typing import Any

from lotushill.platform import names
from lotushill.routing.upstream import Upstream

_MS = 1000.0


def parse_upstream(name: str, spec: Any) -> Upstream | None:
    """Return the upstream of an entry, None for an entry that cannot be read."""
    try:
        return Upstream(
            id=name,
            service=str(spec["service"]),
            address=str(spec["address"]),
            hall=str(spec["zone"]),
            slots=max(1, int(spec.get("slots") or 1)),
            draining=spec.get("state") == names.DRAINING,
            slow_seconds=float(spec.get("coldRemainingMs") or 0.0) / _MS,
        )
    except (KeyError, TypeError, ValueError):
        return None
