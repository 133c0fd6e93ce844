"""Measures the processor time of each mechanism of a gateway, on the local machine only."""

from __future__ import annotations

import json
import time
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.links.codec import decode
from lotushill.links.codec import encode
from lotushill.links.datagram import from_datagram
from lotushill.links.datagram import to_datagram
from lotushill.links.load_records import pack_load
from lotushill.links.load_records import unpack_loads
from lotushill.links.load_records import upstream_number
from lotushill.links.messages import LoadBatch
from lotushill.links.messages import LoadNews
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.messages import Ping
from lotushill.links.seal import Seal
from lotushill.placement.fleet import Fleet
from lotushill.placement.messages import Began
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Load
from lotushill.placement.messages import Placed
from lotushill.placement.need import Need
from lotushill.platform.upstreams import parse_upstream
from lotushill.routing.demand import PromptPart
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from lotushill.routing.upstream import Upstream
from lotushill.standin.registration import upstream_spec

if TYPE_CHECKING:
    from collections.abc import Callable

_ROUNDS = 5
_MICROSECONDS_PER_SECOND = 1e6
_BATCH_EVENTS = 15
"""Number of events in the measured batch."""
_SENDER = "front-hall-tlaque-11"
_UPSTREAM = "i-8f4d9a85d0"
_SERVICE = Service("llm", 600, EngineProfile(16, 424_000, 9, 163_840, 3.25e10))
_PARTS = (PromptPart(1, 512), PromptPart(2, 4870), PromptPart(3, 6610))


@dataclass(frozen=True)
class Slope:
    """The measured cost of one mechanism."""

    name: str
    microseconds: float
    """Processor time per call, the lowest of several rounds."""
    size: int = 0
    """Size of the packet in bytes, 0 if there is none."""


def measure(upstream_counts: tuple[int, ...] = (9, 45, 600), repeats: int = 400) -> list[Slope]:
    """Measure all mechanisms and return their slopes; a round consists of `repeats` calls."""
    slopes = _load_slopes(repeats)
    slopes.append(_heartbeat(repeats))
    for count in upstream_counts:
        slopes.append(_choice(count, max(10, repeats // count)))
    slopes.append(_view(max(upstream_counts), max(5, repeats // 40)))
    return slopes


def table(slopes: list[Slope]) -> str:
    """Return the slopes as a Markdown table."""
    lines = ["| what | processor time | bytes |", "|---|---|---|"]
    lines += [
        f"| {item.name} | {item.microseconds:.1f} us | {item.size or ''} |" for item in slopes
    ]
    return "\n".join(lines)


def to_json(slopes: list[Slope]) -> str:
    """Return the slopes as a JSON array."""
    return json.dumps([asdict(item) for item in slopes], indent=1)


def _load_slopes(repeats: int) -> list[Slope]:
    seal = Seal((b"k" * 16,))
    placed = Placed(
        1, _UPSTREAM, 6610, 12_300, 0.15, 1.2, 0.0,
        tuple(part.id for part in _PARTS), tuple(part.tokens for part in _PARTS),
    )  # fmt: skip
    known = {upstream_number(_UPSTREAM): _UPSTREAM}
    loads = (
        Load(_SENDER, False, placed=(placed,)),
        Load(_SENDER, False, began=(Began(1, 0.2),)),
        Load(_SENDER, False, ended=(Ended(1),)),
    )

    def pack() -> bytes:
        return seal.sign(to_datagram(LoadNews(pack_load(loads[0]))))

    data = pack()
    records = b"".join(pack_load(loads[index % len(loads)]) for index in range(_BATCH_EVENTS))
    batch = seal.sign(to_datagram(LoadBatch(_SENDER, records)))

    def unpack(packet: bytes) -> list[Load]:
        message = from_datagram(seal.open(packet))
        assert isinstance(message, LoadNews | LoadBatch)
        return unpack_loads(message.records, known.get)

    fleet = Fleet("h")
    unpacked = unpack(batch)

    def apply_events() -> None:
        for number in range(_BATCH_EVENTS):
            fleet.start(placed, _SERVICE, float(number))
            fleet.begin(Began(1, 0.2), float(number))
            fleet.end(Ended(1), float(number))

    return [
        Slope("tell of one request placed", _best_microseconds(pack, repeats), len(data)),
        Slope(
            "hear of one request placed",
            _best_microseconds(lambda: unpack(data), repeats),
            len(data),
        ),
        Slope(
            f"hear of one event, in a batch of {_BATCH_EVENTS}",
            _best_microseconds(lambda: unpack(batch), repeats) / len(unpacked),
            len(batch) // _BATCH_EVENTS,
        ),
        Slope(
            "take start, begin and end into the model",
            _best_microseconds(apply_events, repeats) / _BATCH_EVENTS,
        ),
    ]


def _heartbeat(repeats: int) -> Slope:
    states = tuple(
        MemberState(f"front-{n}", f"10.1.0.{n}:7340", "hall", "region", n, MemberPhase.ALIVE)
        for n in range(6)
    )
    message = Ping(states[0].name, 1, "", states)
    data = encode(message)
    return Slope(
        "a heartbeat with six states, both ways",
        _best_microseconds(lambda: decode(encode(message)), repeats),
        len(data),
    )


def _choice(count: int, repeats: int) -> Slope:
    upstreams = [
        Upstream(f"i-{n}", "llm", f"10.1.0.{n % 250}:80", "h", 16, False) for n in range(count)
    ]
    fleet = Fleet("h")
    need = Need("llm", "letter", 2.0, 0.6, 15.0, True, 11_992, 320, _PARTS)
    nothing: frozenset[str] = frozenset()

    def choose() -> object:
        return fleet.choose(need, _SERVICE, upstreams, nothing, 1.0)

    return Slope(f"choose among {count} upstreams", _best_microseconds(choose, repeats))


def _view(count: int, repeats: int) -> Slope:
    spec = upstream_spec("llm", "10.1.0.1:80", "h", 16, born=1)
    text = json.dumps({f"i-{n}": spec for n in range(count)})

    def read() -> object:
        return [parse_upstream(name, item) for name, item in json.loads(text).items()]

    return Slope(f"read a view of {count} upstreams", _best_microseconds(read, repeats), len(text))


def _best_microseconds(call: Callable[[], object], repeats: int) -> float:
    """Return the processor time of one call in microseconds, the lowest of several rounds."""
    best_seconds = float("inf")
    for _ in range(_ROUNDS):
        began = time.process_time()
        for _ in range(repeats):
            call()
        best_seconds = min(best_seconds, (time.process_time() - began) / repeats)
    return best_seconds * _MICROSECONDS_PER_SECOND
