"""Entries and dispatchers together: loss, silence, cuts and hand-over of a dispatcher."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from typing import Any

import anyio

from lotushill.dispatch.client import DispatchClient
from lotushill.dispatch.dispatcher import Dispatcher
from lotushill.dispatch.messages import Ask
from lotushill.dispatch.messages import Cancel
from lotushill.dispatch.messages import End
from lotushill.dispatch.messages import EndKind
from lotushill.dispatch.messages import Grant
from lotushill.dispatch.messages import Preemption
from lotushill.dispatch.messages import Refusal
from lotushill.dispatch.options import CellOptions
from lotushill.hosts.rendezvous import owner
from lotushill.links.messages import Held
from lotushill.objectapi.objects import HostRecord
from lotushill.objectapi.objects import HostRole
from lotushill.objectapi.objects import HostState
from tests.dispatch.cell_driver import make_ask

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

CELL = "pool@region"
SLOTS = 8


def records(count: int) -> list[HostRecord]:
    """Return the host list's lines of a few engines."""
    return [
        HostRecord(
            f"up-{index}",
            HostRole.ENGINE,
            f"hall-{index % 2}",
            "region",
            f"127.0.0.1:{index + 1}",
            "pool",
            HostState.LIVE,
        )
        for index in range(count)
    ]


class Members:
    """Three members whose links deliver at once, unless a member is frozen or gone."""

    def __init__(self, names: tuple[str, ...] = ("a", "b", "c")) -> None:
        self.now = 100.0
        self.frozen: set[str] = set()
        self.late: list[tuple[str, str, Any]] = []
        self.dispatchers: dict[str, Dispatcher] = {}
        self.clients: dict[str, DispatchClient] = {}
        for name in names:
            options = CellOptions(slots=SLOTS, max_slots=SLOTS)
            dispatcher = Dispatcher(lambda _, options=options: options)  # type: ignore[misc]
            dispatcher.set_upstreams(records(3))
            self.dispatchers[name] = dispatcher
            client = DispatchClient(
                name, dispatcher, self._post_of(name), lambda: self.now, lambda _: SLOTS
            )
            client.fallback.follow(records(3), {f"up-{index}": CELL for index in range(3)})
            client.follow(list(names))
            self.clients[name] = client
        self.owner = owner(CELL, names) or ""
        self.others = [name for name in names if name != self.owner]

    def _post_of(self, sender: str) -> Callable[..., None]:
        def post(receiver: str, *messages: Any) -> None:
            for message in messages:
                self.deliver(sender, receiver, message)

        return post

    def deliver(self, sender: str, receiver: str, message: Any) -> None:
        """Carry one message, or keep it until a frozen receiver goes on."""
        if receiver in self.frozen or sender in self.frozen:
            self.late.append((sender, receiver, message))
            return
        client = self.clients[receiver]
        client.hear(sender)
        if isinstance(message, Ask | End | Cancel | Held):
            client.carry_out(self.dispatchers[receiver].handle(sender, message, self.now))
        elif isinstance(message, Grant | Refusal | Preemption):
            client.decide(sender, message)

    def thaw(self, name: str) -> None:
        """Let a frozen member go on, and everything that was on its way arrive late."""
        self.frozen.discard(name)
        late, self.late = self.late, []
        for sender, receiver, message in late:
            self.deliver(sender, receiver, message)

    def pass_time(self, seconds: float) -> None:
        """Let time pass in small steps, as the programs do."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.02
            for name in self.clients:
                if name not in self.frozen:
                    routed = self.dispatchers[name].tick(self.now)
                    self.clients[name].carry_out(routed)
                    self.clients[name].tick()

    def running(self, name: str) -> int:
        """Return how many attempts a member's dispatcher has on its books."""
        cell = self.dispatchers[name].cells.get(CELL)
        return len(cell.running) if cell else 0


class Scenario:
    """Asks in the background and keeps what was decided."""

    def __init__(self, members: Members, group: TaskGroup) -> None:
        self.members = members
        self.group = group
        self.decisions: dict[str, Grant | Refusal] = {}

    async def ask(self, entry: str, request: str, **changes: Any) -> None:
        """Ask through an entry and hold what is granted."""
        ask = make_ask(request, entry=entry, **changes)

        async def wait() -> None:
            client = self.members.clients[entry]
            decision = await client.ask(ask)
            self.decisions[request] = decision
            if isinstance(decision, Grant):
                client.hold(ask, decision, lambda: None)

        self.group.start_soon(wait)
        await self.settle()

    async def settle(self) -> None:
        """Let the waiting tasks run."""
        for _ in range(3):
            await anyio.lowlevel.checkpoint()

    def end(self, entry: str, request: str) -> None:
        """Report the end of a granted attempt."""
        grant = self.decisions.pop(request)
        assert isinstance(grant, Grant)
        end = End(request, 0, CELL, grant.upstream, EndKind.COMPLETED, 10, 0.1, 0.01)
        self.members.clients[entry].end(end)


