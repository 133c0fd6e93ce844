"""Runs the soak test with many seeds, several at a time, and prints a line for each.

    python scripts/soak.py [--seeds 50] [--first 1] [--seconds 40] [--jobs 4] [--plain] [--limits]
        [--moves] [--mild] [--silences] [--breaks] [--versions] [--parts] [--trace]
    python scripts/soak.py --partitions [--seeds 50] [--first 1] [--seconds 40] [--jobs 4]
    python scripts/soak.py --brittle [--seeds 50] [--first 1] [--seconds 20] [--jobs 1]

Real gateways run in front of engines that restart, with one client whose request crashes engines.
Exits with 1 if an invariant was violated, or if less than 0.97 of the ordinary requests at the end
of a run were served. With --partitions, some gateways are partitioned from all engines instead, and
they have to serve nearly as often as the others. With --brittle, engines state that they fall over
if they reject many requests, and end, are added and overloaded; they must not fall more often than
is allowed.
"""

from __future__ import annotations

import argparse
import asyncio
import faulthandler
import functools
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.soak.brittle_run import draw_plan
from tests.soak.brittle_run import run_brittle
from tests.soak.configuration import MovesOptions
from tests.soak.light_loop import run_light
from tests.soak.partition_run import run_drawn_partition
from tests.soak.soak import Soak

if TYPE_CHECKING:
    from collections import Counter

    from tests.soak.brittle_run import BrittleResult
    from tests.soak.partition_run import PartitionResult
    from tests.soak.result import Result

_MIN_SERVED_FRACTION = 0.97
_SPARE_SECONDS = 40.0
"""Extra time in seconds that a run may take for its start and its shutdown."""


def run_seed(seed: int, seconds: float, options: dict[str, Any]) -> Result:
    """Run one seed; a run that does not end in time prints its stack traces.

    `options` are further arguments of `Soak`.
    """
    faulthandler.dump_traceback_later(seconds + _SPARE_SECONDS, exit=True)
    try:
        return run_light(_run_with_timeout(seed, seconds, options))
    finally:
        faulthandler.cancel_dump_traceback_later()


async def _run_with_timeout(seed: int, seconds: float, options: dict[str, Any]) -> Result:
    try:
        async with asyncio.timeout(seconds + _SPARE_SECONDS / 2):
            return await Soak(seed, seconds, **options).run()
    except TimeoutError:
        for task in asyncio.all_tasks():
            task.print_stack()
        raise


