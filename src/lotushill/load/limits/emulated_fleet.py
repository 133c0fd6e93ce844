"""Emulates many gateways and one engine that states a limit, over a lossy, delaying network."""

from __future__ import annotations

import asyncio
import random
from bisect import bisect_left
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.availability.stated_limits import LimitReport
from lotushill.limits.team_limits import limit_as_upstream
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.load.limits.emulated_members import EmulatedMembers
from lotushill.load.limits.schemes import TEAM_SCHEME
from lotushill.load.limits.schemes import TeamPermits
from lotushill.load.limits.schemes import make_limit_owners
from lotushill.load.limits.schemes import make_limits
from lotushill.load.limits.schemes import make_scheme
from lotushill.load.limits.virtual_loop import run_in_virtual_time
from lotushill.routing.rate_limit import RateLimit
from lotushill.routing.upstream import Upstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.limits.fleet_limits import FleetLimits
    from lotushill.links.limit_messages import LimitNews
    from lotushill.links.limit_messages import PermitAsk
    from lotushill.load.limits.schemes import Scheme

ENGINE = Upstream("engine@1", "llm", "10.9.0.1:80", "h0", 8, False)
WINDOW_SECONDS = 4.0
CONVERGENCE_SECONDS = 3.0
"""Time after an engine first stated its limit from which all gateways have to keep to it."""
_HALLS = 4
_LOSS_FRACTION = 0.02
_DELAY_SECONDS = (0.001, 0.02)
_ANSWER_SECONDS = 0.003
_TICK_SECONDS = 0.05
_NOTICE_SECONDS = (0.4, 1.6)
"""Shortest and longest time until a gateway is notified that another one is lost or is back."""
_FAULT_START_SECONDS = 8.0
_FAULT_SECONDS = 5.0
_ROLLING_INTERVAL_SECONDS = 0.4


class Fault(Enum):
    """The fault that is injected into a play, from its eighth second on."""

    NONE = "none"
    KILL = "the counting gateway is killed, and back after five seconds"
    FREEZE = "the counting gateway stands still for five seconds"
    CUT = "half of the gateways are cut off from the others, and all reach the engine"
    DISAGREE = "half of the gateways hold the counting one for lost, which goes on"
    JOIN = "a fifth as many gateways join"
    ROLL = "gateways start anew one after the other"


@dataclass(frozen=True)
class Play:
    """The configuration of one play.

    `demand` is the rate of the requests as a multiple of the limit.
    """

    gateways: int
    rate: float
    scheme: str = "permits"
    fault: Fault = Fault.NONE
    seed: int = 1
    demand: float = 4.0
    seconds: float = 24.0
    changes: tuple[tuple[float, float], ...] = ()
    """Other limits that the engine states, each with the time from which it does."""


@dataclass(frozen=True)
class Outcome:
    """The results of one play."""

    max_in_window: int
    """Largest number of requests in any window after `CONVERGENCE_SECONDS`."""
    used_fraction: float
    """Fraction of the limit that was used after `CONVERGENCE_SECONDS`."""
    datagrams_per_second: float
    """Datagrams per second of the whole fleet."""
    admit_ms: float
    """Mean time of an admission decision, in milliseconds."""
    arrival_times: tuple[float, ...]
    """Times at which requests reached the engine, in ascending order."""


@dataclass
class _Gateway:
    members: EmulatedMembers
    limits: FleetLimits
    scheme: Scheme
    down: bool = False
    frozen: bool = False
    inbox: list[Callable[[], None]] = field(default_factory=list)


