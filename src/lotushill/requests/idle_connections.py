"""Limit of idle connections that one gateway keeps open to an upstream; pure functions.

An upstream accepts a few hundred connections from all gateways together and resets the others. If
each of 360 gateways kept one idle connection, the upstream would be full and reset new ones.
"""

from __future__ import annotations

import xxhash

_IDLE_FRACTION = 0.5
"""Fraction of the connections of an upstream that may be idle; the others are for those in use."""
_HASH_RANGE = 2**32


def idle_connection_limit(
    max_connections: int, gateways: int, upstream_id: str, gateway: str
) -> int:
    """Return how many idle connections this gateway may keep to an upstream.

    `max_connections` is the number of connections that the upstream accepts in all. If the share of
    a gateway is less than one, as many gateways as there are connections keep one each; they are
    selected by a hash that each gateway computes for itself.
    """
    share = _IDLE_FRACTION * max_connections / max(1, gateways)
    hash_fraction = xxhash.xxh32_intdigest(f"{upstream_id}/{gateway}") / _HASH_RANGE
    return int(share) if share >= 1.0 else int(hash_fraction < share)
