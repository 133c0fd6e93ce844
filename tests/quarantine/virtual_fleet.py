"""Simulates the quarantine of many gateways in virtual time; deadly requests crash upstreams."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from lotushill.event_log import EventLog
from lotushill.peering.group_gossip import GroupGossip
from lotushill.peering.quarantine_gossip import QuarantineGossip
from lotushill.placement.choice import Choice
from lotushill.quarantine.group import Group
from lotushill.quarantine.group import groups_of
from lotushill.quarantine.hold_store import HoldStore
from lotushill.quarantine.hold_view import HoldView
from lotushill.quarantine.isolation import Isolation
from lotushill.quarantine.quarantine import Quarantine
from lotushill.quarantine.shared_part import SharedPart
from lotushill.requests.isolation_policy import IsolationPolicy
from lotushill.routing.service import Service
from lotushill.routing.upstream import Upstream
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreUnavailableError
from lotushill.views.upstream_view import UpstreamView

if TYPE_CHECKING:
    from lotushill.links.quarantine_messages import ClearedNews
    from lotushill.links.quarantine_messages import GroupNews
    from lotushill.links.quarantine_messages import SuspectNews
    from lotushill.routing.demand import PromptPart
    from lotushill.scheduling.request import Request

TICK = 0.02
DEADLY = b"deadly----------"
COMMON = b"common----------"
VARYING = b"varying"
"""Identity prefix of requests of one caller that each crash an upstream with different bytes."""
_RESTART_SECONDS = 2.0
_FIRST_EVENT_SECONDS = 0.25
"""Running time in seconds after which an interrupted request has begun to respond."""
SERVICE = Service("s", 50, None)
SAME_TEAM = b"mate"
"""Identity prefix of harmless requests of the same team on another path."""
WITH_DEADLY_PART = b"with deadly part"
"""Identity prefix of requests with a prompt part that crashes upstreams, no two alike."""
SOUND = b"sound prompt"
"""Identity prefix of requests that share the caller and all other parts with those."""
_KINDS = (VARYING, SAME_TEAM, WITH_DEADLY_PART, SOUND)
_RECONCILE_TICKS = 25
"""Number of ticks between two reconciliations with the store."""


@dataclass(frozen=True)
class Demand:
    """The part of a request's demand that the quarantine reads."""

    request_id: str


@dataclass
class Arrival:
    """One request that arrives at one gateway."""

    identity: bytes
    gateway: int
    ends: float
    team: str = "team"
    target: bytes = b"/p"
    demand: Demand = field(default_factory=lambda: Demand("r"))
    parts: tuple[PromptPart, ...] = ()
    begun: bool = False
    """Whether the first event of the current attempt has arrived."""
    sent: int = 0
    sent_at: float = 0.0

    @property
    def service(self) -> Service:
        """Return the only service of the fleet."""
        return SERVICE

    @property
    def groups(self) -> tuple[Group, ...]:
        """Return the groups of the request, all on one route."""
        return groups_of(SERVICE.name, self.team, "route", self.target)

    @property
    def shared_parts(self) -> tuple[SharedPart, ...]:
        """Return the parts of the prompt that other requests may share."""
        return tuple(SharedPart("m", part.id) for part in self.parts[:-1])

    @property
    def kind(self) -> bytes:
        """Return the kind under which the outcome is counted."""
        if self.identity in (DEADLY, COMMON):
            return self.identity
        return next((kind for kind in _KINDS if self.identity.startswith(kind)), b"other")

    @property
    def is_deadly(self) -> bool:
        """Return whether the request crashes the upstream that begins it."""
        return self.kind in (DEADLY, VARYING, WITH_DEADLY_PART)

    def as_request(self) -> Request:
        """Return this arrival with the type that the quarantine expects."""
        return cast("Request", self)


class VirtualStore:
    """The platform's store of the fleet: holds by identity, and whether it answers."""

    def __init__(self) -> None:
        self.specs: dict[str, Any] = {}
        self.is_away = False

    async def create(self, kind: str, name: str, spec: Any) -> object:
        """Create an object."""
        del kind
        if self.is_away:
            raise StoreUnavailableError("the store is away")
        if name in self.specs:
            raise RevisionConflictError("it exists")
        self.specs[name] = spec
        return None

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        del kind
        if self.is_away:
            raise StoreUnavailableError("the store is away")
        self.specs.pop(name, None)


