"""Keepers of many gateways in virtual time, before upstreams that end under a deadly request."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import cast

from lotushill.event_log import EventLog
from lotushill.peering.group_gossip import GroupGossip
from lotushill.peering.quarantine_gossip import QuarantineGossip
from lotushill.placement.choice import Choice
from lotushill.quarantine.group import Group
from lotushill.quarantine.group import groups_of
from lotushill.quarantine.isolation import Isolation
from lotushill.quarantine.quarantine import Quarantine
from lotushill.requests.isolation_policy import IsolationPolicy
from lotushill.routing.service import Service
from lotushill.routing.upstream import Upstream
from lotushill.views.upstream_view import UpstreamView

if TYPE_CHECKING:
    from lotushill.links.quarantine_messages import ClearedNews
    from lotushill.links.quarantine_messages import GroupNews
    from lotushill.links.quarantine_messages import SuspectNews
    from lotushill.scheduling.request import Request

TICK = 0.02
DEADLY = b"deadly----------"
COMMON = b"common----------"
VARYING = b"varying"
"""How identities begin of requests of one caller that each end an upstream under other bytes."""
_BACK_SECONDS = 2.0
_FIRST_EVENT_SECONDS = 0.25
"""What ran for so long when it was cut had begun to answer."""
SERVICE = Service("s", 50, None)
MATE = b"mate"
"""How identities begin of sound requests of the same team, on another path."""


def is_deadly(identity: bytes) -> bool:
    """Return whether upstreams end under a request."""
    return identity == DEADLY or identity.startswith(VARYING)


@dataclass(frozen=True)
class Demand:
    """As much of a demand as a keeper reads."""

    request_id: str


@dataclass
class Arrival:
    """One request at one gateway."""

    identity: bytes
    gateway: int
    ends: float
    team: str = "team"
    target: bytes = b"/p"
    demand: Demand = field(default_factory=lambda: Demand("r"))
    sent: int = 0
    sent_at: float = 0.0

    @property
    def service(self) -> Service:
        """Return the one service that there is."""
        return SERVICE

    @property
    def groups(self) -> tuple[Group, ...]:
        """Return its groups, all on one route."""
        return groups_of(SERVICE.name, self.team, "route", self.target, ())

    def as_request(self) -> Request:
        """Return what the keeper takes it for."""
        return cast("Request", self)


class VirtualFleet:
    """Gateways that share what they know over a network that loses datagrams."""

    def __init__(self, gateways: int, upstreams: int, seed: int, loss: float = 0.0) -> None:
        self.now = 1000.0
        self.rng = random.Random(seed)
        self._loss = loss
        self._numbers = itertools.count(1)
        self._view = UpstreamView()
        self._running: dict[str, list[Arrival]] = {}
        self._back: list[float] = []
        self._revision = 0
        self.quarantines = [Quarantine() for _ in range(gateways)]
        self.isolations = [Isolation() for _ in range(gateways)]
        self.wards = [
            IsolationPolicy(item, self._view, lambda: self.now) for item in self.isolations
        ]
        self.gossips = [self._keeper(number) for number in range(gateways)]
        self.alive = set(range(gateways))
        self.outcomes: Counter[tuple[bytes, str]] = Counter()
        """Of arrivals, by identity (or "other") and outcome."""
        self.deadly_ends: list[float] = []
        self.deadly_sent: list[float] = []
        self.datagrams = 0
        for _ in range(upstreams):
            self._start_upstream()
        self._list_upstreams()

    def _keeper(self, number: int) -> QuarantineGossip:
        log, rng = EventLog("gw", lambda _: None), random.Random(number)

        def tell(news: SuspectNews | ClearedNews | GroupNews) -> None:
            self._tell(number, news)

        return QuarantineGossip(
            f"gw-{number}",
            self.quarantines[number],
            GroupGossip(f"gw-{number}", self.isolations[number], tell, log, rng, lambda: self.now),
            self._view,
            self._has_ended,
            tell,
            log,
            rng,
            lambda: self.now,
        )

    def restart(self, number: int) -> None:
        """Let a gateway start anew, with nothing that it knew."""
        self.quarantines[number] = Quarantine()
        self.isolations[number] = Isolation()
        self.wards[number] = IsolationPolicy(self.isolations[number], self._view, lambda: self.now)
        self.gossips[number] = self._keeper(number)

    async def _has_ended(self, upstream: Upstream) -> bool:
        return upstream.id not in self._running

    def _tell(self, sender: int, news: SuspectNews | ClearedNews | GroupNews) -> None:
        for number in self.alive - {sender}:
            self.datagrams += 1
            if self.rng.random() >= self._loss:
                self.gossips[number].receive(news)

    # Upstreams

    def _start_upstream(self) -> None:
        self._running[f"u{next(self._numbers)}"] = []

    def _list_upstreams(self) -> None:
        self._revision += 1
        found = [Upstream(name, "s", "10.0.0.1:1", "z", 8, False) for name in self._running]
        self._view.replace(found, self._revision)

    async def end_upstream(self, name: str) -> None:
        """Let an upstream end with all that runs there, and another come after some seconds."""
        lost = self._running.pop(name)
        self._back.append(self.now + _BACK_SECONDS)
        for arrival in lost:
            await self._cut(arrival, name)

    async def end_share(self, share: float) -> None:
        """End a share of the upstreams at once."""
        names = list(self._running)
        lost = {name: self._running.pop(name) for name in names[: round(share * len(names))]}
        self._back += [self.now + _BACK_SECONDS] * len(lost)
        for name, arrivals in lost.items():
            for arrival in arrivals:
                await self._cut(arrival, name)

    # Requests

    async def arrive(self, identity: bytes, seconds: float) -> None:
        """Let a request come to some gateway and run for so long."""
        gateway = self.rng.choice(sorted(self.alive))
        kind = next((kind for kind in (VARYING, MATE) if identity.startswith(kind)), b"p")
        team = "team" if kind == b"p" else "caller"
        await self._send(Arrival(identity, gateway, seconds, team, b"/" + kind))

    async def _send(self, arrival: Arrival) -> None:
        keeper = self.gossips[arrival.gateway]
        if keeper.is_held(arrival.as_request()):
            return self._note(arrival, "held")
        if not self._running:
            return self._note(arrival, "none")
        name = self._choose(arrival)
        if name is None:
            return self._note(arrival, "isolated")
        arrival.sent += 1
        if is_deadly(arrival.identity):
            self.deadly_sent.append(self.now)
        seconds = 0.1 if is_deadly(arrival.identity) else arrival.ends
        self._running[name].append(replace(arrival, ends=self.now + seconds, sent_at=self.now))
        return None

    def _choose(self, arrival: Arrival) -> str | None:
        ward = self.wards[arrival.gateway]
        request = arrival.as_request()
        if ward.retry_delay(request):
            return None
        free = sorted(self._running.keys() - ward.excluded_upstreams(request))
        if not free:
            return None
        name = self.rng.choice(free)
        upstream = Upstream(name, "s", "10.0.0.1:1", "z", 8, False)
        running = len(self._running[name])
        choice = Choice(upstream, 0.0, 0.0, 0, 0, 0.0, running=running)
        return name if ward.admits(request, choice) else None

    async def _cut(self, arrival: Arrival, upstream: str) -> None:
        keeper = self.gossips[arrival.gateway]
        found = self._view.find(upstream)
        if arrival.gateway not in self.alive or found is None:
            return
        begun = self.now - arrival.sent_at >= _FIRST_EVENT_SECONDS
        await asyncio.wait((keeper.record_interruption(arrival.as_request(), found, begun),))
        keeper.send_due()
        if arrival.sent < 2 and keeper.may_retry(arrival.as_request()):
            arrival.ends = 0.5
            await self._send(arrival)
        else:
            self._note(arrival, "cut")

    def _note(self, arrival: Arrival, outcome: str) -> None:
        kind = b"other"
        if arrival.identity in (DEADLY, COMMON):
            kind = arrival.identity
        elif is_deadly(arrival.identity):
            kind = VARYING
        elif arrival.identity.startswith(MATE):
            kind = MATE
        self.outcomes[kind, outcome] += 1

    # Time

    async def step(self) -> None:
        """Let a little time pass."""
        self.now += TICK
        while self._back and self._back[0] <= self.now:
            self._back.pop(0)
            self._start_upstream()
            self._list_upstreams()
        for name in list(self._running):
            await self._finish_at(name)
        for number in self.alive:
            if self.gossips[number].next_due() <= self.now:
                self.gossips[number].send_due()

    async def _finish_at(self, name: str) -> None:
        done = [item for item in self._running.get(name, []) if item.ends <= self.now]
        if any(is_deadly(item.identity) for item in done):
            self.deadly_ends.append(self.now)
            await self.end_upstream(name)
            self._list_upstreams()
            return
        for arrival in done:
            self._running[name].remove(arrival)
            self.gossips[arrival.gateway].record_completion(arrival.as_request())
            self._note(arrival, "whole")

    def share_whole(self, kind: bytes) -> float:
        """Return which share of the arrivals of a kind was answered whole."""
        total = sum(count for (of, _), count in self.outcomes.items() if of == kind)
        return self.outcomes[kind, "whole"] / max(1, total)
