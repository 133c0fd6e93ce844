"""Measures what each role costs by itself: the slopes that docs/CAPACITY.md is worked out from.

Processor time of this process, on one core; each figure is the least of several rounds, since
whatever else the machine does can only add to it.
"""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.contracts.book import build_team
from lotushill.contracts.document import write
from lotushill.contracts.generation import BookBuilder
from lotushill.contracts.generation import Head
from lotushill.contracts.generation import digest_text
from lotushill.contracts.generation import load_root
from lotushill.contracts.generation import load_team
from lotushill.dispatch.cell import Cell
from lotushill.dispatch.messages import Ask
from lotushill.dispatch.messages import End
from lotushill.dispatch.messages import EndKind
from lotushill.dispatch.messages import Grant
from lotushill.dispatch.options import CellOptions
from lotushill.hosts.membership import Membership
from lotushill.hosts.membership_options import MembershipOptions
from lotushill.keeper.judgement import Desired
from lotushill.keeper.judgement import Judge
from lotushill.links.codec import decode
from lotushill.links.codec import encode
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.messages import Ping
from lotushill.links.seal import Seal

if TYPE_CHECKING:
    from collections.abc import Callable

_ROUNDS = 5
_MICRO = 1e6
_CLASSES = 6


@dataclass(frozen=True)
class Slopes:
    """Processor time in microseconds, sizes in bytes."""

    ask_encode: float
    ask_decode: float
    ask_bytes: int
    grant_encode: float
    grant_decode: float
    grant_bytes: int
    end_encode: float
    end_decode: float
    end_bytes: int
    decide: dict[str, float]
    """One ask and its end, by the engines of the cell."""
    decide_full: dict[str, float]
    """The same with a thousand requests waiting, by the engines of the cell."""
    ping_round_trip: float
    """One ping sent and its pong taken in, or the other way round."""
    ping_bytes: int
    member_bytes: float
    """Memory of one member in the table."""
    team_bytes: float
    """Memory of one team's contracts."""
    install: dict[str, float]
    """Putting one changed team in force, by the teams of the tree."""
    judge: dict[str, float]
    """Judging one edit, by the teams of the tree."""


def measure() -> Slopes:
    """Measure everything."""
    ask, grant, end = _ask(1), _grant(), _end()
    ping = Ping("entry-000", 1 << 61, "", tuple(_member(index) for index in range(2)))
    return Slopes(
        ask_encode=_cost(lambda: encode(ask)),
        ask_decode=_cost(_decoder(encode(ask))),
        ask_bytes=len(encode(ask)),
        grant_encode=_cost(lambda: encode(grant)),
        grant_decode=_cost(_decoder(encode(grant))),
        grant_bytes=len(encode(grant)),
        end_encode=_cost(lambda: encode(end)),
        end_decode=_cost(_decoder(encode(end))),
        end_bytes=len(encode(end)),
        decide={str(count): _decide(count, 0) for count in (3, 9, 33)},
        decide_full={str(count): _decide(count, 1000) for count in (3, 9, 33)},
        ping_round_trip=_ping_cost(),
        ping_bytes=len(Seal((b"k" * 16,)).sign(encode(ping))),
        member_bytes=_memory_of(lambda: [_membership(400)]) / 400,
        team_bytes=_memory_of(lambda: [_contracts(index) for index in range(50)]) / 50,
        install={str(count): _install(count) for count in (10, 100, 340)},
        judge={str(count): _judge(count) for count in (10, 100, 340)},
    )


def to_plain(slopes: Slopes) -> dict[str, object]:
    """Return the slopes as plain data."""
    return asdict(slopes)


def _cost(action: Callable[[], object], repeats: int = 2000) -> float:
    """Return the least processor time of one action, in microseconds."""
    best = float("inf")
    for _ in range(_ROUNDS):
        began = time.process_time()
        for _ in range(repeats):
            action()
        best = min(best, (time.process_time() - began) / repeats)
    return best * _MICRO


def _decoder(data: bytes) -> Callable[[], object]:
    return lambda: decode(data)


