"""Simulates a reclaim in virtual time: upstreams leave at once, and the real policy plans moves.

`python -m tests.moves.reclaim` compares ways to preserve runs, on the same seeds: nothing, copies
kept from the start of each run, moves on notice, and moves in addition to copies.
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
BASE_RUN = RunState(
    tokens=1_000, events_produced=10, expected_events=50, mean_pause=0.08, typical_pause=0.08,
    time_left=12.0, target_gap=0.3, repeatable=False, leaves_in=2.0,
)  # fmt: skip
NOTICE_SECONDS = 2.0
RECLAIMED_UPSTREAMS = 12
"""Number of upstreams that leave at once, each with a full batch."""
_TICK_SECONDS = 0.05
_PROMPT_TOKENS = 900
_INTERRUPTED_LOSS = 0.9
_RESUMED_FROM_COPY_LOSS = 0.05
"""Loss of a run that resumes from a copy after its upstream shut down unexpectedly."""
_RUNS_PER_RECLAIM = 40
"""Number of runs that end normally for each one that is running when its upstream leaves."""


class Strategy(Enum):
    """Ways to keep runs from being lost."""

    NONE = "nothing"
    COPIES = "copies from the start"
    MOVES = "moves on notice"
    BOTH = "moves beside copies"


@dataclass
class Result:
    """Outcome of the runs that outlast their upstream."""

    outlast: int = 0
    cut: int = 0
    moved: int = 0
    moved_needlessly: int = 0
    """Number of moved runs that would have ended in time."""
    tokens: int = 0
    """Tokens copied between upstreams."""
    loss: float = 0.0
    """Lost credit in requests, including the price of the copied tokens."""


@dataclass
class _Run:
    length: int
    made: int
    hint: float
    moved: bool = False
    done_at: float = 0.0

    def state(self, now: float, has_backup: bool) -> RunState:
        made = self.made + int(now / BASE_RUN.mean_pause)
        tokens = _PROMPT_TOKENS + ENGINE.tokens_per_event * made
        left = NOTICE_SECONDS - now
        return replace(
            BASE_RUN,
            events_produced=made,
            expected_events=self.hint,
            tokens=tokens,
            leaves_in=left,
            has_backup=has_backup,
        )

    @property
    def remaining_seconds(self) -> float:
        return (self.length - self.made) * BASE_RUN.mean_pause


def simulate(strategy: Strategy, engine: EngineProfile, seed: int) -> Result:
    """Simulate a reclaim and return its outcome."""
    rng, result = random.Random(seed), Result()
    for _ in range(RECLAIMED_UPSTREAMS):
        runs = [_run(rng) for _ in range(engine.slots)]
        if strategy in (Strategy.MOVES, Strategy.BOTH):
            _move(runs, engine, strategy is Strategy.BOTH)
        for run in runs:
            _count(run, strategy, result)
    if strategy in (Strategy.COPIES, Strategy.BOTH):
        usual = RECLAIMED_UPSTREAMS * engine.slots * _RUNS_PER_RECLAIM
        _charge(usual * (_PROMPT_TOKENS + ENGINE.tokens_per_event * 40), result)
    return result


def _run(rng: random.Random) -> _Run:
    length = max(1, min(159, int(rng.lognormvariate(3.6, 0.7))))
    return _Run(length, int(length * rng.random()), length * rng.lognormvariate(0.0, 0.5))


def _move(runs: list[_Run], engine: EngineProfile, copied: bool) -> None:
    """Move the runs of one upstream in ticks of a gateway."""
    links, in_flight = MoveLinks(), list[tuple[float, float]]()
    now, link_free_at = 0.0, 0.0
    while now < NOTICE_SECONDS:
        for ends, seconds in [item for item in in_flight if item[0] <= now]:
            links.release("source", seconds)
            in_flight.remove((ends, seconds))
        for run in runs:
            move = (
                None
                if run.moved or run.remaining_seconds <= now
                else plan_move(run.state(now, copied), engine)
            )
            seconds = copy_seconds(run.state(now, copied).tokens, engine, same_hall=False)
            if move is None or not links.try_reserve("source", seconds, move.time_limit):
                continue
            link_free_at = max(now, link_free_at) + seconds
            run.moved, run.done_at = True, link_free_at
            in_flight.append((link_free_at, seconds))
        now += _TICK_SECONDS


def _count(run: _Run, strategy: Strategy, result: Result) -> None:
    in_time = run.moved and run.done_at <= NOTICE_SECONDS
    if run.moved:
        result.moved += 1
        result.moved_needlessly += run.remaining_seconds <= NOTICE_SECONDS
        _charge(_PROMPT_TOKENS + ENGINE.tokens_per_event * run.made, result)
    if run.remaining_seconds <= NOTICE_SECONDS:
        return
    result.outlast += 1
    if in_time:
        return
    if strategy in (Strategy.COPIES, Strategy.BOTH):
        result.loss += _RESUMED_FROM_COPY_LOSS
        return
    result.cut += 1
    result.loss += _INTERRUPTED_LOSS


def _charge(tokens: int, result: Result) -> None:
    result.tokens += tokens
    result.loss += COPY_LOSS_PER_TOKEN * tokens


def main() -> None:
    """Print a table that compares the ways."""
    print("| way | outlast | cut | moved | in vain | tokens copied | loss in requests |")
    print("|---|---|---|---|---|---|---|")
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 20)
    for strategy in Strategy:
        all_of = [simulate(strategy, ENGINE, seed) for seed in seeds]
        sums = [
            sum(getattr(item, name) for item in all_of) / len(all_of)
            for name in ("outlast", "cut", "moved", "moved_needlessly", "tokens", "loss")
        ]
        print(f"| {strategy.value} | " + " | ".join(f"{item:,.1f}" for item in sums) + " |")


if __name__ == "__main__":
    main()
