"""A request that is held, as the platform's store keeps it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lotushill.quarantine.identity import IDENTITY_BYTES

KIND = "lotushill-quarantine"
"""The kind of the store with an object for each request that is held, named by its identity."""
_LATEST = 2**37
"""Seconds since 1970; far beyond any."""


@dataclass(frozen=True)
class StoredHold:
    """Who sends the request, and the evidence."""

    team: str
    path: str
    upstreams: tuple[str, ...]
    """Those that ended under it."""
    since: float
    """Seconds since 1970, by the clock of the gateway that wrote it."""

    def to_spec(self) -> dict[str, object]:
        """Return the object's spec."""
        return {
            "team": self.team,
            "path": self.path,
            "upstreams": list(self.upstreams),
            "since": self.since,
        }


def read_hold(name: str, spec: Any) -> tuple[bytes, StoredHold] | None:
    """Return the identity and the hold of an object, None for one that cannot be read.

    The name alone says what is held: an object whose spec another writer has spoilt still holds.
    """
    identity = _identity(name)
    if identity is None:
        return None
    told = spec if isinstance(spec, dict) else {}
    team, path, since = told.get("team"), told.get("path"), told.get("since")
    upstreams = told.get("upstreams")
    listed = upstreams if isinstance(upstreams, list) else []
    return identity, StoredHold(
        team if isinstance(team, str) else "",
        path if isinstance(path, str) else "",
        tuple(item for item in listed if isinstance(item, str)),
        _seconds(since),
    )


def _seconds(value: Any) -> float:
    return float(value) if type(value) in (int, float) and 0 <= value < _LATEST else 0.0


def _identity(name: str) -> bytes | None:
    try:
        identity = bytes.fromhex(name)
    except ValueError:
        return None
    return identity if len(identity) == IDENTITY_BYTES else None
