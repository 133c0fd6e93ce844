"""From the platform's entry of an upstream to the product's own."""

from __future__ import annotations

from typing import Any

from lotushill.platform import names
from lotushill.routing.upstream import Upstream
from lotushill.views.exceptions import MalformedEntryError
from lotushill.views.fields import Fields
from lotushill.views.fields import is_header_text

_MS = 1000.0
_MOST_SLOTS = 1_000_000
_MOST_MS = 86_400_000
"""A day; nothing is slow from its start for so long."""
_MOST_WHOLE = 2**63 - 1
_BORN = "@"
"""Between the name and the birth of a life."""


def parse_upstream(name: str, spec: Any) -> Upstream:
    """Return the upstream of an entry; raise MalformedEntryError for one of another writer.

    An entry that lacks a field, or has one of another type, names nothing that serves: taken for an
    idle upstream, one without a usable address would draw most requests.
    """
    fields = Fields(spec)
    if not is_header_text(name) or _BORN in name:
        raise MalformedEntryError("name", "cannot stand in a header")
    fields.text("version")
    fields.integer(names.SEQUENCE, 0, _MOST_WHOLE)
    return Upstream(
        id=_life(name, fields),
        instance=name,
        service=fields.text("service"),
        address=fields.address("address"),
        hall=fields.text("zone"),
        slots=fields.integer("slots", 1, _MOST_SLOTS),
        draining=fields.choice("state", names.STATES) == names.DRAINING,
        slow_seconds=fields.number(names.COLD_MS, 0.0, _MOST_MS) / _MS,
        leaves_seconds=fields.optional_number(names.LEAVES_MS, 0.0, _MOST_MS, _MS),
    )


def _life(name: str, fields: Fields) -> str:
    """Return the id of one life: an instance that starts again knows nothing of before."""
    if not fields.has("born"):
        return name
    return f"{name}{_BORN}{fields.integer('born', 0, _MOST_WHOLE)}"
