"""Lasting paces of upstreams as fixed records, for a gateway that becomes a scheduler.

Upstreams are named by a hash of their id. A page is bounded, and paces out of their range are left
out: a wrong one would keep requests from an upstream until it was used again.
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
"""Upstream; times slower than its like in steps, and beside these in reading."""
MAX_PACES_PER_PAGE = 2_000
"""Told on one page: 32 kB."""
_LEAST = 0.05
_MOST = 20.0


def pack_paces(paces: Sequence[LongTermPace]) -> bytes:
    """Return paces as records, as many as are told."""
    return b"".join(
        _RECORD.pack(upstream_number(item.upstream), item.step_slowness, item.read_slowness)
        for item in paces[:MAX_PACES_PER_PAGE]
    )


def unpack_paces(data: bytes, upstream_id: Callable[[int], str | None]) -> list[LongTermPace]:
    """Return the paces of records; raise MalformedFrameError for anything else.

    `upstream_id` finds the id of an upstream by its number; unknown ones are left out.
    """
    if len(data) % _RECORD.size or len(data) > MAX_PACES_PER_PAGE * _RECORD.size:
        raise MalformedFrameError("paces are cut off, or too many")
    found = []
    for number, steps, reading in _RECORD.iter_unpack(data):
        name = upstream_id(number)
        if name is not None and _LEAST <= steps <= _MOST and _LEAST <= reading <= _MOST:
            found.append(LongTermPace(name, steps, reading))
    return found
