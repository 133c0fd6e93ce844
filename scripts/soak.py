"""Runs the soak test with many seeds, several at a time, and prints a line for each.

    python scripts/soak.py [--seeds 50] [--first 1] [--seconds 40] [--jobs 4] [--plain] [--limits]

Real gateways run in front of engines that restart, with one client whose request crashes engines.
Exits with 1 if an invariant was violated, or if less than 0.97 of the ordinary requests at the end
of a run were served.
"""

from __future__ import annotations

import argparse
import asyncio
import faulthandler
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.soak.soak import Result
from tests.soak.soak import Soak

_LEAST_SERVED = 0.97
_SPARE_SECONDS = 40.0
"""Extra time in seconds that a run may take for its start and its shutdown."""


def play(seed: int, seconds: float, words: bool, limits: bool) -> Result:
    """Run one seed; a run that does not end in time prints its stack traces."""
    faulthandler.dump_traceback_later(seconds + _SPARE_SECONDS, exit=True)
    try:
        return asyncio.run(_play(seed, seconds, words, limits))
    finally:
        faulthandler.cancel_dump_traceback_later()


async def _play(seed: int, seconds: float, words: bool, limits: bool) -> Result:
    try:
        async with asyncio.timeout(seconds + _SPARE_SECONDS / 2):
            return await Soak(seed, seconds, words, limits).run()
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
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    bad = 0
    with ProcessPoolExecutor(options.jobs) as pool:
        lengths = [options.seconds] * options.seeds
        results = pool.map(
            play,
            seeds,
            lengths,
            [not options.plain] * options.seeds,
            [options.limits] * options.seeds,
        )
        for seed, result in zip(seeds, results):
            bad += _print(seed, result)
    print(f"{len(seeds) - bad} of {len(seeds)} seeds without a fault")
    return 1 if bad else 0


def _print(seed: int, result: Result) -> bool:
    wrong = [*result.faults, *result.errors]
    if result.share < _LEAST_SERVED:
        wrong.append("too few requests were served at the end")
    print(
        f"seed {seed}: {result.tries} requests, {result.engines_ended} engines crashed by the "
        f"deadly request, {result.late_sends} late sends, {result.ended_by_varying} by varying "
        f"bodies; {result.rests} cooldowns, {result.leavings} answers that announce leaving, "
        f"{len(result.limited_runs)} incarnations with a limit; at the end "
        f"served: ordinary "
        f"{result.served[0]}/{result.served[1]}, common "
        f"{result.common_served[0]}/{result.common_served[1]}; "
        f"{len(result.idle_engines)} engines idle{'; WRONG: ' if wrong else ''}{'; '.join(wrong)}",
        flush=True,
    )
    return bool(wrong)


if __name__ == "__main__":
    sys.exit(main())