class EmulatedFleet:
    """Runs the gateways of one play, their network and the injected fault."""

    def __init__(self, play: Play) -> None:
        self._play = play
        self._rng = random.Random(play.seed)
        self._states = [self._state(number) for number in range(play.gateways)]
        self._gateways: dict[str, _Gateway] = {}
        self._partitioned: frozenset[str] = frozenset()
        self._datagrams = 0
        self._arrival_times: list[float] = []
        self._decision_seconds: list[float] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    def run(self) -> Outcome:
        """Run the play to its end in virtual time and return its results."""
        return run_in_virtual_time(self._run())

    async def _run(self) -> Outcome:
        self._loop = asyncio.get_running_loop()
        for state in self._states:
            self._start(state, self._states)
        fault = asyncio.create_task(self._inject_fault(self._play.fault))
        while self._loop.time() < self._play.seconds:
            await asyncio.sleep(self._rng.expovariate(self._play.demand * self._play.rate))
            # A play starts calmly: the first request is answered before the others are sent.
            gateway = self._rng.choice(list(self._gateways.values()))
            self._start_task(self._request(gateway))
        for task in (fault, *self._tasks):
            task.cancel()
        return self._outcome()

    def _outcome(self) -> Outcome:
        since = CONVERGENCE_SECONDS
        times = sorted(self._arrival_times)
        counts = [
            bisect_left(times, at + WINDOW_SECONDS) - number
            for number, at in enumerate(times)
            if at >= since
        ]
        arrived = sum(at >= since for at in times)
        span = self._play.seconds - since
        return Outcome(
            max_in_window=max(counts, default=0),
            used_fraction=arrived / (self._play.rate * span),
            datagrams_per_second=self._datagrams / self._play.seconds,
            admit_ms=1000 * sum(self._decision_seconds) / max(1, len(self._decision_seconds)),
            arrival_times=tuple(times),
        )

    def _state(self, number: int) -> MemberState:
        hall = f"h{number % _HALLS}"
        return MemberState(f"gw-{number}", f"gw-{number}", hall, "r", 1, MemberPhase.ALIVE)

    def _start(self, state: MemberState, known: list[MemberState]) -> None:
        members = EmulatedMembers(state, [item for item in known if item.name != state.name])
        rng = random.Random(self._rng.random())
        name = state.name
        limits = make_limits(
            members,
            ENGINE,
            lambda ask, address: self._send_ask(name, ask, address),
            lambda update: self._broadcast(name, update),
            rng,
            self._loop.time,
        )
        scheme: Scheme
        if self._play.scheme == TEAM_SCHEME:
            scheme = TeamPermits(limits, members, self._team_limit(), rng, self._loop.time)
        else:
            scheme = make_scheme(self._play.scheme, limits, members, ENGINE, self._loop.time)
        if name not in self._gateways:
            self._loop.call_later(self._rng.uniform(0.0, _TICK_SECONDS), self._tick, name)
        self._gateways[name] = _Gateway(members, limits, scheme)

    async def _request(self, gateway: _Gateway) -> None:
        if gateway.down or gateway.frozen:
            return
        asked_at = self._loop.time()
        admitted = await gateway.scheme.admit(self._rng.randrange(3))
        self._decision_seconds.append(self._loop.time() - asked_at)
        if not admitted or gateway.down or gateway.frozen:
            return
        sent_at = self._loop.time()
        await asyncio.sleep(_ANSWER_SECONDS / 2)
        self._arrival_times.append(self._loop.time())
        rate = self._rate()
        await asyncio.sleep(_ANSWER_SECONDS / 2)
        gateway.limits.gossip.note_answer(ENGINE.id, LimitReport(rate, sent_at, self._loop.time()))

    def _team_limit(self) -> RateLimit:
        return RateLimit("team", self._play.rate)

    def _rate(self) -> float:
        """Return the limit that the engine currently states, in requests per second."""
        stated_rates = [rate for at, rate in self._play.changes if at <= self._loop.time()]
        return stated_rates[-1] if stated_rates else self._play.rate

    def _tick(self, name: str) -> None:
        """Send the due datagrams of one gateway and schedule the next tick."""
        gateway = self._gateways[name]
        if not gateway.down and not gateway.frozen:
            gateway.limits.gossip.send_due()
        self._loop.call_later(_TICK_SECONDS, self._tick, name)

    def _send_ask(self, sender: str, ask: PermitAsk, address: str) -> None:
        def arrive() -> None:
            answer = self._gateways[address].scheme.answer(ask)
            permit_client = self._gateways[sender].limits.client
            self._deliver(address, sender, lambda: permit_client.receive(answer))

        self._deliver(sender, address, arrive)

    def _broadcast(self, sender: str, update: LimitNews) -> None:
        for name in list(self._gateways):
            if name != sender:
                receive = self._gateways[name].limits.gossip.receive
                self._deliver(sender, name, lambda receive=receive: receive(update))  # type: ignore[misc]

    def _deliver(self, sender: str, receiver: str, call: Callable[[], None]) -> None:
        self._datagrams += 1
        if (sender in self._partitioned) != (
            receiver in self._partitioned
        ) or self._rng.random() < _LOSS_FRACTION:
            return
        self._loop.call_later(self._rng.uniform(*_DELAY_SECONDS), self._arrive, receiver, call)

    def _arrive(self, receiver: str, call: Callable[[], None]) -> None:
        gateway = self._gateways[receiver]
        if gateway.frozen:
            gateway.inbox.append(call)
        elif not gateway.down:
            call()

    async def _inject_fault(self, fault: Fault) -> None:
        await asyncio.sleep(_FAULT_START_SECONDS)
        limited_upstream = (
            limit_as_upstream(self._team_limit()) if self._play.scheme == TEAM_SCHEME else ENGINE
        )
        owner = make_limit_owners(self._gateways["gw-0"].members).owner_of(limited_upstream)
        match fault:
            case Fault.NONE:
                return
            case Fault.KILL:
                await self._restart(owner, _FAULT_SECONDS)
            case Fault.FREEZE:
                await self._freeze(owner)
            case Fault.CUT:
                await self._partition(owner)
            case Fault.DISAGREE:
                self._notify_members(self._half(), owner, lost=True)
            case Fault.JOIN:
                self._join(max(1, self._play.gateways // 5))
            case Fault.ROLL:
                for state in self._states:
                    self._start_task(self._restart(state, 1.0))
                    await asyncio.sleep(_ROLLING_INTERVAL_SECONDS)

    async def _restart(self, state: MemberState, seconds: float) -> None:
        self._gateways[state.name].down = True
        self._notify_members(list(self._gateways), state, lost=True)
        await asyncio.sleep(seconds)
        self._start(state, [])
        for other in self._states:
            self._notify_members([state.name], other, lost=False)
        self._notify_members(list(self._gateways), state, lost=False)

    async def _freeze(self, state: MemberState) -> None:
        gateway = self._gateways[state.name]
        gateway.frozen = True
        self._notify_members(list(self._gateways), state, lost=True)
        await asyncio.sleep(_FAULT_SECONDS)
        gateway.frozen = False
        for call in gateway.inbox:
            call()
        self._notify_members(list(self._gateways), state, lost=False)

    async def _partition(self, owner: MemberState) -> None:
        half = self._half()
        self._partitioned = frozenset(half)
        other_half = [name for name in self._gateways if name not in self._partitioned]
        for lost in (True, False):
            for state in self._states:
                self._notify_members(other_half if state.name in half else half, state, lost)
            await asyncio.sleep(_FAULT_SECONDS)
            self._partitioned = frozenset()

    def _join(self, count: int) -> None:
        for number in range(count):
            state = self._state(self._play.gateways + number)
            self._states.append(state)
            self._start(state, [])
            for other in self._states[:-1]:
                self._notify_members([state.name], other, lost=False)
            self._notify_members(
                [name for name in self._gateways if name != state.name], state, False
            )

    def _half(self) -> list[str]:
        return [name for number, name in enumerate(self._gateways) if number % 2]

    def _notify_members(self, names: list[str], state: MemberState, lost: bool) -> None:
        """Notify some gateways that a member is lost or alive, each after a random delay."""
        for name in names:
            if name == state.name:
                continue
            delay = self._rng.uniform(*_NOTICE_SECONDS)
            self._loop.call_later(delay, self._update_member, name, state, lost)

    def _update_member(self, name: str, state: MemberState, lost: bool) -> None:
        members = self._gateways[name].members
        if lost:
            members.mark_lost(state.name)
        else:
            members.mark_alive(state)

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def max_requests_per_window(rate: float) -> float:
    """Return the maximum number of requests per window guaranteed to an engine under any fault."""
    return 1.5 * rate * WINDOW_SECONDS + 5.0 if rate < NO_LIMIT else NO_LIMIT
