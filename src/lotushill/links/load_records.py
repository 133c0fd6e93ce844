"""News of load as fixed records: what is told hundreds of times a second has to be cheap.

The news of one gateway is a head with its name and counts, then a record for each request that was
placed, began, was paced or ended, and the bare numbers of those that run. Several can stand one
after another. Upstreams are named by a hash of their id.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING
from typing import Any

import xxhash

from lotushill.links.exceptions import MalformedFrameError
from lotushill.placement.messages import Began
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Load
from lotushill.placement.messages import Outcome
from lotushill.placement.messages import Paced
from lotushill.placement.messages import Placed

if TYPE_CHECKING:
    from collections.abc import Callable

    UpstreamId = Callable[[int], str | None]

_HEAD = struct.Struct("<BBHHHHH")
"""Length of the sender's name, whole; counts of placed, began, paced, ended, running."""
_PLACED = struct.Struct("<QQIIIIIIffffBBB")
"""Request, upstream, route, team, prompt, reading, ahead, memory, gap, seconds, age, first, tier,
began, parts."""
_TIMED = struct.Struct("<Qf")
"""Request, seconds: of one that began or was paced."""
_ENDED = struct.Struct("<QBf")
"""Request, outcome, seconds."""
_PART = struct.Struct("<QI")
_NUMBER_BYTES = 8
_MOST_PARTS = 255
_LAST_TIER = 255
"""What is less urgent is told as this tier."""
_MOST_TOKENS = 2**32 - 1


def upstream_number(upstream_id: str) -> int:
    """Return the number that stands for an upstream in records."""
    return xxhash.xxh64_intdigest(upstream_id)


def pack_load(load: Load) -> bytes:
    """Return a load as records."""
    sender = load.sender.encode()
    head = _HEAD.pack(
        len(sender),
        load.whole,
        len(load.placed),
        len(load.began),
        len(load.paced),
        len(load.ended),
        len(load.running),
    )
    records = [head, sender]
    records += [_pack_placed(item) for item in load.placed]
    records += [_TIMED.pack(item.request, item.seconds) for item in load.began]
    records += [_TIMED.pack(item.request, item.pause) for item in load.paced]
    records += [_ENDED.pack(item.request, item.outcome, item.seconds) for item in load.ended]
    records.append(struct.pack(f"<{len(load.running)}Q", *load.running))
    return b"".join(records)


def unpack_loads(data: bytes, upstream_id: UpstreamId) -> list[Load]:
    """Return the loads of records; raise MalformedFrameError for anything else.

    `upstream_id` finds the id of an upstream by its number; requests on unknown ones are left out.
    """
    found = []
    position = 0
    try:
        while position < len(data):
            load, position = _unpack_load(data, position, upstream_id)
            found.append(load)
    except (struct.error, ValueError) as error:
        raise MalformedFrameError(str(error)) from error
    return found


def _pack_placed(placed: Placed) -> bytes:
    parts = list(zip(placed.part_ids, placed.part_tokens))[:_MOST_PARTS]
    record = _PLACED.pack(
        placed.request,
        upstream_number(placed.upstream),
        placed.route,
        placed.team,
        min(_MOST_TOKENS, placed.prompt),
        min(_MOST_TOKENS, placed.prefill_tokens),
        min(_MOST_TOKENS, placed.total_prefill_tokens),
        min(_MOST_TOKENS, placed.memory),
        placed.target_gap,
        placed.seconds,
        placed.age,
        placed.first_event_seconds,
        min(_LAST_TIER, placed.tier),
        placed.began,
        len(parts),
    )
    return record + b"".join(_PART.pack(part, min(_MOST_TOKENS, size)) for part, size in parts)


def _unpack_load(data: bytes, position: int, upstream_id: UpstreamId) -> tuple[Load, int]:
    """Return one load and where the next one begins."""
    name, whole, placed, began, paced, ended, running = _HEAD.unpack_from(data, position)
    position += _HEAD.size
    sender = data[position : position + name].decode()
    position += name
    found: list[Placed] = []
    for _ in range(placed):
        item, position = _unpack_placed(data, position, upstream_id)
        if item is not None:
            found.append(item)
    begun, position = _unpack_all(_TIMED, began, data, position)
    pauses, position = _unpack_all(_TIMED, paced, data, position)
    ends, position = _unpack_all(_ENDED, ended, data, position)
    numbers = struct.unpack_from(f"<{running}Q", data, position)
    load = Load(
        sender,
        bool(whole),
        tuple(found),
        tuple(Began(*item) for item in begun),
        tuple(Paced(*item) for item in pauses),
        tuple(Ended(number, Outcome(outcome), seconds) for number, outcome, seconds in ends),
        numbers,
    )
    return load, position + _NUMBER_BYTES * running


def _unpack_all(
    record: struct.Struct, count: int, data: bytes, position: int
) -> tuple[list[tuple[Any, ...]], int]:
    """Return so many records and where the next ones begin."""
    end = position + record.size * count
    if end > len(data):
        raise struct.error("records are cut off")
    return list(record.iter_unpack(data[position:end])), end


def _unpack_placed(
    data: bytes, position: int, upstream_id: UpstreamId
) -> tuple[Placed | None, int]:
    """Return one placed request, None on an unknown upstream, and where the next one begins."""
    (
        request,
        upstream,
        route,
        team,
        prompt,
        reading,
        ahead,
        memory,
        gap,
        seconds,
        age,
        first,
        tier,
        began,
        count,
    ) = _PLACED.unpack_from(data, position)
    position += _PLACED.size
    parts = struct.unpack_from("<" + "QI" * count, data, position)
    position += _PART.size * count
    name = upstream_id(upstream)
    if name is None:
        return None, position
    placed = Placed(
        request,
        name,
        reading,
        memory,
        gap,
        seconds,
        age,
        parts[::2],
        parts[1::2],
        bool(began),
        route,
        tier,
        prompt,
        first,
        ahead,
        team,
    )
    return placed, position
