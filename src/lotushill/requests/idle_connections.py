"""How many connections a gateway keeps open to an upstream that nobody uses now. Pure.

The load that it answers: an upstream takes some hundred connections from all gateways together and
resets the rest. One that each of 360 gateways keeps for itself fills it, and new ones are reset.
"""

from __future__ import annotations

import xxhash

_IDLE_SHARE = 0.5
"""Of the connections that an upstream takes; the others are for those that are in use."""
_WHOLE = 2**32


def idle_connection_limit(
    max_connections: int, gateways: int, upstream_id: str, gateway: str
) -> int:
    """Return this gateway's part of the connections that may rest at an upstream.

    `most` is how many the upstream takes in all. Where the part is less than one, as many gateways
    as there are connections keep one, drawn by a hash that each works out alone.
    """
    part = _IDLE_SHARE * max_connections / max(1, gateways)
    drawn = xxhash.xxh32_intdigest(f"{upstream_id}/{gateway}") / _WHOLE
    return int(part) if part >= 1.0 else int(drawn < part)