class VirtualFleet:
    """Gateways that exchange updates over a network that loses datagrams."""

    def __init__(self, gateways: int, upstreams: int, seed: int, loss: float = 0.0) -> None:
        self.now = 1000.0
        self.rng = random.Random(seed)
        self._loss = loss
        self._numbers = itertools.count(1)
        self._view = UpstreamView()
        self._running: dict[str, list[Arrival]] = {}
        self._restarts: list[float] = []
        self._revision = 0
        self.store = VirtualStore()
        self._hold_revision = 0
        self._ticks = 0
        self.quarantines = [Quarantine() for _ in range(gateways)]
        self.isolations = [Isolation(item.parts.explains_group) for item in self.quarantines]
        self.isolation_policies = [
            IsolationPolicy(item, self._view, lambda: self.now) for item in self.isolations
        ]
        self.gossips = [self._new_gossip(number) for number in range(gateways)]
        self._hold_views = [HoldView() for _ in range(gateways)]
        self._hold_stores = [self._new_hold_store(number) for number in range(gateways)]
        self.alive = set(range(gateways))
        self.outcomes: Counter[tuple[bytes, str]] = Counter()
        """Number of arrivals by identity (or "other") and outcome."""
        self.deadly_failures: list[float] = []
        self.deadly_sent: list[float] = []
        self.datagrams = 0
        for _ in range(upstreams):
            self._start_upstream()
        self._list_upstreams()

    def _new_gossip(self, number: int) -> QuarantineGossip:
        log, rng = EventLog("gw", lambda _: None), random.Random(number)

        def broadcast(update: SuspectNews | ClearedNews | GroupNews) -> None:
            self._broadcast(number, update)

        return QuarantineGossip(
            f"gw-{number}",
            self.quarantines[number],
            GroupGossip(
                f"gw-{number}", self.isolations[number], broadcast, log, rng, lambda: self.now
            ),
            self._view,
            self._has_failed,
            broadcast,
            log,
            rng,
            lambda: self.now,
        )

    def restart(self, number: int) -> None:
        """Restart a gateway without its former state."""
        self.quarantines[number] = Quarantine()
        self.isolations[number] = Isolation(self.quarantines[number].parts.explains_group)
        self.isolation_policies[number] = IsolationPolicy(
            self.isolations[number], self._view, lambda: self.now
        )
        self.gossips[number] = self._new_gossip(number)
        self._hold_views[number] = HoldView()
        self._hold_stores[number] = self._new_hold_store(number)
        self._read_store()

    def _new_hold_store(self, number: int) -> HoldStore:
        return HoldStore(
            self.store,
            self.quarantines[number],
            self._hold_views[number],
            EventLog("gw", lambda _: None),
            random.Random(number),
            lambda: self.now,
            lambda: self.now,
        )

    async def _reconcile(self) -> None:
        """Let all gateways write their holds, and read those of the store."""
        for number in self.alive:
            await self._hold_stores[number].reconcile()
        self._read_store()

    def _read_store(self) -> None:
        if self.store.is_away:
            return
        self._hold_revision += 1
        for number in self.alive:
            if self._hold_views[number].replace(dict(self.store.specs), self._hold_revision):
                self.gossips[number].replace_stored(self._hold_views[number].holds)

    async def _has_failed(self, upstream: Upstream) -> bool:
        return upstream.id not in self._running

    def _broadcast(self, sender: int, update: SuspectNews | ClearedNews | GroupNews) -> None:
        for number in self.alive - {sender}:
            self.datagrams += 1
            if self.rng.random() >= self._loss:
                self.gossips[number].receive(update)

    def _start_upstream(self) -> None:
        self._running[f"u{next(self._numbers)}"] = []

    def _list_upstreams(self) -> None:
        self._revision += 1
        found = [Upstream(name, "s", "10.0.0.1:1", "z", 8, False) for name in self._running]
        self._view.replace(found, self._revision)

    async def fail_upstream(self, name: str) -> None:
        """End an upstream with all requests that run there; another starts some seconds later."""
        lost = self._running.pop(name)
        self._restarts.append(self.now + _RESTART_SECONDS)
        for arrival in lost:
            await self._interrupt(arrival, name)

    async def fail_fraction(self, fraction: float) -> None:
        """End a fraction of the upstreams at once."""
        names = list(self._running)
        lost = {name: self._running.pop(name) for name in names[: round(fraction * len(names))]}
        self._restarts += [self.now + _RESTART_SECONDS] * len(lost)
        for name, arrivals in lost.items():
            for arrival in arrivals:
                await self._interrupt(arrival, name)

    async def arrive(self, identity: bytes, seconds: float) -> None:
        """Send a request that runs for `seconds` to a random gateway."""
        gateway = self.rng.choice(sorted(self.alive))
        kind = next((kind for kind in (VARYING, SAME_TEAM) if identity.startswith(kind)), b"p")
        team = "team" if kind == b"p" else "caller"
        await self._send(Arrival(identity, gateway, seconds, team, b"/" + kind))

    async def arrive_with_prompt(
        self, identity: bytes, team: str, parts: tuple[PromptPart, ...], seconds: float
    ) -> None:
        """Send a request with a prompt, which runs for `seconds`, to a random gateway."""
        gateway = self.rng.choice(sorted(self.alive))
        await self._send(Arrival(identity, gateway, seconds, team, b"/prompt", parts=parts))

    async def _send(self, arrival: Arrival) -> None:
        gossip = self.gossips[arrival.gateway]
        if gossip.is_held(arrival.as_request()):
            return self._count_outcome(arrival, "held")
        if not self._running:
            return self._count_outcome(arrival, "none")
        name = self._choose(arrival)
        if name is None:
            return self._count_outcome(arrival, "isolated")
        arrival.sent += 1
        if arrival.is_deadly:
            self.deadly_sent.append(self.now)
        seconds = 0.1 if arrival.is_deadly else arrival.ends
        self._running[name].append(
            replace(arrival, ends=self.now + seconds, sent_at=self.now, begun=False)
        )
        return None

    def _choose(self, arrival: Arrival) -> str | None:
        policy = self.isolation_policies[arrival.gateway]
        request = arrival.as_request()
        if policy.retry_delay(request):
            return None
        free = sorted(self._running.keys() - policy.excluded_upstreams(request))
        if not free:
            return None
        name = self.rng.choice(free)
        upstream = Upstream(name, "s", "10.0.0.1:1", "z", 8, False)
        running = len(self._running[name])
        choice = Choice(upstream, 0.0, 0.0, 0, 0, 0.0, running=running)
        return name if policy.admits(request, choice) else None

    async def _interrupt(self, arrival: Arrival, upstream: str) -> None:
        gossip = self.gossips[arrival.gateway]
        found = self._view.find(upstream)
        if arrival.gateway not in self.alive or found is None:
            return
        request = arrival.as_request()
        await asyncio.wait((gossip.record_interruption(request, found, arrival.begun),))
        gossip.send_due()
        if arrival.sent < 2 and gossip.may_retry(arrival.as_request()):
            arrival.ends = 0.5
            await self._send(arrival)
        else:
            self._count_outcome(arrival, "cut")

    def _count_outcome(self, arrival: Arrival, outcome: str) -> None:
        self.outcomes[arrival.kind, outcome] += 1

    async def step(self) -> None:
        """Advance the time by one tick."""
        self.now += TICK
        while self._restarts and self._restarts[0] <= self.now:
            self._restarts.pop(0)
            self._start_upstream()
            self._list_upstreams()
        for name in list(self._running):
            await self._finish_at(name)
        for number in self.alive:
            if self.gossips[number].next_due() <= self.now:
                self.gossips[number].send_due()
        self._ticks += 1
        if self._ticks % _RECONCILE_TICKS == 0:
            for number in self.alive:
                self.gossips[number].process_pending()
            await self._reconcile()

    async def _finish_at(self, name: str) -> None:
        for arrival in self._running.get(name, []):
            if not arrival.begun and self.now - arrival.sent_at >= _FIRST_EVENT_SECONDS:
                arrival.begun = True
                if not arrival.is_deadly:
                    self.gossips[arrival.gateway].record_begun(arrival.as_request())
        done = [item for item in self._running.get(name, []) if item.ends <= self.now]
        if any(item.is_deadly for item in done):
            self.deadly_failures.append(self.now)
            await self.fail_upstream(name)
            self._list_upstreams()
            return
        for arrival in done:
            self._running[name].remove(arrival)
            self.gossips[arrival.gateway].record_completion(arrival.as_request())
            self._count_outcome(arrival, "whole")

    def completed_fraction(self, kind: bytes) -> float:
        """Return the fraction of the arrivals of a kind that completed."""
        total = sum(count for (of, _), count in self.outcomes.items() if of == kind)
        return self.outcomes[kind, "whole"] / max(1, total)
