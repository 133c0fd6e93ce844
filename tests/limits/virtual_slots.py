"""Gateways that share the slots of brittle engines, in virtual time over a lossy network."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from lotushill.event_log import EventLog
from lotushill.limits.fleet_slots import FleetSlots
from lotushill.limits.limit_owners import LimitOwners
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.slot_messages import SlotEnd
from lotushill.load.limits.emulated_members import EmulatedMembers
from lotushill.load.limits.virtual_loop import run_in_virtual_time
from lotushill.membership.schedulers import Schedulers
from lotushill.placement.brittle_services import BrittleServices
from lotushill.routing.upstream import Upstream
from lotushill.views.upstream_view import UpstreamView

if TYPE_CHECKING:
    from collections.abc import Callable

_HALLS = 4
_DELAY_SECONDS = (0.001, 0.01)
_ENGINE_DELAY_SECONDS = (0.001, 0.006)
_TICK_SECONDS = 0.05
_NOTICE_SECONDS = (0.4, 1.6)
"""Shortest and longest time until a gateway is notified that another one is lost or is back."""
_VIEW_DELAY_SECONDS = 0.1
_DOWN_SECONDS = 2.0
_STATED_AT_SECONDS = 1.0
_BRITTLE_AT_SECONDS = 4.0
_MEASURED_FROM_SECONDS = 5.0
_FAULT_AT_SECONDS = 7.0
_FAULT_SECONDS = 4.0
_PATIENCE_SECONDS = 0.6
"""Time for which a request looks for a slot before it is refused."""
_DEADLINE_SECONDS = 6.0


class Fault(Enum):
    """What happens from the seventh second on."""

    NONE = "nothing"
    ENGINES_END = "half of the engines end together and are back after two seconds"
    ENGINES_FLAP = "a quarter of the engines end, and another one, again and again"
    ENGINES_ADDED = "a quarter as many engines are added"
    KILL_OWNERS = "all owners of slots are killed, and back after four seconds"
    KILL_HALF = "half of the gateways are killed, and back after four seconds"
    FREEZE_OWNERS = "all owners of slots stand still for four seconds"
    CUT_HALL = "the gateways of a hall are cut off from the others, all reach all engines"
    CUT_HALF = "half of the gateways of each hall are cut off from the others"
    CUT_SINGLE = "a tenth of the gateways are each cut off from all others"
    ROLL = "gateways are restarted one after the other"
    BURST = "clients send eight times as much for a second, twice"


@dataclass(frozen=True)
class Play:
    """Sizes, load and fault of one play."""

    gateways: int
    fault: Fault = Fault.NONE
    seed: int = 1
    engines: int = 8
    slots: int = 8
    work_seconds: float = 0.8
    max_rejections: int = 6
    waiting: int = 1
    """Requests that engines let wait once they are brittle."""
    overload: float = 2.0
    loss: float = 0.02
    seconds: float = 14.0
    measured_from: float = _MEASURED_FROM_SECONDS
    few: int = 0
    """Number of gateways that get all requests, 0 for all gateways."""

    @property
    def max_falls(self) -> float:
        """Number of falls that are allowed while engines say that they are brittle."""
        return 2 + 0.1 * self.engines


@dataclass
class Outcome:
    """What was measured from `Play.measured_from` on; falls count from the fifth second on."""

    falls: int = 0
    max_rejected: int = 0
    """Most rejections of one engine in a second."""
    rejected: int = 0
    work_fraction: float = 0.0
    cut: int = 0
    """Requests whose engine fell while it worked on them."""
    datagrams_per_request: float = 0.0


@dataclass
class _Engine:
    upstream: Upstream
    present: int = 0
    working: int = 0
    queue: deque[asyncio.Event] = field(default_factory=deque)
    rejected_at: deque[float] = field(default_factory=deque)
    is_up: bool = True
    down: asyncio.Event = field(default_factory=asyncio.Event)
    up_since: float = 0.0


@dataclass
class _Gateway:
    state: MemberState
    members: EmulatedMembers
    slots: FleetSlots
    down: bool = False
    frozen: bool = False
    inbox: list[Callable[[], None]] = field(default_factory=list)
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class VirtualSlots:
    """Runs one play."""

    def __init__(self, play: Play) -> None:
        self._play = play
        self._rng = random.Random(play.seed)
        self._view = UpstreamView()
        self._revision = 0
        self._engines: dict[int, _Engine] = {}
        self._starts = 0
        self._states = [self._state(number) for number in range(play.gateways)]
        self._gateways: dict[str, _Gateway] = {}
        self._sides: dict[str, int] = {}
        """Side of each gateway that is cut off; gateways of different sides do not hear another."""
        self._tasks: set[asyncio.Task[Any]] = set()
        self._rate_factor = 1.0
        self._outcome = Outcome()
        self._work_seconds = 0.0
        self._up_seconds = 0.0
        self._datagrams = 0
        self._requests = 0

    def run(self) -> Outcome:
        """Run the play to its end and return what was measured."""
        return run_in_virtual_time(self._run())

    async def _run(self) -> Outcome:
        play = self._play
        self._loop = asyncio.get_running_loop()
        for number in range(play.engines):
            self._start_engine(number)
        for state in self._states:
            self._start_gateway(state, self._states)
        self._start_task(self._inject_fault())
        self._start_task(self._measure())
        rate = play.overload * play.engines * play.slots / play.work_seconds
        while self._loop.time() < play.seconds:
            await asyncio.sleep(self._rng.expovariate(rate * self._rate_factor))
            names = list(self._gateways)
            if play.few:
                names = names[: play.few]
            self._start_task(self._request(self._gateways[self._rng.choice(names)]))
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        outcome = self._outcome
        outcome.work_fraction = self._work_seconds / max(0.001, self._up_seconds)
        outcome.datagrams_per_request = self._datagrams / max(1, self._requests)
        return outcome

    async def _measure(self) -> None:
        await asyncio.sleep(self._play.measured_from)
        while True:
            await asyncio.sleep(0.01)
            for engine in self._engines.values():
                if engine.is_up:
                    self._up_seconds += 0.01 * self._play.slots
                    self._work_seconds += 0.01 * engine.working

    # Engines

    def _start_engine(self, number: int) -> None:
        self._starts += 1
        upstream = Upstream(
            f"e{number}-{self._starts}", "llm", f"10.9.0.{number}:{self._starts}",
            f"h{number % _HALLS}", self._play.slots, False, instance=f"e{number}",
        )  # fmt: skip
        self._engines[number] = _Engine(upstream, up_since=self._loop.time())
        self._publish_view()

    def _publish_view(self) -> None:
        self._revision += 1
        engines = [item.upstream for item in self._engines.values() if item.is_up]
        self._view.replace(engines, self._revision)

    def _end_engine(self, engine: _Engine, number: int) -> None:
        engine.is_up = False
        engine.down.set()
        self._loop.call_later(_VIEW_DELAY_SECONDS, self._publish_view)
        self._loop.call_later(_DOWN_SECONDS, self._start_engine, number)

    async def _work(self, number: int, engine: _Engine, gateway: _Gateway) -> SlotEnd:
        """Let an engine work on a request; raise ConnectionResetError if it is down or falls."""
        now, play = self._loop.time(), self._play
        if not engine.is_up:
            raise ConnectionResetError
        waiting = play.waiting if now >= _BRITTLE_AT_SECONDS else 6
        if engine.present >= play.slots + waiting:
            self._reject(number, engine, now)
            return SlotEnd.REJECTED
        engine.present += 1
        try:
            if engine.working >= play.slots:
                turn = asyncio.Event()
                engine.queue.append(turn)
                await self._unless_ended(turn.wait(), engine, gateway)
            engine.working += 1
            try:
                seconds = play.work_seconds * self._rng.uniform(0.7, 1.3)
                await self._unless_ended(asyncio.sleep(seconds), engine, gateway)
            finally:
                engine.working -= 1
                if engine.queue:
                    engine.queue.popleft().set()
        finally:
            engine.present -= 1
        return SlotEnd.SERVED

    async def _unless_ended(self, work: Any, engine: _Engine, gateway: _Gateway) -> None:
        task = asyncio.ensure_future(work)
        ends = [asyncio.ensure_future(item.wait()) for item in (engine.down, gateway.ended)]
        try:
            await asyncio.wait((task, *ends), return_when=asyncio.FIRST_COMPLETED)
        finally:
            for item in (task, *ends):
                item.cancel()
        if engine.down.is_set() or gateway.ended.is_set():
            raise ConnectionResetError

    def _reject(self, number: int, engine: _Engine, now: float) -> None:
        if now < _BRITTLE_AT_SECONDS:
            return
        engine.rejected_at.append(now)
        while engine.rejected_at[0] < now - 1.0:
            engine.rejected_at.popleft()
        count = len(engine.rejected_at)
        if now >= _MEASURED_FROM_SECONDS:
            self._outcome.rejected += 1
            self._outcome.max_rejected = max(self._outcome.max_rejected, count)
        if count > self._play.max_rejections:
            self._outcome.falls += 1
            self._end_engine(engine, number)

    # Requests

    async def _request(self, gateway: _Gateway) -> None:
        if gateway.down or gateway.frozen:
            return
        self._requests += 1
        began = self._loop.time()
        while self._loop.time() < began + _PATIENCE_SECONDS and not gateway.down:
            up = [(n, item) for n, item in self._engines.items() if item.is_up]
            up = [
                pair for pair in up
                if not gateway.slots.is_denied(pair[1].upstream.id, self._loop.time())
            ]  # fmt: skip
            if not up:
                await asyncio.sleep(0.03)
                continue
            number, engine = self._rng.choice(up)
            ends = began + _DEADLINE_SECONDS
            permit = await gateway.slots.begin(engine.upstream, 0, ends)
            if permit is None:
                continue
            if gateway.down:
                return
            how = await self._attempt(gateway, number, engine, permit)
            if how is SlotEnd.SERVED or how is SlotEnd.CUT:
                return

    async def _attempt(
        self, gateway: _Gateway, number: int, engine: _Engine, permit: int
    ) -> SlotEnd:
        sent_at = self._loop.time()
        how = SlotEnd.CUT
        try:
            await asyncio.sleep(self._rng.uniform(*_ENGINE_DELAY_SECONDS))
            how = await self._work(number, engine, gateway)
            await asyncio.sleep(self._rng.uniform(*_ENGINE_DELAY_SECONDS))
        except ConnectionResetError:
            self._outcome.cut += 1
        if gateway.down:
            return how
        while gateway.frozen:
            await asyncio.sleep(_TICK_SECONDS)
        gateway.slots.end(permit, how)
        if how is not SlotEnd.CUT:
            is_stated = sent_at >= _STATED_AT_SECONDS
            stated = float(self._play.max_rejections) if is_stated else None
            gateway.slots.note_answer(engine.upstream.id, stated, sent_at)
        return how

    # Gateways and their network

    def _state(self, number: int) -> MemberState:
        name = f"gw-{number}"
        return MemberState(name, name, f"h{number % _HALLS}", "r", 1, MemberPhase.ALIVE)

    def _start_gateway(self, state: MemberState, known: list[MemberState]) -> None:
        members: Any = EmulatedMembers(state, [item for item in known if item.name != state.name])
        name, registered = state.name, self._play.gateways
        owners = LimitOwners(members, Schedulers(members), lambda: registered)
        slots = FleetSlots(
            self._view,
            owners,
            BrittleServices(),
            lambda _: 0,
            lambda message, address: self._send(name, address, message),
            lambda update: self._broadcast(name, update),
            EventLog(name, lambda _: None),
            random.Random(self._rng.random()),
            self._loop.time,
        )
        if name not in self._gateways:
            self._loop.call_later(self._rng.uniform(0.0, _TICK_SECONDS), self._tick, name)
        self._gateways[name] = _Gateway(state, members, slots)

    def _tick(self, name: str) -> None:
        gateway = self._gateways[name]
        if not gateway.down and not gateway.frozen:
            gateway.slots.process_due()
        self._loop.call_later(_TICK_SECONDS, self._tick, name)

    def _send(self, sender: str, receiver: str, message: Any) -> None:
        self._deliver(
            sender, receiver, lambda: self._gateways[receiver].slots.receive(message, sender)
        )

    def _broadcast(self, sender: str, update: Any) -> None:
        for name in self._gateways:
            if name != sender:
                receive = self._gateways[name].slots.gossip.receive
                self._deliver(sender, name, lambda receive=receive: receive(update))  # type: ignore[misc]

    def _deliver(self, sender: str, receiver: str, call: Callable[[], None]) -> None:
        self._datagrams += 1
        if self._sides.get(sender) != self._sides.get(receiver):
            return
        if self._rng.random() >= self._play.loss:
            self._loop.call_later(self._rng.uniform(*_DELAY_SECONDS), self._arrive, receiver, call)

    def _arrive(self, receiver: str, call: Callable[[], None]) -> None:
        gateway = self._gateways[receiver]
        if gateway.frozen:
            gateway.inbox.append(call)
        elif not gateway.down:
            call()

    def _notify(self, names: list[str], state: MemberState, lost: bool) -> None:
        for name in names:
            if name != state.name:
                delay = self._rng.uniform(*_NOTICE_SECONDS)
                self._loop.call_later(delay, self._update_member, name, state, lost)

    def _update_member(self, name: str, state: MemberState, lost: bool) -> None:
        gateway, other = self._gateways[name], self._gateways[state.name]
        is_cut_off = self._sides.get(name) != self._sides.get(state.name)
        if lost != (other.down or other.frozen or is_cut_off):
            # The notice was overtaken by the next one.
            return
        if lost:
            gateway.members.mark_lost(state.name)
            gateway.slots.drop_gateway(state.name)
        else:
            gateway.members.mark_alive(state)

    # Faults

    async def _inject_fault(self) -> None:
        await asyncio.sleep(_FAULT_AT_SECONDS)
        everyone = [state.name for state in self._states]
        match self._play.fault:
            case Fault.ENGINES_END:
                self._end_engines(self._play.engines // 2)
            case Fault.ENGINES_FLAP:
                for _ in range(8):
                    self._end_engines(max(1, self._play.engines // 4))
                    await asyncio.sleep(0.7)
            case Fault.ENGINES_ADDED:
                for number in range(max(1, self._play.engines // 4)):
                    self._start_engine(self._play.engines + number)
            case Fault.KILL_OWNERS:
                self._kill(self._owners())
            case Fault.KILL_HALF:
                self._kill(everyone[::2])
            case Fault.FREEZE_OWNERS:
                for name in self._owners():
                    self._start_task(self._freeze(name))
            case Fault.CUT_HALL:
                await self._cut(dict.fromkeys(everyone[::_HALLS], 1))
            case Fault.CUT_HALF:
                await self._cut({name: 1 for name in everyone if int(name[3:]) // _HALLS % 2})
            case Fault.CUT_SINGLE:
                count = max(1, self._play.gateways // 10)
                await self._cut({name: n for n, name in enumerate(everyone[:count])})
            case Fault.ROLL:
                for name in everyone[: int(_FAULT_SECONDS / 0.2)]:
                    self._kill([name], 0.6)
                    await asyncio.sleep(0.2)
            case Fault.BURST:
                for _ in range(2):
                    self._rate_factor = 4.0
                    await asyncio.sleep(1.0)
                    self._rate_factor = 1.0
                    await asyncio.sleep(1.0)
            case Fault.NONE:
                pass

    def _end_engines(self, count: int) -> None:
        up = [(number, engine) for number, engine in self._engines.items() if engine.is_up]
        for number, engine in self._rng.sample(up, min(count, len(up))):
            self._end_engine(engine, number)

    def _owners(self) -> list[str]:
        members: Any = self._gateways["gw-0"].members
        owners = LimitOwners(members, Schedulers(members), lambda: 0)
        return sorted({owners.owner_of(item.upstream).name for item in self._engines.values()})

    def _kill(self, names: list[str], seconds: float = _FAULT_SECONDS) -> None:
        for name in names:
            self._start_task(self._restart(self._gateways[name], seconds))

    async def _restart(self, gateway: _Gateway, seconds: float) -> None:
        gateway.down = True
        gateway.ended.set()
        self._notify(list(self._gateways), gateway.state, lost=True)
        await asyncio.sleep(seconds)
        self._start_gateway(gateway.state, [])
        for other in self._states:
            if not self._gateways[other.name].down:
                self._notify([gateway.state.name], other, lost=False)
        self._notify(list(self._gateways), gateway.state, lost=False)

    async def _freeze(self, name: str) -> None:
        gateway = self._gateways[name]
        gateway.frozen = True
        self._notify(list(self._gateways), gateway.state, lost=True)
        await asyncio.sleep(_FAULT_SECONDS)
        gateway.frozen = False
        for call in gateway.inbox:
            call()
        gateway.inbox.clear()
        self._notify(list(self._gateways), gateway.state, lost=False)

    async def _cut(self, sides: dict[str, int]) -> None:
        for lost in (True, False):
            self._sides = sides if lost else {}
            for state in self._states:
                others = [
                    name for name in self._gateways if sides.get(name) != sides.get(state.name)
                ]
                self._notify(others, state, lost)
            await asyncio.sleep(_FAULT_SECONDS)

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
