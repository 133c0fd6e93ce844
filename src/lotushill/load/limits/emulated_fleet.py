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
from lotushill.load.limits.virtual_loop import run_virtually
from lotushill.load.limits.ways import TEAM
from lotushill.load.limits.ways import TeamPermits
from lotushill.load.limits.ways import counting_gateways
from lotushill.load.limits.ways import limits_of
from lotushill.load.limits.ways import make_way
from lotushill.routing.rate_limit import RateLimit
from lotushill.routing.upstream import Upstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.limits.fleet_limits import FleetLimits
    from lotushill.links.limit_messages import LimitNews
    from lotushill.links.limit_messages import PermitAsk
    from lotushill.load.limits.ways import Way

ENGINE = Upstream("engine@1", "llm", "10.9.0.1:80", "h0", 8, False)
WINDOW = 4.0
CONTACT_SECONDS = 3.0
"""Time after an engine first stated its limit from which all gateways have to keep to it."""
_HALLS = 4
_LOSS = 0.02
_DELAYS = (0.001, 0.02)
_ANSWER_SECONDS = 0.003
_TICK = 0.05
_NOTICE_SECONDS = (0.4, 1.6)
"""Shortest and longest time until a gateway is notified that another one is lost or is back."""
_FAULT_AT = 8.0
_FAULT_SECONDS = 5.0
_ROLLING_PAUSE = 0.4


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
    way: str = "permits"
    fault: Fault = Fault.NONE
    seed: int = 1
    demand: float = 4.0
    seconds: float = 24.0
    changes: tuple[tuple[float, float], ...] = ()
    """Other limits that the engine states, each with the time from which it does."""


@dataclass(frozen=True)
class Outcome:
    """The results of one play."""

    most: int
    """Largest number of requests in any window after the time to reach all gateways."""
    used: float
    """Fraction of the limit that was used in the same period."""
    datagrams: float
    """Datagrams per second of the whole fleet."""
    admit_ms: float
    """Mean time of an admission decision, in milliseconds."""
    sent: tuple[float, ...]
    """Times at which requests reached the engine, in ascending order."""


