"""Measures a fleet at rest and under change: settings in force, losses noticed, calls, cost.

python scripts/measure_fleet.py --entries 12 --json docs/figures/fleet.json
"""

from __future__ import annotations

import argparse
import signal
import sys
import time
from pathlib import Path
from statistics import median
from typing import Any

import psutil
from fleet import Fleet
from fleet import Process
from fleet import print_report
from fleet import request

from lotushill.contracts.book import hash_key
from lotushill.contracts.document import write

HALLS = ("hall-a", "hall-b", "hall-c", "hall-d")
REGION = "region"
TEAMS = 20
_EDITS = 30
_REST_SECONDS = 20.0


def team_text(index: int, deadline: float) -> str:
    """Return one team."""
    document: dict[str, Any] = {
        "team": f"team-{index}",
        "keys": [hash_key(f"key-{index}")],
        "policy": {"deadline": deadline},
        "services": {"svc": {"classes": {"a": {}, "b": {}}}},
    }
    return write(document)


def start(fleet: Fleet, count: int) -> list[Process]:
    """Start a platform, two keepers and entry hosts."""
    fleet.start_platform()
    pools = {"pool": {"kind": "engine", "model": "m"}}
    root = {"tiers": ["top"], "pools": pools, "policy": {"pool": "pool", "tier": "top"}}
    fleet.put_object("desired/root", write(root))
    for index in range(TEAMS):
        fleet.put_object(f"desired/team/team-{index}", team_text(index, 30.0))
    for index in range(2):
        fleet.start_upstream(f"engine-{index}", "engine", "pool", HALLS[index], REGION)
        fleet.start_keeper(f"keeper-{index}", HALLS[index])
    entries = start_entries(fleet, count)
    fleet.wait_ready(*entries)
    time.sleep(3.0)
    return entries


def start_entries(fleet: Fleet, count: int) -> list[Process]:
    """Start entry hosts that know the first two as seeds."""
    entries: list[Process] = []
    for index in range(count):
        seeds = [str(entry.settings["peers"]) for entry in entries[:2]]
        entries.append(fleet.start_entry(f"entry-{index}", HALLS[index % 4], REGION, seeds))
    return entries


def status(entry: Process) -> dict[str, Any]:
    """Return the status of an entry."""
    found: dict[str, Any] = request("GET", str(entry.settings["status"]), "/status")
    return found


def wait_in_force(fleet: Fleet, entries: list[Process], generation: int) -> None:
    """Wait until a generation is in force in all entries."""
    fleet.wait(lambda: all(status(entry)["generation"] >= generation for entry in entries))


def measure_edits(fleet: Fleet, entries: list[Process]) -> dict[str, float]:
    """Return the seconds from an edit to its being in force, over all entries and edits."""
    taken: list[float] = []
    slowest: list[float] = []
    generation = max(status(entry)["generation"] for entry in entries)
    for number in range(_EDITS):
        key = f"desired/team/team-{number % TEAMS}"
        held = request("GET", fleet.platform, f"/objects/{key}")
        began = time.time()
        fleet.put_object(key, team_text(number % TEAMS, 31.0 + number), held["version"])
        generation += 1
        wait_in_force(fleet, entries, generation)
        spent = [status(entry)["installed_at"] - began for entry in entries]
        taken += spent
        slowest.append(max(spent))
    taken.sort()
    p99 = taken[int(0.99 * len(taken))]
    return {"p50": median(taken), "p99": p99, "worst": taken[-1], "edits": len(slowest)}


def measure_rest(fleet: Fleet, entries: list[Process]) -> dict[str, float]:
    """Return what a fleet costs when nothing happens."""
    processes = [psutil.Process(entry.handle.pid) for entry in entries]
    keepers = [psutil.Process(fleet.processes[f"keeper-{index}"].handle.pid) for index in (0, 1)]
    calls, sent = request("GET", fleet.platform, "/counts"), [status(item) for item in entries]
    before = [process.cpu_times() for process in processes + keepers]
    time.sleep(_REST_SECONDS)
    after = [process.cpu_times() for process in processes + keepers]
    spent = [(b.user + b.system - a.user - a.system) for a, b in zip(before, after, strict=True)]
    later = request("GET", fleet.platform, "/counts")
    packets = [
        status(entry)["heartbeats"]["bytes"] - old["heartbeats"]["bytes"]
        for entry, old in zip(entries, sent, strict=True)
    ]
    count = len(entries)
    return {
        "entry_core_share": sum(spent[:count]) / count / _REST_SECONDS,
        "keeper_core_share": sum(spent[count:]) / 2 / _REST_SECONDS,
        "entry_resident_mb": median(item.memory_info().rss for item in processes) / 2**20,
        "keeper_resident_mb": median(item.memory_info().rss for item in keepers) / 2**20,
        "heartbeat_bytes_a_second": sum(packets) / count / _REST_SECONDS,
        "object_reads_a_second": (later["reads"] - calls["reads"]) / _REST_SECONDS,
        "object_writes_a_second": (later["writes"] - calls["writes"]) / _REST_SECONDS,
    }


def measure_loss(fleet: Fleet, entries: list[Process], how: str) -> float:
    """Return the seconds until another entry takes a lost one for lost."""
    victim, watcher = entries[-1], entries[0]
    began = time.monotonic()
    if how == "kill":
        victim.kill()
    else:
        victim.handle.send_signal(signal.SIGSTOP)
    while status(watcher)["members"].get(victim.name, {}).get("phase") != "lost":
        time.sleep(0.02)
    taken = time.monotonic() - began
    if how == "kill":
        entries[-1] = fleet.start("entry", victim.name, victim.settings)
    else:
        victim.handle.send_signal(signal.SIGCONT)
    fleet.wait(lambda: status(watcher)["members"][victim.name]["phase"] == "alive")
    return taken


def measure_restart(fleet: Fleet, entries: list[Process]) -> dict[str, float]:
    """Return what the object API bears when every entry restarts at once."""
    before = request("GET", fleet.platform, "/counts")
    for entry in entries:
        entry.kill()
    began = time.monotonic()
    again = [fleet.start("entry", entry.name, entry.settings) for entry in entries]
    fleet.wait_ready(*again)
    ready = time.monotonic() - began
    time.sleep(max(0.0, 10.0 - ready))
    after = request("GET", fleet.platform, "/counts")
    return {
        "seconds_to_ready": ready,
        "reads_in_10_s": after["reads"] - before["reads"],
        "writes_in_10_s": after["writes"] - before["writes"],
    }


def false_suspicions(fleet: Fleet) -> int:
    """Return how often a member was suspected so far."""
    return sum(
        entry.log.read_text(encoding="utf-8").count("phase=suspect")
        for name, entry in fleet.processes.items()
        if name.startswith("entry")
    )


def main() -> int:
    """Measure and print JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=12)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    with Fleet() as fleet:
        entries = start(fleet, arguments.entries)
        report: dict[str, Any] = {"entries": arguments.entries}
        report["seconds_to_in_force"] = measure_edits(fleet, entries)
        report["at_rest"] = measure_rest(fleet, entries)
        report["suspicions_of_live_members"] = false_suspicions(fleet)
        report["seconds_to_notice"] = {
            how: sorted(measure_loss(fleet, entries, how) for _ in range(5))
            for how in ("kill", "freeze")
        }
        report["restart_of_all"] = measure_restart(fleet, entries)
    print_report(report, arguments.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
