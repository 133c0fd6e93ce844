"""The demo: real processes, real streams, an entry and an engine killed on the way."""

from __future__ import annotations

import sys
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

import anyio
from fleet import Fleet
from fleet import Process

from lotushill.contracts.book import hash_key
from lotushill.contracts.document import write
from lotushill.load.caller import Caller
from lotushill.load.caller import Order
from lotushill.load.caller import Reply
from lotushill.load.caller import expected_text

REGION = "jalisco"
HALLS = ("hall-zapopan", "hall-tlaque")
TEAMS = ("bodas", "bautizos")
ROUNDS = 25
KILL_ENGINE_AT = 10
KILL_ENTRY_AT = 18


@dataclass(frozen=True)
class Class:
    """One class that the demo calls."""

    service: str
    klass: str
    tier: str
    length: int
    per_round: int


CLASSES = (
    Class("wording", "counter", "counter", 16, 2),
    Class("rsvp", "answer", "desk", 24, 4),
    Class("cards", "batch", "batch", 48, 6),
)


def root_document() -> str:
    """Return the root of the demo's settings tree."""
    return write(
        {
            "tiers": ["counter", "desk", "batch"],
            "pools": {
                "drafts": {"kind": "engine", "model": "drafts-8b", "slots": 8, "max_slots": 16},
                "orders": {"kind": "service"},
            },
            "policy": {"pool": "drafts", "deadline": 20.0, "target": {"first_token": 0.5}},
        }
    )


def team_document(team: str) -> str:
    """Return the settings of one team."""
    services: dict[str, object] = {
        item.service: {"classes": {item.klass: {"policy": {"tier": item.tier}}}} for item in CLASSES
    }
    services["ledger"] = {
        "policy": {"pool": "orders", "tier": "counter", "repeatable": False},
        "classes": {"print": {}},
    }
    return write({"team": team, "keys": [hash_key(f"key-{team}")], "services": services})


def start(fleet: Fleet) -> list[Process]:
    """Start the stand-ins, three entry hosts and a keeper, and write the settings."""
    fleet.start_platform()
    for index in range(4):
        hall = HALLS[index % 2]
        fleet.start_upstream(
            f"engine-{index}", "engine", "drafts", hall, REGION, slots=8, step=0.02
        )
    fleet.start_upstream("ledger-0", "service", "orders", HALLS[0], REGION)
    fleet.put_object("desired/root", root_document())
    for team in TEAMS:
        fleet.put_object(f"desired/team/{team}", team_document(team))
    fleet.start_keeper("keeper-0", HALLS[0])
    entries: list[Process] = []
    for index in range(3):
        seeds = [entry.settings["peers"] for entry in entries]
        entries.append(fleet.start_entry(f"entry-{index}", HALLS[index % 2], REGION, seeds))
    fleet.wait_ready(*entries)
    return entries


class Demo:
    """Calls the fleet round by round and tallies what comes back."""

    def __init__(self, fleet: Fleet, entries: list[Process]) -> None:
        self.fleet = fleet
        self.entries = entries
        self.caller = Caller()
        self.replies: dict[str, list[Reply]] = defaultdict(list)
        self.wrong = 0
        self._serial = 0

    async def run(self) -> None:
        """Make all calls."""
        async with anyio.create_task_group() as group:
            for number in range(ROUNDS):
                self._disturb(number)
                for team in TEAMS:
                    for item in CLASSES:
                        for _ in range(item.per_round):
                            group.start_soon(self._draft, team, item)
                    group.start_soon(self._print, team)
                await anyio.sleep(0.4)
        await self.caller.close()

    def _disturb(self, number: int) -> None:
        if number == KILL_ENGINE_AT:
            print("demo: killing engine-1 with streams in progress")
            self.fleet.processes["engine-1"].kill()
        if number == KILL_ENTRY_AT:
            print("demo: killing entry-2 with streams in progress")
            self.fleet.processes["entry-2"].kill()
            self.entries.pop()

    def _order(self, team: str, item: Class, prompt: str) -> Order:
        self._serial += 1
        entry = self.entries[self._serial % len(self.entries)]
        address = entry.settings["callers"]
        key = f"key-{team}"
        return Order(address, key, item.service, item.klass, "drafts-8b", prompt, deadline=15.0)

    async def _draft(self, team: str, item: Class) -> None:
        prompt = f"Draft {self._serial} for {team}, length={item.length}"
        order = self._order(team, item, prompt)
        reply = await self.caller.call(order)
        self.replies[item.tier].append(reply)
        if reply.completed and reply.text != expected_text(prompt):
            self.wrong += 1

    async def _print(self, team: str) -> None:
        self._serial += 1
        entry = self.entries[self._serial % len(self.entries)]
        order = Order(
            entry.settings["callers"],
            f"key-{team}",
            "ledger",
            "print",
            "",
            "",
            stream=False,
            deadline=10.0,
            repeatable=False,
            idempotency_key=f"print-{team}-{self._serial}",
            path="/orders/print",
        )
        reply = await self.caller.send(order, f"print {self._serial}".encode())
        self.replies["ledger"].append(reply)


def show(demo: Demo) -> int:
    """Print the closing table; return the exit code."""
    print(f"\n{'tier':10} {'calls':>6} {'completed':>10} {'in 0.5 s':>9}  outcomes")
    for tier, replies in demo.replies.items():
        done = sum(reply.completed for reply in replies)
        timely = sum(reply.completed and reply.first_token <= 0.5 for reply in replies)
        kinds = Counter(f"{reply.outcome}/{reply.code}".rstrip("/") for reply in replies)
        text = ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items()))
        print(f"{tier:10} {len(replies):>6} {done:>10} {timely:>9}  {text}")
    print(f"answers that were not their own or not whole: {demo.wrong}")
    total = sum(len(replies) for replies in demo.replies.values())
    done = sum(reply.completed for replies in demo.replies.values() for reply in replies)
    print(f"completed {done} of {total}")
    return 0 if not demo.wrong and done >= 0.9 * total else 1


def show_decisions(fleet: Fleet) -> None:
    """Print a few decision log lines of each kind."""
    print("\ndecisions, as logged:")
    shown: Counter[str] = Counter()
    for log in sorted(fleet.folder.glob("entry-*.log")):
        for line in Path(log).read_text(encoding="utf-8").splitlines():
            for kind in ("Granted.", "Refused.", "Ended a request.", "Member changed."):
                if kind in line and shown[kind] < 3:
                    shown[kind] += 1
                    print("  " + line)


def main() -> int:
    """Run the demo."""
    with Fleet() as fleet:
        entries = start(fleet)
        print(f"demo: {len(fleet.processes)} processes are up")
        demo = Demo(fleet, entries)
        anyio.run(demo.run)
        show_decisions(fleet)
        return show(demo)


if __name__ == "__main__":
    sys.exit(main())
