"""Measures what an entry costs: per relayed token, per request, and added latency.

`--against SRC` runs a second entry from another source tree beside it, in the same run, so that
the two can be compared as a ratio.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from pathlib import Path
from statistics import median
from typing import Any

import anyio
import psutil
from fleet import Fleet
from fleet import Process
from fleet import print_report

from lotushill.contracts.book import hash_key
from lotushill.contracts.document import write
from lotushill.load.caller import Caller
from lotushill.load.caller import Order
from lotushill.load.caller import Reply

REGION = "region"
HALL = "hall"
KEY = "key"
LENGTH = 400
TEAM = {
    "team": "team",
    "keys": [hash_key(KEY)],
    "services": {"svc": {"classes": {"klass": {}}}},
}
ROOT = {
    "tiers": ["top"],
    "pools": {"pool": {"kind": "engine", "model": "m", "slots": 256, "max_slots": 512}},
    "policy": {"pool": "pool", "tier": "top", "deadline": 120.0, "max_output_tokens": 100000},
}


def start(fleet: Fleet, engines: int, step: float, against: Path | None) -> list[Process]:
    """Start engines and the entries to compare, each with a region of its own."""
    fleet.start_platform()
    fleet.put_object("desired/root", write(ROOT))
    fleet.put_object("desired/team/team", write(TEAM))
    fleet.start_keeper("keeper", HALL)
    entries = [fleet.start_entry("entry-new", HALL, "new", [])]
    if against is not None:
        former = os.environ.get("PYTHONPATH", "")
        os.environ["PYTHONPATH"] = str(against)
        entries.append(fleet.start_entry("entry-old", HALL, "old", []))
        os.environ["PYTHONPATH"] = former
    for entry in entries:
        for index in range(engines):
            name = f"{entry.name}-engine-{index}"
            region = str(entry.settings["region"])
            fleet.start_upstream(
                name, "engine", "pool", HALL, region, slots=512, step=step, prefill_per_step=1e9
            )
    fleet.wait_ready(*entries)
    time.sleep(4.0)  # The host list is read anew every few seconds.
    return entries


def order_for(address: str, prompt: str, stream: bool = True) -> Order:
    """Return one call."""
    return Order(address, KEY, "svc", "klass", "m", prompt, stream=stream, deadline=100.0)


async def run_streams(address: str, streams: int, length: int) -> list[Reply]:
    """Run streams side by side."""
    caller = Caller()
    replies: list[Reply] = []

    async def one(index: int) -> None:
        replies.append(await caller.call(order_for(address, f"s{index} length={length}")))

    async with anyio.create_task_group() as group:
        for index in range(streams):
            group.start_soon(one, index)
    await caller.close()
    return replies


async def run_calls(address: str, count: int, stream: bool) -> list[Reply]:
    """Make calls one after another."""
    caller = Caller()
    replies = [
        await caller.call(order_for(address, f"c{index} length=1", stream))
        for index in range(count)
    ]
    await caller.close()
    return replies


def percentile(values: list[float], share: float) -> float:
    """Return a quantile of some values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure_tokens(entry: Process, streams: int) -> dict[str, float]:
    """Return the processor time that one relayed token costs."""
    process = psutil.Process(entry.handle.pid)
    before, began = process.cpu_times(), time.monotonic()
    replies = anyio.run(run_streams, str(entry.settings["callers"]), streams, LENGTH)
    after, wall = process.cpu_times(), time.monotonic() - began
    tokens = sum(len(reply.text.split()) for reply in replies)
    spent = after.user + after.system - before.user - before.system
    return {
        "completed": sum(reply.completed for reply in replies),
        "tokens": tokens,
        "tokens_a_second": tokens / wall,
        "microseconds_a_token": spent / tokens * 1e6,
        "resident_mb": process.memory_info().rss / 2**20,
        "core_share": spent / wall,
    }


def measure_requests(entry: Process, count: int) -> dict[str, float]:
    """Return the processor time that one short request costs."""
    process = psutil.Process(entry.handle.pid)
    before = process.cpu_times()
    replies = anyio.run(run_calls, str(entry.settings["callers"]), count, False)
    after = process.cpu_times()
    spent = after.user + after.system - before.user - before.system
    whole = [reply.whole for reply in replies]
    return {
        "completed": sum(reply.completed for reply in replies),
        "microseconds_a_request": spent / count * 1e6,
        "p50_ms": median(whole) * 1000,
        "p99_ms": percentile(whole, 0.99) * 1000,
    }


def measure_direct(address: str, count: int) -> dict[str, float]:
    """Return the latency of the same short calls made straight to an engine."""
    replies = anyio.run(run_calls, address, count, False)
    whole = [reply.whole for reply in replies]
    return {"p50_ms": median(whole) * 1000, "p99_ms": percentile(whole, 0.99) * 1000}


def main() -> int:
    """Measure and print JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=60)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--step", type=float, default=0.02)
    parser.add_argument("--calls", type=int, default=300)
    parser.add_argument("--against", type=Path)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    report: dict[str, Any] = {"streams": arguments.streams, "step": arguments.step, "rounds": []}
    with Fleet() as fleet:
        entries = start(fleet, 2, arguments.step, arguments.against)
        for _ in range(arguments.rounds):
            found: dict[str, Any] = {}
            for entry in entries:
                found[entry.name] = {
                    "tokens": measure_tokens(entry, arguments.streams),
                    "requests": measure_requests(entry, arguments.calls),
                }
            engine = fleet.processes[f"{entries[0].name}-engine-0"]
            found["direct"] = measure_direct(str(engine.settings["address"]), arguments.calls)
            report["rounds"].append(found)
    print_report(report, arguments.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
