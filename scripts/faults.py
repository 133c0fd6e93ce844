"""Runs a user's shape as real processes under faults and checks the promises from records.

    python scripts/faults.py --shape croatia --minutes 15 --seed 1 --json results/faults.json

Each few seconds something is killed, stopped, paused or broken, sometimes two things at once.
What callers got is held against what the upstreams say they ran. Exits 1 on a broken promise.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import random
import signal
import sys
import time
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import anyio
import anyio.to_thread
from fleet import Fleet
from fleet import Process
from fleet import print_report
from fleet import request

from lotushill.contracts.book import hash_key
from lotushill.contracts.document import write
from lotushill.load.caller import Caller
from lotushill.load.caller import Order
from lotushill.load.caller import Reply
from lotushill.load.caller import expected_text

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

TEAMS = tuple(f"team-{index}" for index in range(10))
TEAM_WEIGHTS = (6, 4, 2, 2, 1, 1, 1, 1, 1, 1)
ENTRIES = 8
LEAVING_SECONDS = 3.0
_FAULT_PERIOD = 6.0


@dataclass(frozen=True)
class Class:
    """One class of calls to engines."""

    name: str
    tier: str
    length: int
    target: float
    deadline: float
    rate: float
    """Calls a second."""


@dataclass(frozen=True)
class Shape:
    """One user's fleet, at a pace that one machine carries."""

    region: str
    halls: tuple[str, ...]
    engines: int
    services: int
    step: float
    classes: tuple[Class, ...]
    note_rate: float


SHAPES = {
    "croatia": Shape(
        "hr-kontinent",
        ("zg-dubrava", "zg-jankomir", "os-vukovarska", "vz-centar"),
        9,
        4,
        0.05,
        (
            Class("receipt", "top", 12, 1.0, 15.0, 4.0),
            Class("settlement", "middle", 24, 4.0, 20.0, 4.0),
            Class("dispute", "low", 60, 0.0, 40.0, 4.0),
        ),
        3.0,
    ),
    "jalisco": Shape(
        "jalisco",
        ("hall-zapopan", "hall-tlaque", "hall-centro"),
        5,
        3,
        0.06,
        (
            Class("counter", "top", 12, 1.0, 15.0, 3.0),
            Class("rsvp", "middle", 16, 4.0, 20.0, 3.0),
            Class("place-cards", "low", 60, 0.0, 40.0, 3.0),
        ),
        2.0,
    ),
}


@dataclass
class Call:
    """One call made, and what came of it."""

    klass: str
    entry: str
    began: float
    ended: float
    prompt: str
    reply: Reply


@dataclass(frozen=True)
class Leaving:
    """One time that an upstream was leaving."""

    name: str
    by_list: bool
    since: float
    until: float


@dataclass
class Findings:
    """Broken promises, in words."""

    broken: list[str] = field(default_factory=list)

    def add(self, promise: str, detail: str) -> None:
        """Note one broken promise."""
        self.broken.append(f"{promise}: {detail}")


