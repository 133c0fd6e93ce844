"""Encodes load updates as fixed-size records: they are frequent and must be cheap.

Updates are sent hundreds of times a second. The update of one gateway is a header with its name and
counts, then a record for each request that was placed, began, was paced or ended, and the bare
numbers of the running requests. Several updates can follow one another. Upstreams are identified by
a hash of their id.
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
from lotushill.routing.demand import MAX_PARTS
from lotushill.routing.demand import MAX_TOKENS

if TYPE_CHECKING:
    from collections.abc import Callable

    UpstreamId = Callable[[int], str | None]

_HEADER = struct.Struct("<BBHHHHH")
"""Length of the sender's name, whole, and the counts of placed, began, paced, ended, running."""
_PLACED = struct.Struct("<QQIIIIIIffffBBB")
"""Fields of a placed request: request, upstream, route, team, prompt, prefill tokens, total prefill
tokens, memory, target gap, seconds, age, first event seconds, tier, began, parts."""
_TIMED = struct.Struct("<Qf")
"""Fields of a request that began or was paced: request, seconds."""
_ENDED = struct.Struct("<QBf")
"""Fields of a request that ended: request, outcome, seconds."""
_PART = struct.Struct("<QI")
_NUMBER_BYTES = 8
_MAX_TIER = 255
"""Highest tier in a record; less urgent requests are sent as this tier."""
_MAX_SINGLE = 3.4e38
"""Bound of the numbers that a record holds in single precision."""


def upstream_number(upstream_id: str) -> int:
    """Return the number that identifies an upstream in records."""
    return xxhash.xxh64_intdigest(upstream_id)


def pack_load(load: Load) -> bytes:
    """Return the records of a load."""
    sender = load.sender.encode()
    head = _HEADER.pack(
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
    records += [_TIMED.pack(item.request, _single(item.seconds)) for item in load.began]
    records += [_TIMED.pack(item.request, _single(item.pause)) for item in load.paced]
    records += [
        _ENDED.pack(item.request, item.outcome, _single(item.seconds)) for item in load.ended
    ]
    records.append(struct.pack(f"<{len(load.running)}Q", *load.running))
    return b"".join(records)


def unpack_loads(data: bytes, upstream_id: UpstreamId) -> list[Load]:
    """Return the loads that records contain; raise MalformedFrameError for anything else.

    `upstream_id` returns the id of an upstream by its number; requests at unknown ones are omitted.
    """
    loads = []
    position = 0
    try:
        while position < len(data):
            load, position = _unpack_load(data, position, upstream_id)
            loads.append(load)
    except (struct.error, ValueError) as error:
        raise MalformedFrameError(str(error)) from error
    return loads


def _clamp(value: int, largest: int) -> int:
    """Return the nearest number that a record can hold: one bad value must not stop all others."""
    return min(largest, max(0, value))


def _single(value: float) -> float:
    """Return the nearest number that a record can hold in single precision."""
    return min(_MAX_SINGLE, max(-_MAX_SINGLE, value))


def _pack_placed(placed: Placed) -> bytes:
    parts = list(zip(placed.part_ids, placed.part_tokens))[:MAX_PARTS]
    record = _PLACED.pack(
        placed.request,
        upstream_number(placed.upstream),
        placed.route,
        placed.team,
        _clamp(placed.prompt, MAX_TOKENS),
        _clamp(placed.prefill_tokens, MAX_TOKENS),
        _clamp(placed.total_prefill_tokens, MAX_TOKENS),
        _clamp(placed.memory, MAX_TOKENS),
        _single(placed.target_gap),
        _single(placed.seconds),
        _single(placed.age),
        _single(placed.first_event_seconds),
        _clamp(placed.tier, _MAX_TIER),
        placed.began,
        len(parts),
    )
    return record + b"".join(_PART.pack(part, _clamp(size, MAX_TOKENS)) for part, size in parts)


def _unpack_load(data: bytes, position: int, upstream_id: UpstreamId) -> tuple[Load, int]:
    """Return one load and the position of the next one."""
    name, whole, placed, began, paced, ended, running = _HEADER.unpack_from(data, position)
    position += _HEADER.size
    sender = data[position : position + name].decode()
    position += name
    placed_requests: list[Placed] = []
    for _ in range(placed):
        item, position = _unpack_placed(data, position, upstream_id)
        if item is not None:
            placed_requests.append(item)
    began_records, position = _unpack_records(_TIMED, began, data, position)
    paced_records, position = _unpack_records(_TIMED, paced, data, position)
    ended_records, position = _unpack_records(_ENDED, ended, data, position)
    running_numbers = struct.unpack_from(f"<{running}Q", data, position)
    load = Load(
        sender,
        bool(whole),
        tuple(placed_requests),
        tuple(Began(*item) for item in began_records),
        tuple(Paced(*item) for item in paced_records),
        tuple(
            Ended(number, Outcome(outcome), seconds) for number, outcome, seconds in ended_records
        ),
        running_numbers,
    )
    return load, position + _NUMBER_BYTES * running


def _unpack_records(
    record: struct.Struct, count: int, data: bytes, position: int
) -> tuple[list[tuple[Any, ...]], int]:
    """Return `count` records and the position after them."""
    end = position + record.size * count
    if end > len(data):
        raise struct.error("load records are truncated")
    return list(record.iter_unpack(data[position:end])), end


def _unpack_placed(
    data: bytes, position: int, upstream_id: UpstreamId
) -> tuple[Placed | None, int]:
    """Return one placed request, None if its upstream is unknown, and the position after it."""
    (
        request,
        upstream,
        route,
        team,
        prompt,
        prefill_tokens,
        total_prefill_tokens,
        memory,
        target_gap,
        seconds,
        age,
        first_event_seconds,
        tier,
        began,
        part_count,
    ) = _PLACED.unpack_from(data, position)
    position += _PLACED.size
    parts = struct.unpack_from("<" + "QI" * part_count, data, position)
    position += _PART.size * part_count
    name = upstream_id(upstream)
    if name is None:
        return None, position
    placed = Placed(
        request,
        name,
        prefill_tokens,
        memory,
        target_gap,
        seconds,
        age,
        parts[::2],
        parts[1::2],
        bool(began),
        route,
        tier,
        prompt,
        first_event_seconds,
        total_prefill_tokens,
        team,
    )
    return placed, position
