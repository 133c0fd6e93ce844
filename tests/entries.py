"""Entries of upstreams in the form in which the platform's store contains them."""

from __future__ import annotations

from typing import Any


def entry(service: str, address: str, **changes: Any) -> dict[str, Any]:
    """Return the entry of a ready upstream with some fields changed."""
    return {
        "service": service,
        "address": address,
        "zone": "z",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "seqNo": 1,
        **changes,
    }
