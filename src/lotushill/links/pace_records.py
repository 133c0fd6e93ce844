"""Encodes long-term paces of upstreams as fixed-size records, for a new scheduler.

Upstreams are identified by a hash of their id. The size of a page is bounded, and paces out of
range are omitted: a wrong pace would keep requests from an upstream until it was used again.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.load_records import upstream_number
from lotushill.placement.engine_pace import LongTermPace

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

_RECORD = struct.Struct("<Qff")
"""Fields of a pace: upstream; slowness in steps; slowness in prefill relative to that in steps."""
MAX_PACES_PER_PAGE = 2_000
"""Maximum paces on one page, which is 32 kB."""
_MIN_SLOWNESS = 0.05
_MAX_SLOWNESS = 20.0


def pack_paces(paces: Sequence[LongTermPace]) -> bytes:
    """Return the records of the paces, up to the maximum of one page."""
    return b"".join(
        _RECORD.pack(upstream_number(item.upstream), item.step_slowness, item.prefill_slowness)
        for item in paces[:MAX_PACES_PER_PAGE]
    )


def unpack_paces(data: bytes, upstream_id: Callable[[int], str | None]) -> list[LongTermPace]:
    """Return the paces that records contain; raise MalformedFrameError for anything else.

    `upstream_id` returns the id of an upstream by its number; unknown ones are omitted.
    """
    if len(data) % _RECORD.size or len(data) > MAX_PACES_PER_PAGE * _RECORD.size:
        raise MalformedFrameError("pace records are truncated or more than one page may contain")
    paces = []
    for number, step_slowness, read_slowness in _RECORD.iter_unpack(data):
        name = upstream_id(number)
        if (
            name is not None
            and _MIN_SLOWNESS <= step_slowness <= _MAX_SLOWNESS
            and _MIN_SLOWNESS <= read_slowness <= _MAX_SLOWNESS
        ):
            paces.append(LongTermPace(name, step_slowness, read_slowness))
    return paces
