"""A held request or prompt part as an object of the platform's store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lotushill.quarantine.identity import IDENTITY_BYTES
from lotushill.quarantine.shared_part import PART_LABEL

KIND = "lotushill-quarantine"
"""The kind in the store that has one object for each held request, named by its identity."""
_MAX_TIME = 2**37
"""Upper bound of valid times in seconds since 1970, far beyond any real time."""


@dataclass(frozen=True)
class StoredHold:
    """The sender of a held request or the name of a held part, and the evidence against it."""

    team: str
    path: str
    """Path of a request, or the name of a part."""
    upstreams: tuple[str, ...]
    """The upstreams that failed while they had the request."""
    since: float
    """Time of the hold in seconds since 1970, by the clock of the gateway that wrote it."""

    @property
    def is_part(self) -> bool:
        """Return whether this is a part of prompts, which has no team and no path."""
        return not self.team and self.path.startswith(PART_LABEL)

    def to_spec(self) -> dict[str, object]:
        """Return the spec of the stored object."""
        return {
            "team": self.team,
            "path": self.path,
            "upstreams": list(self.upstreams),
            "since": self.since,
        }


def read_hold(name: str, spec: Any) -> tuple[bytes, StoredHold] | None:
    """Return the identity and the hold of an object, or None if the name is not an identity.

    The name alone identifies the held request, so an object whose spec was corrupted by another
    writer remains effective.
    """
    identity = _identity(name)
    if identity is None:
        return None
    fields = spec if isinstance(spec, dict) else {}
    team, path, since = fields.get("team"), fields.get("path"), fields.get("since")
    upstreams = fields.get("upstreams")
    upstream_list = upstreams if isinstance(upstreams, list) else []
    return identity, StoredHold(
        team if isinstance(team, str) else "",
        path if isinstance(path, str) else "",
        tuple(item for item in upstream_list if isinstance(item, str)),
        _seconds(since),
    )


def _seconds(value: Any) -> float:
    return float(value) if type(value) in (int, float) and 0 <= value < _MAX_TIME else 0.0


def _identity(name: str) -> bytes | None:
    try:
        identity = bytes.fromhex(name)
    except ValueError:
        return None
    return identity if len(identity) == IDENTITY_BYTES else None
