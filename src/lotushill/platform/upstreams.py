"""Parses the platform's entry of an upstream into the gateway's own type."""

from __future__ import annotations

from typing import Any

from lotushill.platform import names
from lotushill.routing.upstream import Upstream
from lotushill.views.exceptions import MalformedEntryError
from lotushill.views.fields import Fields
from lotushill.views.fields import is_header_text

_MS = 1000.0
_MAX_SLOTS = 1_000_000
_MAX_MILLISECONDS = 86_400_000
"""One day in milliseconds; no upstream is slow after its start for longer than that."""
_MAX_INTEGER = 2**63 - 1
_INCARNATION_SEPARATOR = "@"
"""Separates the name of an instance from the start time of its incarnation."""


def parse_upstream(name: str, spec: Any) -> Upstream:
    """Parse the entry of an upstream; raise MalformedEntryError if it is malformed.

    An entry that lacks a field, or has one of another type, comes from another writer. It is not
    taken for an idle upstream: one whose address cannot be used would receive most requests.
    """
    fields = Fields(spec)
    if not is_header_text(name) or _INCARNATION_SEPARATOR in name:
        raise MalformedEntryError("name", "is not valid in a header")
    fields.integer(names.SEQUENCE, 0, _MAX_INTEGER)
    return Upstream(
        id=_incarnation_id(name, fields),
        instance=name,
        service=fields.text("service"),
        address=fields.address("address"),
        hall=fields.text("zone"),
        slots=fields.integer("slots", 1, _MAX_SLOTS),
        draining=fields.choice("state", names.STATES) == names.DRAINING,
        slow_seconds=fields.number(names.COLD_MS, 0.0, _MAX_MILLISECONDS) / _MS,
        version=fields.text("version"),
        leaves_seconds=fields.optional_number(names.LEAVES_MS, 0.0, _MAX_MILLISECONDS, _MS),
    )


def _incarnation_id(name: str, fields: Fields) -> str:
    """Return the id of an incarnation: a restarted instance has lost its earlier state."""
    if not fields.has("born"):
        return name
    return f"{name}{_INCARNATION_SEPARATOR}{fields.integer('born', 0, _MAX_INTEGER)}"