def main() -> int:
    """Run all seeds; return 1 if any of them showed a fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument(
        "--plain",
        action="store_true",
        help="without engines that shed load or announce that they leave",
    )
    parser.add_argument("--limits", action="store_true", help="with engines that state limits")
    parser.add_argument(
        "--moves",
        action="store_true",
        help="with long streams that are moved between engines, and faults of their moves only",
    )
    parser.add_argument(
        "--silences",
        action="store_true",
        help="with open connections of gateways that fall silent, and checks of what they know",
    )
    parser.add_argument(
        "--breaks",
        action="store_true",
        help="with engines that do not frame streams, and break off some of them inside an event",
    )
    parser.add_argument(
        "--versions",
        action="store_true",
        help="with engines of two versions that are rolled, and clients that take streams up again",
    )
    parser.add_argument(
        "--parts",
        action="store_true",
        help="with prompts that hold a part which crashes engines, and sound ones beside them",
    )
    parser.add_argument(
        "--trace", action="store_true", help="print what happened to the requests of violations"
    )
    parser.add_argument(
        "--mild",
        action="store_true",
        help="with --moves: no call arrives long after its timeout, and clients are known to wait",
    )
    parser.add_argument(
        "--partitions",
        action="store_true",
        help="with gateways that are partitioned from all engines, and kills on both sides, only",
    )
    parser.add_argument(
        "--brittle",
        action="store_true",
        help="with engines that fall over if they reject too many requests, only",
    )
    options = parser.parse_args()
    if options.brittle:
        return _run_brittle(options.first, options.seeds, options.seconds, options.jobs)
    if options.partitions:
        return _run_partitions(options.first, options.seeds, options.seconds, options.jobs)
    mild = MovesOptions(late_stops=False, patient=True)
    moves = (mild if options.mild else MovesOptions()) if options.moves else None
    soak_options = {
        "engine_signals": not options.plain,
        "limits": options.limits,
        "moves": moves,
        "silences": options.silences,
        "breaks": options.breaks,
        "versions": options.versions,
        "parts": options.parts,
    }
    seeds = range(options.first, options.first + options.seeds)
    failed_count = 0
    with ProcessPoolExecutor(options.jobs) as pool:
        results = pool.map(
            functools.partial(run_seed, seconds=options.seconds, options=soak_options), seeds
        )
        for seed, result in zip(seeds, results):
            failed_count += _print_result(seed, result)
            if options.moves:
                _print_moves(seed, result)
            if options.parts:
                served, sent = result.prompts_served
                print(
                    f"seed {seed}: {result.crashed_by_parts} engines crashed by deadly parts; "
                    f"sound prompts at the end: {served}/{sent}"
                )
            if options.versions:
                _print_versions(seed, result)
            if options.trace:
                _print_traces(seed, result)
    print(f"{len(seeds) - failed_count} of {len(seeds)} seeds without a fault")
    return 1 if failed_count else 0


def _run_partitions(first: int, count: int, seconds: float, jobs: int) -> int:
    """Run some seeds of partitions; return 1 if any of them showed a fault."""
    seeds = range(first, first + count)
    failed_count = 0
    with ProcessPoolExecutor(jobs) as pool:
        for seed, result in zip(seeds, pool.map(_run_partition_seed, seeds, [seconds] * count)):
            problems = [*result.faults, *result.errors]
            if not result.serves_partitioned:
                problems.append("too few first tries were served at partitioned gateways")
            failed_count += bool(problems)
            print(
                f"seed {seed}: served behind partitions {result.early.served}/{result.early.sent} "
                f"before 3 s, {result.partitioned.served}/{result.partitioned.sent} after, "
                f"at others {result.others.served}/{result.others.sent}, when it has ended "
                f"{result.after.served}/{result.after.sent}; {result.relayed} requests relayed"
                f"{'; WRONG: ' if problems else ''}{'; '.join(problems)}",
                flush=True,
            )
    print(f"{count - failed_count} of {count} seeds without a fault")
    return 1 if failed_count else 0


def _run_partition_seed(seed: int, seconds: float) -> PartitionResult:
    return run_light(run_drawn_partition(seed, seconds))


def _run_brittle(first: int, count: int, seconds: float, jobs: int) -> int:
    """Run some seeds of brittle engines; return 1 if any of them showed a fault."""
    seeds = range(first, first + count)
    failed_count = 0
    with ProcessPoolExecutor(jobs) as pool:
        for seed, result in zip(seeds, pool.map(_run_brittle_seed, seeds, [seconds] * count)):
            plan = draw_plan(seed, seconds)
            problems = list(result.errors)
            if len(result.falls) > plan.max_falls:
                problems.append("engines fell more often than is allowed")
            failed_count += bool(problems)
            print(
                f"seed {seed}: {plan.gateways} gateways, {plan.engines} engines of "
                f"{plan.shape.slots} slots that bear {plan.shape.max_rejections} rejections, load "
                f"{plan.overload}: {len(result.falls)} falls, {result.rejections} rejections, "
                f"{result.work_fraction:.2f} of the work"
                f"{'; WRONG: ' if problems else ''}{'; '.join(problems)}",
                flush=True,
            )
    print(f"{count - failed_count} of {count} seeds without a fault")
    return 1 if failed_count else 0


def _run_brittle_seed(seed: int, seconds: float) -> BrittleResult:
    return run_light(run_brittle(draw_plan(seed, seconds)))


def _print_result(seed: int, result: Result) -> bool:
    problems = [*result.faults, *result.errors]
    if result.served_fraction < _MIN_SERVED_FRACTION:
        problems.append("too few requests were served at the end")
    print(
        f"seed {seed}: {result.sent_requests} requests, {result.engines_crashed} engines crashed "
        f"by the deadly request, {result.late_sends} late sends, {result.crashed_by_varying} by "
        f"varying bodies; {result.cooldowns} cooldowns, {result.leaving_answers} answers that "
        f"announce leaving, {len(result.limited_runs)} incarnations with a limit; at the end "
        f"served: ordinary "
        f"{result.served[0]}/{result.served[1]}, common "
        f"{result.common_served[0]}/{result.common_served[1]}; "
        f"{len(result.idle_engines)} engines idle"
        f"{'; WRONG: ' if problems else ''}{'; '.join(problems)}",
        flush=True,
    )
    return bool(problems)


def _print_versions(seed: int, result: Result) -> None:
    counts = result.versions
    print(
        f"seed {seed}: streams of two versions: {counts.begun} of {counts.streams} began; "
        f"{counts.went_on} of {counts.taken_up} that were taken up again went on",
        flush=True,
    )


def _print_moves(seed: int, result: Result) -> None:
    moves = result.moves
    print(
        f"seed {seed}: long streams: {moves.whole} complete, {_text(moves.truncated)} truncated; "
        f"{moves.stopped} runs stopped, {moves.continued} continued elsewhere, {moves.returned} "
        f"returned; faults: {_text(moves.faults)}; longest lag {result.max_lag:.2f} s",
        flush=True,
    )


def _text(counts: Counter[str]) -> str:
    return f"{counts.total()} (" + ", ".join(f"{k} {v}" for k, v in sorted(counts.items())) + ")"


def _print_traces(seed: int, result: Result) -> None:
    for violation, lines in result.traces.items():
        print(f"seed {seed}: {violation}", *lines, sep="\n    ", flush=True)


if __name__ == "__main__":
    sys.exit(main())