@dataclass
class _Gateway:
    members: EmulatedMembers
    limits: FleetLimits
    way: Way
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
        self._cut: frozenset[str] = frozenset()
        self._datagrams = 0
        self._sent: list[float] = []
        self._seconds: list[float] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    def run(self) -> Outcome:
        """Run the play to its end in virtual time and return its results."""
        return run_virtually(self._run())

    async def _run(self) -> Outcome:
        self._loop = asyncio.get_running_loop()
        for state in self._states:
            self._start(state, self._states)
        fault = asyncio.create_task(self._do(self._play.fault))
        while self._loop.time() < self._play.seconds:
            await asyncio.sleep(self._rng.expovariate(self._play.demand * self._play.rate))
            # A play starts calmly: the first request is answered before the others are sent.
            gateway = self._rng.choice(list(self._gateways.values()))
            self._later(self._request(gateway))
        for task in (fault, *self._tasks):
            task.cancel()
        return self._outcome()

    def _outcome(self) -> Outcome:
        begins = CONTACT_SECONDS
        sent = sorted(self._sent)
        counts = [
            bisect_left(sent, at + WINDOW) - number
            for number, at in enumerate(sent)
            if at >= begins
        ]
        late = sum(at >= begins for at in sent)
        span = self._play.seconds - begins
        return Outcome(
            most=max(counts, default=0),
            used=late / (self._play.rate * span),
            datagrams=self._datagrams / self._play.seconds,
            admit_ms=1000 * sum(self._seconds) / max(1, len(self._seconds)),
            sent=tuple(sent),
        )

    def _state(self, number: int) -> MemberState:
        hall = f"h{number % _HALLS}"
        return MemberState(f"gw-{number}", f"gw-{number}", hall, "r", 1, MemberPhase.ALIVE)

    def _start(self, state: MemberState, known: list[MemberState]) -> None:
        members = EmulatedMembers(state, [item for item in known if item.name != state.name])
        rng = random.Random(self._rng.random())
        name = state.name
        limits = limits_of(
            members,
            ENGINE,
            lambda ask, address: self._ask(name, ask, address),
            lambda news: self._tell(name, news),
            rng,
            self._loop.time,
        )
        way: Way
        if self._play.way == TEAM:
            way = TeamPermits(limits, members, self._team_limit(), rng, self._loop.time)
        else:
            way = make_way(self._play.way, limits, members, ENGINE, self._loop.time)
        if name not in self._gateways:
            self._loop.call_later(self._rng.uniform(0.0, _TICK), self._tick, name)
        self._gateways[name] = _Gateway(members, limits, way)

    async def _request(self, gateway: _Gateway) -> None:
        if gateway.down or gateway.frozen:
            return
        asked = self._loop.time()
        admitted = await gateway.way.admit(self._rng.randrange(3))
        self._seconds.append(self._loop.time() - asked)
        if not admitted or gateway.down or gateway.frozen:
            return
        sent = self._loop.time()
        await asyncio.sleep(_ANSWER_SECONDS / 2)
        self._sent.append(self._loop.time())
        rate = self._rate()
        await asyncio.sleep(_ANSWER_SECONDS / 2)
        gateway.limits.gossip.note_answer(ENGINE.id, LimitReport(rate, sent, self._loop.time()))

    def _team_limit(self) -> RateLimit:
        return RateLimit("team", self._play.rate)

    def _rate(self) -> float:
        """Return the limit that the engine currently states, in requests per second."""
        named = [rate for at, rate in self._play.changes if at <= self._loop.time()]
        return named[-1] if named else self._play.rate

    def _tick(self, name: str) -> None:
        """Send the due datagrams of one gateway and schedule the next tick."""
        gateway = self._gateways[name]
        if not gateway.down and not gateway.frozen:
            gateway.limits.gossip.send_due()
        self._loop.call_later(_TICK, self._tick, name)

    def _ask(self, sender: str, ask: PermitAsk, address: str) -> None:
        def arrive() -> None:
            answer = self._gateways[address].way.answer(ask)
            back = self._gateways[sender].limits.client
            self._deliver(address, sender, lambda: back.receive(answer))

        self._deliver(sender, address, arrive)

    def _tell(self, sender: str, news: LimitNews) -> None:
        for name in list(self._gateways):
            if name != sender:
                receive = self._gateways[name].limits.gossip.receive
                self._deliver(sender, name, lambda receive=receive: receive(news))  # type: ignore[misc]

    def _deliver(self, sender: str, to: str, call: Callable[[], None]) -> None:
        self._datagrams += 1
        if (sender in self._cut) != (to in self._cut) or self._rng.random() < _LOSS:
            return
        self._loop.call_later(self._rng.uniform(*_DELAYS), self._arrive, to, call)

    def _arrive(self, to: str, call: Callable[[], None]) -> None:
        gateway = self._gateways[to]
        if gateway.frozen:
            gateway.inbox.append(call)
        elif not gateway.down:
            call()

    async def _do(self, fault: Fault) -> None:
        await asyncio.sleep(_FAULT_AT)
        counted = limit_as_upstream(self._team_limit()) if self._play.way == TEAM else ENGINE
        counting = counting_gateways(self._gateways["gw-0"].members).owner_of(counted)
        match fault:
            case Fault.NONE:
                return
            case Fault.KILL:
                await self._restart(counting, _FAULT_SECONDS)
            case Fault.FREEZE:
                await self._freeze(counting)
            case Fault.CUT:
                await self._cut_off(counting)
            case Fault.DISAGREE:
                self._notice(self._half(), counting, lost=True)
            case Fault.JOIN:
                self._join(max(1, self._play.gateways // 5))
            case Fault.ROLL:
                for state in self._states:
                    self._later(self._restart(state, 1.0))
                    await asyncio.sleep(_ROLLING_PAUSE)

    async def _restart(self, state: MemberState, seconds: float) -> None:
        self._gateways[state.name].down = True
        self._notice(list(self._gateways), state, lost=True)
        await asyncio.sleep(seconds)
        self._start(state, [])
        for other in self._states:
            self._notice([state.name], other, lost=False)
        self._notice(list(self._gateways), state, lost=False)

    async def _freeze(self, state: MemberState) -> None:
        gateway = self._gateways[state.name]
        gateway.frozen = True
        self._notice(list(self._gateways), state, lost=True)
        await asyncio.sleep(_FAULT_SECONDS)
        gateway.frozen = False
        for call in gateway.inbox:
            call()
        self._notice(list(self._gateways), state, lost=False)

    async def _cut_off(self, counting: MemberState) -> None:
        half = self._half()
        self._cut = frozenset(half)
        rest = [name for name in self._gateways if name not in self._cut]
        for lost in (True, False):
            for state in self._states:
                self._notice(rest if state.name in half else half, state, lost)
            await asyncio.sleep(_FAULT_SECONDS)
            self._cut = frozenset()

    def _join(self, count: int) -> None:
        for number in range(count):
            state = self._state(self._play.gateways + number)
            self._states.append(state)
            self._start(state, [])
            for other in self._states[:-1]:
                self._notice([state.name], other, lost=False)
            self._notice([name for name in self._gateways if name != state.name], state, False)

    def _half(self) -> list[str]:
        return [name for number, name in enumerate(self._gateways) if number % 2]

    def _notice(self, names: list[str], state: MemberState, lost: bool) -> None:
        """Notify some gateways that a member is lost or alive, each after a random delay."""
        for name in names:
            if name == state.name:
                continue
            after = self._rng.uniform(*_NOTICE_SECONDS)
            self._loop.call_later(after, self._heard, name, state, lost)

    def _heard(self, name: str, state: MemberState, lost: bool) -> None:
        members = self._gateways[name].members
        if lost:
            members.lose(state.name)
        else:
            members.hear(state)

    def _later(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def allowed(rate: float) -> float:
    """Return the maximum number of requests per window guaranteed to an engine under any fault."""
    return 1.5 * rate * WINDOW + 5.0 if rate < NO_LIMIT else NO_LIMIT