class Run:
    """One run of one shape."""

    def __init__(self, fleet: Fleet, shape: Shape, seed: int) -> None:
        self.fleet = fleet
        self.shape = shape
        self.rng = random.Random(seed)
        self.caller = Caller(4000)
        self.entries: dict[str, Process] = {}
        self.upstreams: dict[str, dict[str, Any]] = {}
        self.calls: list[Call] = []
        self.notes: list[Call] = []
        self.faults: Counter[str] = Counter()
        self.violent: dict[str, list[float]] = defaultdict(list)
        """When an entry was killed or paused."""
        self.leaving: list[Leaving] = []
        self.outages: list[tuple[float, float]] = []
        """When the platform did not answer as it should."""
        self.excused = 0
        """Upstreams left by the host list alone while nobody could read it."""
        self._busy: set[str] = set()
        """Engines that have one fault already; a second would undo the first."""
        self.generations: dict[tuple[str, int], int] = {}
        self.findings = Findings()
        self._serial = 0
        self._edits = 0

    # Starting

    def start(self) -> None:
        """Start everything and write the settings."""
        fleet, shape = self.fleet, self.shape
        fleet.start_platform()
        fleet.put_object("desired/root", self._root())
        for team in TEAMS:
            fleet.put_object(f"desired/team/{team}", self._team(team, 40.0))
        for index in range(shape.engines):
            self._start_upstream(f"engine-{index}", "engine", "models", index)
        for index in range(shape.services):
            self._start_upstream(f"service-{index}", "service", "portal", index)
        for index in range(2):
            fleet.start_keeper(f"keeper-{index}", shape.halls[index])
        for index in range(ENTRIES):
            self._start_entry(f"entry-{index}", shape.halls[index % len(shape.halls)])
        fleet.wait_ready(*self.entries.values())

    def _start_upstream(self, name: str, kind: str, pool: str, index: int) -> None:
        hall = self.shape.halls[index % len(self.shape.halls)]
        options = {"slots": 16, "step": self.shape.step} if kind == "engine" else {}
        process = self.fleet.start_upstream(name, kind, pool, hall, self.shape.region, **options)
        self.upstreams[name] = process.settings | {"pool": pool, "hall": hall}

    def _start_entry(self, name: str, hall: str) -> Process:
        seeds = [str(entry.settings["peers"]) for entry in self.entries.values()]
        process = self.fleet.start_entry(name, hall, self.shape.region, seeds)
        self.entries[name] = process
        return process

    def _root(self) -> str:
        pools = {
            "models": {"kind": "engine", "model": "m", "slots": 16, "max_slots": 32},
            "portal": {"kind": "service"},
        }
        policy = {"pool": "models", "tier": "low", "deadline": 40.0}
        return write({"tiers": ["top", "middle", "low"], "pools": pools, "policy": policy})

    def _team(self, team: str, deadline: float) -> str:
        classes: dict[str, Any] = {}
        for item in self.shape.classes:
            policy: dict[str, Any] = {"tier": item.tier, "deadline": item.deadline}
            if item.target:
                policy["target"] = {"first_token": item.target}
            classes[item.name] = {"policy": policy}
        note = {"policy": {"repeatable": False}}
        portal = {"pool": "portal", "tier": "top"}
        services = {
            "models": {"classes": classes},
            "portal": {"policy": portal, "classes": {"note": note}},
        }
        document = {
            "team": team,
            "keys": [hash_key(f"key-{team}")],
            "policy": {"deadline": deadline},
            "services": services,
        }
        return write(document)

    # Calls

    async def run(self, seconds: float) -> None:
        """Make calls and faults for a time, then let everything come to its end."""
        until = time.monotonic() + seconds
        async with anyio.create_task_group() as group:
            for item in self.shape.classes:
                group.start_soon(self._arrivals, item.rate, until, self._one(item))
            group.start_soon(self._arrivals, self.shape.note_rate, until, self._note)
            group.start_soon(self._disturb, until)
            group.start_soon(self._watch_generations, until)
        await self.caller.close()

    async def _arrivals(self, rate: float, until: float, make: Callable[[], Any]) -> None:
        async with anyio.create_task_group() as group:
            while time.monotonic() < until:
                burst = 2.5 if time.monotonic() % 20.0 < 5.0 else 1.0
                await anyio.sleep(self.rng.expovariate(rate * burst))
                group.start_soon(make)

    def _one(self, item: Class) -> Callable[[], Any]:
        async def call() -> None:
            self._serial += 1
            team = self.rng.choices(TEAMS, TEAM_WEIGHTS)[0]
            prompt = f"{item.name} {self._serial} for {team} length={item.length}"
            name, entry = self._entry()
            order = Order(
                str(entry.settings["callers"]),
                f"key-{team}",
                "models",
                item.name,
                "m",
                prompt,
                deadline=item.deadline,
            )
            began = time.time()
            reply = await self.caller.call(order)
            self.calls.append(Call(item.name, name, began, time.time(), prompt, reply))

        return call

    async def _note(self) -> None:
        self._serial += 1
        body = f"note {self._serial}"
        team = self.rng.choices(TEAMS, TEAM_WEIGHTS)[0]
        for attempt in range(3):
            name, entry = self._entry()
            order = Order(
                str(entry.settings["callers"]),
                f"key-{team}",
                "portal",
                "note",
                "",
                "",
                stream=False,
                deadline=8.0,
                repeatable=False,
                idempotency_key=f"{team}-{self._serial}-{body}",
                path="/notes",
            )
            began = time.time()
            reply = await self.caller.send(order, body.encode())
            self.notes.append(Call("note", name, began, time.time(), body, reply))
            if reply.completed:
                return
            # The caller's own resend, through another entry, as a terminal does.
            await anyio.sleep(0.5 * (attempt + 1))

    def _entry(self) -> tuple[str, Process]:
        """Return an entry as the platform's balancer would choose: not one that is not ready."""
        live = [
            (name, entry)
            for name, entry in self.entries.items()
            if entry.handle.poll() is None and name not in self.out_of_balance
        ]
        return self.rng.choice(live)

    out_of_balance: set[str] = set()

    # Faults

    async def _disturb(self, until: float) -> None:
        actions = (
            self._kill_entry,
            self._stop_entry,
            self._pause_entry,
            self._kill_engine,
            self._break_engine,
            self._leave_engine,
            self._break_platform,
            self._kill_keeper,
            self._pause_keeper,
            self._edit,
            self._edit,
        )
        async with anyio.create_task_group() as group:
            while time.monotonic() < until - 15.0:
                await anyio.sleep(_FAULT_PERIOD * self.rng.uniform(0.5, 1.5))
                for action in self.rng.sample(actions, self.rng.choice((1, 1, 2))):
                    self.faults[action.__name__.strip("_")] += 1
                    group.start_soon(action)

    def _pick_entry(self) -> str | None:
        live = [
            name
            for name, entry in self.entries.items()
            if entry.handle.poll() is None and name not in self.out_of_balance
        ]
        return self.rng.choice(live) if len(live) > ENTRIES // 2 else None

    async def _restart_entry(self, name: str) -> None:
        hall = str(self.entries[name].settings["hall"])
        process = self._start_entry(name, hall)
        with anyio.move_on_after(20.0):
            while not await _ready(process):
                await anyio.sleep(0.1)
        self.out_of_balance.discard(name)

    async def _kill_entry(self) -> None:
        name = self._pick_entry()
        if name is None:
            return
        self.out_of_balance.add(name)
        self.violent[name].append(time.time())
        self.entries[name].kill()
        await anyio.sleep(1.0)
        await self._restart_entry(name)

    async def _stop_entry(self) -> None:
        name = self._pick_entry()
        if name is None:
            return
        self.out_of_balance.add(name)
        self.entries[name].handle.send_signal(signal.SIGTERM)
        with anyio.move_on_after(60.0):
            while self.entries[name].handle.poll() is None:
                await anyio.sleep(0.1)
        await self._restart_entry(name)

    async def _pause_entry(self) -> None:
        name = self._pick_entry()
        if name is None:
            return
        self.violent[name].append(time.time())
        await self._pause(self.entries[name], 2.5)
        self.violent[name].append(time.time())

    async def _pause(self, process: Process, seconds: float) -> None:
        process.handle.send_signal(signal.SIGSTOP)
        await anyio.sleep(seconds)
        if process.handle.poll() is None:
            process.handle.send_signal(signal.SIGCONT)

    @contextlib.contextmanager
    def _engine(self) -> Iterator[str]:
        """Give an engine that has no fault yet, and keep others off it for the block."""
        names = {f"engine-{index}" for index in range(self.shape.engines)}
        name = self.rng.choice(sorted(names - self._busy))
        self._busy.add(name)
        try:
            yield name
        finally:
            self._busy.discard(name)

    async def _kill_engine(self) -> None:
        with self._engine() as name:
            process = self.fleet.processes[name]
            process.kill()
            await anyio.sleep(3.0)
            self.fleet.start("standin", name, process.settings)

    async def _break_engine(self) -> None:
        faults = ({"cut": True}, {"slow": 4.0}, {"refuse": True}, {"short": True})
        with self._engine() as name:
            await self._set_faults(name, self.rng.choice(faults))
            await anyio.sleep(4.0)
            await self._set_faults(name, {})

    async def _set_faults(self, name: str, fault: dict[str, Any]) -> None:
        address = str(self.upstreams[name]["address"])
        try:
            await anyio.to_thread.run_sync(request, "POST", address, "/faults", fault)
        except OSError as error:
            print(f"could not set faults of {name}: {error!r}", file=sys.stderr)

    async def _leave_engine(self) -> None:
        with self._engine() as name:
            since = time.time()
            by_list = self.rng.random() < 0.5
            await self._set_leaving(name, by_list, True)
            await anyio.sleep(8.0)
            self.leaving.append(Leaving(name, by_list, since, time.time()))
            await self._set_leaving(name, by_list, False)

    async def _set_leaving(self, name: str, by_list: bool, leaving: bool) -> None:
        if not by_list:
            await self._set_faults(name, {"leaving": leaving})
            return
        held = self.upstreams[name]
        state = "leaving" if leaving else "live"
        place = (held["pool"], held["hall"], self.shape.region)
        await anyio.to_thread.run_sync(
            self.fleet.list_host, name, "engine", *place, str(held["address"]), state
        )

    async def _break_platform(self) -> None:
        mode = self.rng.choice(("down", "slow", "lose-answers"))
        began = time.time()
        await self._platform_mode(mode)
        await anyio.sleep(5.0)
        await self._platform_mode("none")
        self.outages.append((began, time.time() + 1.0))

    async def _platform_mode(self, mode: str) -> None:
        address = self.fleet.platform
        await anyio.to_thread.run_sync(request, "POST", address, "/faults", {"mode": mode})

    async def _kill_keeper(self) -> None:
        name = f"keeper-{self.rng.randrange(2)}"
        process = self.fleet.processes[name]
        process.kill()
        await anyio.sleep(2.0)
        self.fleet.start("keeper", name, process.settings)

    async def _pause_keeper(self) -> None:
        await self._pause(self.fleet.processes[f"keeper-{self.rng.randrange(2)}"], 8.0)

    async def _edit(self) -> None:
        self._edits += 1
        team = self.rng.choice(TEAMS)
        key = f"/objects/desired/team/{team}"
        try:
            held = await anyio.to_thread.run_sync(request, "GET", self.fleet.platform, key)
            body = {"value": self._team(team, 40.0 + self._edits), "expected": held["version"]}
            await anyio.to_thread.run_sync(request, "PUT", self.fleet.platform, key, body)
        except OSError:
            pass

    # Checks

    async def _watch_generations(self, until: float) -> None:
        while time.monotonic() < until:
            await anyio.sleep(1.0)
            for name, entry in list(self.entries.items()):
                found = await _status(entry)
                if found is None:
                    continue
                life = (name, entry.handle.pid)
                before = self.generations.get(life, 0)
                if found["generation"] < before:
                    detail = f"{name} went from {before} to {found['generation']}"
                    self.findings.add("a generation never goes back", detail)
                self.generations[life] = found["generation"]

    def check(self) -> dict[str, Any]:
        """Hold what callers got against what upstreams ran; return the figures."""
        ran = self._records()
        runs_by_request: Counter[str] = Counter(record["request"] for record in ran)
        self._check_answers(runs_by_request)
        self._check_notes(ran)
        self._check_leaving(ran)
        self._check_convergence()
        return self._figures()

    def _records(self) -> list[dict[str, Any]]:
        records: list[dict[str, Any]] = []
        for name in self.upstreams:
            text = self.fleet.processes[name].log.read_text(encoding="utf-8", errors="replace")
            for line in text.splitlines():
                _, found, tail = line.partition("standin: ran ")
                if found:
                    records.append(json.loads(tail) | {"upstream": name})
        return records

    def _check_answers(self, runs: Counter[str]) -> None:
        for call in self.calls + self.notes:
            reply = call.reply
            if reply.outcome == "refused" and runs[reply.request]:
                detail = f"{call.prompt!r} by {call.entry} ({reply.code})"
                self.findings.add("refused was never run", detail)
            wrong = reply.completed and reply.text != expected_text(call.prompt)
            if call.klass != "note" and wrong:
                self.findings.add("a whole answer, and one's own", call.prompt)
            if reply.outcome == "broken" and not self._was_violent(call):
                detail = f"{call.prompt!r} by {call.entry} after {reply.whole:.1f} s"
                self.findings.add("every request ends in one outcome", detail)
            if reply.code == "shed" and call.klass in (self.shape.classes[0].name, "note"):
                self.findings.add("no higher tier is shed for a lower", call.prompt)

    def _was_violent(self, call: Call) -> bool:
        moments = self.violent[call.entry]
        return any(call.began - 3.0 <= moment <= call.ended + 3.0 for moment in moments)

    def _check_notes(self, ran: list[dict[str, Any]]) -> None:
        bodies = Counter(record["body"] for record in ran if "body" in record)
        for body, count in bodies.items():
            if count > 1:
                self.findings.add("not repeatable runs at most once", f"{body!r} ran {count} times")

    def _check_leaving(self, ran: list[dict[str, Any]]) -> None:
        for item in self.leaving:
            first = item.since + LEAVING_SECONDS
            late = [
                record
                for record in ran
                if record["upstream"] == item.name and first < record["at"] < item.until
            ]
            if not late:
                continue
            if item.by_list and self._was_out(item):
                self.excused += 1
                continue
            worst = max(record["at"] for record in late) - item.since
            source = "host list" if item.by_list else "health"
            at = time.strftime("%H:%M:%S", time.localtime(item.since))
            detail = f"{item.name} ({source}, {at}) got {len(late)}, up to {worst:.1f} s after"
            self.findings.add("no new work to a leaving upstream", detail)

    def _was_out(self, item: Leaving) -> bool:
        return any(began < item.until and item.since < ended for began, ended in self.outages)

    def _check_convergence(self) -> None:
        time.sleep(5.0)
        head = request("GET", self.fleet.platform, "/objects/accepted/head")
        wanted = json.loads(head["value"])["generation"]
        for name, entry in self.entries.items():
            if entry.handle.poll() is not None:
                self.findings.add("the fleet heals by itself", f"{name} is not running")
                continue
            held = request("GET", str(entry.settings["status"]), "/status")["generation"]
            if held != wanted:
                detail = f"{name} has {held}, accepted is {wanted}"
                self.findings.add("what is accepted is in force everywhere", detail)

    def _figures(self) -> dict[str, Any]:
        classes: dict[str, Any] = {}
        for item in self.shape.classes:
            replies = [call.reply for call in self.calls if call.klass == item.name]
            done = [reply for reply in replies if reply.completed]
            timely = [item.target == 0 or reply.first_token <= item.target for reply in done]
            classes[item.name] = {
                "calls": len(replies),
                "completed": len(done),
                "in_time": sum(timely) / max(1, len(replies)),
                "outcomes": dict(Counter(f"{r.outcome}/{r.code}".strip("/") for r in replies)),
            }
        notes = Counter(f"{call.reply.outcome}/{call.reply.code}".strip("/") for call in self.notes)
        tokens = sum(len(call.reply.text.split()) for call in self.calls if call.reply.completed)
        lost = sum(len(call.reply.text.split()) for call in self.calls if not call.reply.completed)
        return {
            "classes": classes,
            "notes": dict(notes),
            "good_tokens": tokens,
            "tokens_of_answers_not_whole": lost,
            "faults": dict(self.faults),
            "generations": max(self.generations.values(), default=0),
            "left_while_the_list_was_out": self.excused,
            "broken_promises": self.findings.broken,
        }


async def _status(entry: Process) -> dict[str, Any] | None:
    try:
        address = str(entry.settings["status"])
        found: dict[str, Any] = await anyio.to_thread.run_sync(request, "GET", address, "/status")
    except OSError:
        return None
    return found


async def _ready(entry: Process) -> bool:
    try:
        address = str(entry.settings["status"])
        found = await anyio.to_thread.run_sync(request, "GET", address, "/readyz")
    except OSError:
        return False
    return bool(found["ready"])


def main() -> int:
    """Run one shape and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shape", choices=sorted(SHAPES), required=True)
    parser.add_argument("--minutes", type=float, default=2.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    with Fleet() as fleet:
        run = Run(fleet, SHAPES[arguments.shape], arguments.seed)
        run.start()
        anyio.run(run.run, arguments.minutes * 60, backend_options={"use_uvloop": True})
        figures = run.check()
    figures |= {"shape": arguments.shape, "minutes": arguments.minutes, "seed": arguments.seed}
    print_report(figures, arguments.json)
    return 1 if figures["broken_promises"] else 0


if __name__ == "__main__":
    sys.exit(main())