def _memory_of(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    held = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return float(size)


def _ask(index: int, **changes: object) -> Ask:
    values: dict[str, object] = {
        "request": f"{index:024x}",
        "attempt": 0,
        "entry": "entry-000",
        "cell": "pool@region",
        "team": f"team-{index % 340}",
        "service": "service",
        "klass": "class",
        "tier": index % 3,
        "team_weight": 1.0,
        "class_weight": 1.0,
        "prompt_tokens": 500,
        "output_limit": 1000,
        "resumed_tokens": 0,
        "time_left": 60.0,
        "target": 0.5,
        "refuse_early": False,
        "resumable": True,
        "rate": 0.0,
        "concurrency": 0,
        "tokens": 0.0,
        "queued": 1000,
        "prefix": tuple(range(index, index + 8)),
    }
    return Ask(**(values | changes))  # type: ignore[arg-type]


def _grant() -> Grant:
    why = "score=0.125 cached=512 runners_up=engine-1:0.13,engine-2:0.15 lane=false waiting=0"
    return Grant("0" * 24, 0, "pool@region", "engine-0", "127.0.0.1:8000", 0, 0.001, why)


def _end() -> End:
    return End("0" * 24, 0, "pool@region", "engine-0", EndKind.COMPLETED, 225, 0.2, 0.02)


def _decide(engines: int, waiting: int) -> float:
    """Return the cost of one ask with its grant and its end."""
    cell = Cell("pool@region", CellOptions())
    for index in range(engines):
        cell.add_upstream(f"engine-{index}", "127.0.0.1:1", "hall")
    now, serial = 0.0, 0
    running: list[Grant] = []
    target = engines * 16 + waiting if waiting else engines * 8
    while len(cell.running) + len(cell.waiting) < target:
        serial += 1
        decisions = cell.ask(_ask(serial, time_left=1e6), now)
        running += [item for item in decisions if isinstance(item, Grant)]

    def once() -> None:
        nonlocal serial, now
        serial += 1
        now += 0.001
        done = running.pop(0)
        end = End(done.request, 0, cell.name, done.upstream, EndKind.COMPLETED, 225, 0.2, 0.02)
        for decision in cell.end(end, now) + cell.ask(_ask(serial, time_left=1e6), now):
            if isinstance(decision, Grant):
                running.append(decision)

    return _cost(once, 300)


def _member(index: int) -> MemberState:
    address = f"10.0.{index // 250}.{index % 250}:7003"
    return MemberState(
        f"entry-{index:03d}", address, f"hall-{index % 10}", "region", 1, MemberPhase.ALIVE, 7
    )


def _membership(members: int) -> Membership:
    membership = Membership(_member(0), [], MembershipOptions(), random.Random(1))
    for index in range(1, members):
        state = _member(index)
        membership.receive(Ping(state.name, index, "", (state,)), state.address, 0.0)
    membership.take_changes()
    return membership


def _ping_cost() -> float:
    """Return the cost of one ping received, answered, and everything around it."""
    membership = _membership(120)
    seal = Seal((b"k" * 16,))
    state = _member(1)
    serial = 1 << 40

    def once() -> None:
        nonlocal serial
        serial += 1
        data = seal.sign(encode(Ping(state.name, serial, "", (state, _member(2)))))
        message = decode(seal.open(data))
        assert isinstance(message, Ping)
        for out in membership.receive(message, state.address, 1.0):
            decode(seal.open(seal.sign(encode(out.message))))

    # Both ends are in it; a member does half of it for each of its own round trips.
    return _cost(once, 1000) / 2


def _root_text() -> str:
    pools = {f"model-{index}": {"kind": "engine", "model": f"m{index}"} for index in range(6)}
    policy = {"pool": "model-0", "tier": "low"}
    return write({"tiers": ["high", "mid", "low"], "pools": pools, "policy": policy})


def _team_text(index: int, deadline: float = 30.0) -> str:
    classes = {
        f"class-{number}": {"policy": {"tier": ("high", "mid", "low")[number % 3]}}
        for number in range(_CLASSES)
    }
    document = {
        "team": f"team-{index}",
        "keys": ["sha256:" + f"{index:064x}"],
        "policy": {"deadline": deadline},
        "services": {"service": {"classes": classes}},
    }
    return write(document)


def _accepted(teams: int) -> dict[str, str]:
    return Judge().judge(_desired(teams), {}).accepted


def _desired(teams: int, changed: float = 30.0) -> dict[str, Desired]:
    found = {"root": Desired("root", 1, _root_text())}
    for index in range(teams):
        name = f"team/team-{index}"
        deadline = changed if index == 0 else 30.0
        found[name] = Desired(name, index + 2, _team_text(index, deadline))
    return found


def _contracts(index: int) -> object:
    accepted = (
        Judge()
        .judge(
            {
                "root": Desired("root", 1, _root_text()),
                f"team/team-{index}": Desired(f"team/team-{index}", 2, _team_text(index)),
            },
            {},
        )
        .accepted
    )
    root = load_root(accepted["root"])
    return build_team(root, load_team(accepted[f"team/team-{index}"]))


def _install(teams: int) -> float:
    """Return the cost of putting one changed team in force."""
    accepted = _accepted(teams)
    other = load_team(accepted["team/team-0"]).model_copy(update={"keys": ()})
    variants = [accepted["team/team-0"], other.model_dump_json(exclude_defaults=True)]
    builder = BookBuilder()
    generation = 0

    def once() -> None:
        nonlocal generation
        generation += 1
        texts = accepted | {"team/team-0": variants[generation % 2]}
        digests = {name: digest_text(text) for name, text in texts.items()}
        head = Head(generation=generation, nonce="", holder="", token=1, objects=digests)
        builder.build(head, {digests[name]: text for name, text in texts.items()})

    return _cost(once, 3)


def _judge(teams: int) -> float:
    """Return the cost of accepting one edit, everything else being known."""
    judge = Judge()
    held = judge.judge(_desired(teams), {}).accepted
    desired = _desired(teams, 31.0)
    began = time.process_time()
    judge.judge(desired, held)
    return (time.process_time() - began) * _MICRO