class TestDispatcherLost(unittest.TestCase):
    def run_with(self, steps: Callable[[Members, Scenario], Any]) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as group:
                members = Members()
                await steps(members, Scenario(members, group))
                group.cancel_scope.cancel()

        anyio.run(main)

    def test_asks_reach_the_dispatcher_and_are_granted(self) -> None:
        async def steps(members: Members, scenario: Scenario) -> None:
            await scenario.ask(members.others[0], "r")
            members.pass_time(0.4)
            await scenario.settle()
            self.assertIsInstance(scenario.decisions["r"], Grant)
            self.assertEqual(members.running(members.owner), 1)

        self.run_with(steps)

    def test_a_broken_link_moves_what_runs_and_waits_at_once(self) -> None:
        async def steps(members: Members, scenario: Scenario) -> None:
            entry = members.others[0]
            await scenario.ask(entry, "running")
            members.pass_time(0.4)
            await scenario.settle()
            members.frozen.add(members.owner)
            await scenario.ask(entry, "waiting", tier=2)
            for name in members.others:
                members.clients[name].avoid(members.owner)
            members.pass_time(0.4)
            await scenario.settle()
            self.assertIsInstance(scenario.decisions.get("waiting"), Grant)
            after = owner(CELL, members.others) or ""
            self.assertEqual(members.running(after), 2)

        self.run_with(steps)

    def test_a_silent_dispatcher_holds_up_no_top_tier(self) -> None:
        async def steps(members: Members, scenario: Scenario) -> None:
            entry = members.others[0]
            members.frozen.add(members.owner)
            await scenario.ask(entry, "top", tier=0)
            await scenario.ask(entry, "low", tier=1)
            members.pass_time(0.3)
            await scenario.settle()
            self.assertIsInstance(scenario.decisions.get("top"), Grant)
            self.assertNotIn("low", scenario.decisions)

        self.run_with(steps)

    def test_entries_alone_stay_within_their_shares(self) -> None:
        async def steps(members: Members, scenario: Scenario) -> None:
            members.frozen.add(members.owner)
            for entry in members.others:
                for index in range(20):
                    await scenario.ask(entry, f"{entry}-{index}", tier=0)
            members.pass_time(0.5)
            await scenario.settle()
            upstreams = [
                item.upstream for item in scenario.decisions.values() if isinstance(item, Grant)
            ]
            self.assertGreaterEqual(len(upstreams), 6)
            for name in set(upstreams):
                self.assertLessEqual(upstreams.count(name), SLOTS)

        self.run_with(steps)

    def test_a_dispatcher_that_was_frozen_and_goes_on_doubles_nothing(self) -> None:
        async def steps(members: Members, scenario: Scenario) -> None:
            entry = members.others[0]
            members.frozen.add(members.owner)
            await scenario.ask(entry, "top", tier=0)
            members.pass_time(0.3)
            await scenario.settle()
            first = scenario.decisions["top"]
            members.thaw(members.owner)
            members.pass_time(0.5)
            await scenario.settle()
            self.assertIs(scenario.decisions["top"], first)
            scenario.end(entry, "top")
            members.pass_time(0.1)
            self.assertEqual(members.running(members.owner), 0)

        self.run_with(steps)

    def test_a_cell_that_another_decides_for_is_forgotten(self) -> None:
        async def steps(members: Members, scenario: Scenario) -> None:
            await scenario.ask(members.others[0], "r")
            members.pass_time(0.4)
            members.dispatchers[members.owner].keep_cells(lambda _: False, members.now)
            members.pass_time(3.0)
            self.assertEqual(members.dispatchers[members.owner].cells, {})

        self.run_with(steps)

    def test_a_caller_that_leaves_takes_its_ask_along(self) -> None:
        async def steps(members: Members, scenario: Scenario) -> None:
            client = members.clients[members.others[0]]
            with anyio.move_on_after(0.01):
                await client.ask(make_ask("gone", entry=members.others[0]))
            members.pass_time(0.5)
            self.assertEqual(members.running(members.owner), 0)
            self.assertEqual(len(members.dispatchers[members.owner].cells[CELL].waiting), 0)

        self.run_with(steps)


class TestHalls(unittest.TestCase):
    def test_engines_of_a_hall_out_of_reach_get_no_grants(self) -> None:
        members = Members(("a",))
        dispatcher = members.dispatchers["a"]
        dispatcher.set_reachable_halls(frozenset({"hall-0"}))
        dispatcher.handle("a", make_ask("r0"), members.now)
        routed = dispatcher.tick(members.now + 1.0)
        for index in range(1, 12):
            routed += dispatcher.handle("a", make_ask(f"r{index}"), members.now + 1.0)
        granted = {item.decision.upstream for item in routed if isinstance(item.decision, Grant)}
        self.assertEqual(granted, {"up-0", "up-2"})

    def test_leaving_in_either_source_ends_new_work(self) -> None:
        for source in ("list", "health"):
            with self.subTest(source=source):
                dispatcher = Members(("a",)).dispatchers["a"]
                dispatcher.handle("a", make_ask("first"), 100.0)
                dispatcher.tick(101.0)
                if source == "health":
                    dispatcher.note_health("up-0", True)
                    dispatcher.set_upstreams(records(3))
                else:
                    listed = records(3)
                    fields = vars(listed[0]) | {"state": HostState.LEAVING}
                    dispatcher.set_upstreams([HostRecord(**fields), *listed[1:]])
                routed = [
                    item
                    for index in range(12)
                    for item in dispatcher.handle("a", make_ask(f"r{index}"), 101.0)
                ]
                used = {
                    item.decision.upstream for item in routed if isinstance(item.decision, Grant)
                }
                self.assertEqual(used, {"up-1", "up-2"})
