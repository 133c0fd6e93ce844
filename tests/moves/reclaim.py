"""A reclaim in virtual time: upstreams leave at one moment, and moves decide by the real policy.

`python -m tests.moves.reclaim` compares ways to keep runs, on the same seeds: nothing, copies kept
from the start of each run, moves on notice, and moves beside copies.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

from lotushill.moves.move_links import MoveLinks
from lotushill.moves.move_plan import RunState
from lotushill.moves.move_plan import copy_seconds
from lotushill.moves.move_plan import plan_move
from lotushill.placement.backup import COPY_LOSS_PER_TOKEN
from lotushill.routing.service import EngineProfile

ENGINE = EngineProfile(16, 200_000, 6, token_bytes=160_000, link_rate=6e10)
RUN = RunState(
    tokens=1_000, made=10, expected=50, pause=0.08, usual_pause=0.08, time_left=12.0, gap=0.3,
    repeatable=False, leaves_in=2.0,
)  # fmt: skip
NOTICE = 2.0
RECLAIMED = 12
"""Upstreams that leave at one moment, each with a full batch."""
_TICK = 0.05
_PROMPT = 900
_CUT_LOSS = 0.9
_GOES_ON_LOSS = 0.05
"""What a run loses that goes on from a copy after its upstream has ended without its doing."""
_RUNS_A_RECLAIM = 40
"""Runs that end as they should for each that is there when its upstream leaves."""


class Way(Enum):
    """How runs are kept from being lost."""

    NOTHING = "nothing"
    COPIES = "copies from the start"
    MOVES = "moves on notice"
    BOTH = "moves beside copies"


@dataclass
class Result:
    """What came of the runs that outlast their upstream."""

    outlast: int = 0
    cut: int = 0
    moved: int = 0
    moved_in_vain: int = 0
    """Runs that were moved and would have ended in time."""
    tokens: int = 0
    """Copied between upstreams."""
    loss: float = 0.0
    """Of credit, the price of what was copied included, in requests."""


@dataclass
class _Run:
    length: int
    made: int
    hint: float
    moved: bool = False
    done_at: float = 0.0

    def state(self, now: float, copied: bool) -> RunState:
        made = self.made + int(now / RUN.pause)
        tokens = _PROMPT + ENGINE.tokens_per_event * made
        left = NOTICE - now
        return replace(
            RUN, made=made, expected=self.hint, tokens=tokens, leaves_in=left, copied=copied
        )

    @property
    def rest(self) -> float:
        return (self.length - self.made) * RUN.pause


def play(way: Way, engine: EngineProfile, seed: int) -> Result:
    """Return what comes of a reclaim."""
    rng, result = random.Random(seed), Result()
    for _ in range(RECLAIMED):
        runs = [_run(rng) for _ in range(engine.slots)]
        if way in (Way.MOVES, Way.BOTH):
            _move(runs, engine, way is Way.BOTH)
        for run in runs:
            _settle(run, way, result)
    if way in (Way.COPIES, Way.BOTH):
        usual = RECLAIMED * engine.slots * _RUNS_A_RECLAIM
        _pay(usual * (_PROMPT + ENGINE.tokens_per_event * 40), result)
    return result


def _run(rng: random.Random) -> _Run:
    length = max(1, min(159, int(rng.lognormvariate(3.6, 0.7))))
    return _Run(length, int(length * rng.random()), length * rng.lognormvariate(0.0, 0.5))


def _move(runs: list[_Run], engine: EngineProfile, copied: bool) -> None:
    """Move what one upstream runs, by ticks of a gateway."""
    links, under_way = MoveLinks(), list[tuple[float, float]]()
    now, free = 0.0, 0.0
    while now < NOTICE:
        for ends, seconds in [item for item in under_way if item[0] <= now]:
            links.release("source", seconds)
            under_way.remove((ends, seconds))
        for run in runs:
            move = (
                None if run.moved or run.rest <= now else plan_move(run.state(now, copied), engine)
            )
            seconds = copy_seconds(run.state(now, copied).tokens, engine, near=False)
            if move is None or not links.try_reserve("source", seconds, move.time_limit):
                continue
            free = max(now, free) + seconds
            run.moved, run.done_at = True, free
            under_way.append((free, seconds))
        now += _TICK


def _settle(run: _Run, way: Way, result: Result) -> None:
    in_time = run.moved and run.done_at <= NOTICE
    if run.moved:
        result.moved += 1
        result.moved_in_vain += run.rest <= NOTICE
        _pay(_PROMPT + ENGINE.tokens_per_event * run.made, result)
    if run.rest <= NOTICE:
        return
    result.outlast += 1
    if in_time:
        return
    if way in (Way.COPIES, Way.BOTH):
        result.loss += _GOES_ON_LOSS
        return
    result.cut += 1
    result.loss += _CUT_LOSS


def _pay(tokens: int, result: Result) -> None:
    result.tokens += tokens
    result.loss += COPY_LOSS_PER_TOKEN * tokens


def main() -> None:
    """Print the ways beside one another."""
    print("| way | outlast | cut | moved | in vain | tokens copied | loss in requests |")
    print("|---|---|---|---|---|---|---|")
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 20)
    for way in Way:
        all_of = [play(way, ENGINE, seed) for seed in seeds]
        sums = [
            sum(getattr(item, name) for item in all_of) / len(all_of)
            for name in ("outlast", "cut", "moved", "moved_in_vain", "tokens", "loss")
        ]
        print(f"| {way.value} | " + " | ".join(f"{item:,.1f}" for item in sums) + " |")


if __name__ == "__main__":
    main()
