"""The entry's side of dispatch: asks the member that decides for a cell, wherever it is."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from lotushill.dispatch.fallback import Fallback
from lotushill.dispatch.messages import Ask
from lotushill.dispatch.messages import Cancel
from lotushill.dispatch.messages import Decision
from lotushill.dispatch.messages import End
from lotushill.dispatch.messages import EndKind
from lotushill.dispatch.messages import Grant
from lotushill.dispatch.messages import Preemption
from lotushill.dispatch.messages import Refusal
from lotushill.hosts.rendezvous import owner
from lotushill.links.messages import Held
from lotushill.links.messages import Ping

if TYPE_CHECKING:
    from lotushill.dispatch.dispatcher import Dispatcher
    from lotushill.dispatch.dispatcher import Routed

log = logging.getLogger("dispatch")

Post = Callable[..., None]

PROBE_SECONDS = 0.05
"""An owner that was not heard for so long, while it owes an answer, is asked for a sign."""
SILENT_SECONDS = 0.2
"""An owner that was not heard for so long is silent, and the top tier does not wait for it."""
AVOID_SECONDS = 1.0
"""A member whose link broke is passed over for so long; membership knows by then."""


@dataclass
class _Pending:
    """An ask without its decision."""

    ask: Ask
    asked_at: float
    owner: str
    decided: anyio.Event = field(default_factory=anyio.Event)
    decision: Grant | Refusal | None = None


@dataclass
class _Holding:
    """A granted attempt that has not ended."""

    ask: Ask
    upstream: str
    owner: str
    stop: Callable[[], None]
    """Called when the dispatcher preempts the attempt."""


class DispatchClient:
    """Routes asks and reports to dispatchers, and repeats them to a new one."""

    def __init__(
        self,
        own_name: str,
        dispatcher: Dispatcher,
        post: Post,
        clock: Callable[[], float],
        slots_of: Callable[[str], int] = lambda _: 1,
    ) -> None:
        self._own_name = own_name
        self._dispatcher = dispatcher
        self._post = post
        self._clock = clock
        self._slots_of = slots_of
        self._members: list[str] = [own_name]
        self._avoided: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._probed: dict[str, float] = {}
        self._pending: dict[str, _Pending] = {}
        self._holding: dict[str, _Holding] = {}
        self.fallback = Fallback()

    async def ask(self, ask: Ask) -> Grant | Refusal:
        """Return the decision on a request; cancelling the wait drops the ask."""
        pending = _Pending(ask, self._clock(), self._owner(ask.cell))
        self._pending[ask.request] = pending
        self._send(pending.owner, ask)
        try:
            await pending.decided.wait()
        except anyio.get_cancelled_exc_class():
            self._pending.pop(ask.request, None)
            if isinstance(pending.decision, Grant):
                self._give_back(pending.decision, pending.owner)
                self.fallback.end(ask.request)
            else:
                self._send(pending.owner, Cancel(ask.request, ask.cell))
            raise
        decision = pending.decision
        assert decision is not None
        return decision

    def hold(self, ask: Ask, grant: Grant, stop: Callable[[], None]) -> None:
        """Note that a granted attempt is running."""
        owner_name = self._owner(ask.cell)
        self._holding[ask.request] = _Holding(ask, grant.upstream, owner_name, stop)

    def end(self, end: End) -> None:
        """Report the end of an attempt."""
        holding = self._holding.pop(end.request, None)
        self.fallback.end(end.request)
        if holding is not None:
            self._send(holding.owner, end)

    def hear(self, member: str) -> None:
        """Note a sign of life of a member."""
        self._heard[member] = self._clock()

    def decide(self, sender: str, decision: Decision) -> None:
        """Take in a decision that came from a dispatcher."""
        if isinstance(decision, Preemption):
            holding = self._holding.get(decision.request)
            if holding is not None and holding.ask.attempt == decision.attempt:
                holding.stop()
            return
        pending = self._pending.get(decision.request)
        known = pending is not None and pending.ask.attempt == decision.attempt
        if pending is None or not known or pending.owner != sender:
            self._reject(sender, decision)
            return
        self._resolve(pending, decision)

    def follow(self, members: list[str]) -> None:
        """Follow the live members; what went to a former dispatcher goes to the new one."""
        self._members = members or [self._own_name]
        self._reroute()

    def avoid(self, member: str) -> None:
        """Pass over a member whose link broke, until membership has made up its mind."""
        self._avoided[member] = self._clock() + AVOID_SECONDS
        self._reroute()

    def tick(self) -> None:
        """Look after asks whose dispatcher is silent; call several times a `PROBE_SECONDS`."""
        now = self._clock()
        if any(until <= now for until in self._avoided.values()):
            self._avoided = {name: end for name, end in self._avoided.items() if end > now}
            self._reroute()
        for pending in list(self._pending.values()):
            if pending.owner != self._own_name:
                self._look_after(pending, now)

    def carry_out(self, routed: list[Routed]) -> None:
        """Hand the decisions of this member's own cells to the entries they go to."""
        for item in routed:
            if item.entry == self._own_name:
                self.decide(self._own_name, item.decision)
            else:
                self._post(item.entry, item.decision)

    def _look_after(self, pending: _Pending, now: float) -> None:
        quiet = now - max(self._heard.get(pending.owner, 0.0), pending.asked_at)
        if quiet < PROBE_SECONDS:
            return
        if now - self._probed.get(pending.owner, 0.0) >= PROBE_SECONDS:
            self._probed[pending.owner] = now
            self._post(pending.owner, Ping(self._own_name, 0, "", ()))
        if quiet < SILENT_SECONDS:
            return
        slots = self._slots_of(pending.ask.cell)
        grant = self.fallback.place(pending.ask, slots, len(self._members))
        if grant is not None:
            log.info(
                "Dispatcher is silent, placed here. request=%s owner=%s upstream=%s",
                grant.request,
                pending.owner,
                grant.upstream,
            )
            self._send(pending.owner, Held(pending.ask, grant.upstream))
            self._resolve(pending, grant)

    def _resolve(self, pending: _Pending, decision: Grant | Refusal) -> None:
        del self._pending[decision.request]
        pending.decision = decision
        pending.decided.set()

    def _reroute(self) -> None:
        now = self._clock()
        for holding in self._holding.values():
            new = self._owner(holding.ask.cell)
            if new != holding.owner:
                holding.owner = new
                self._send(new, Held(holding.ask, holding.upstream))
        for pending in list(self._pending.values()):
            new = self._owner(pending.ask.cell)
            if new != pending.owner:
                self._send(pending.owner, Cancel(pending.ask.request, pending.ask.cell))
                pending.owner = new
                self._repeat(pending, now)

    def _repeat(self, pending: _Pending, now: float) -> None:
        spent = now - pending.asked_at
        ask = replace(pending.ask, time_left=max(0.0, pending.ask.time_left - spent))
        self._send(pending.owner, ask)

    def _owner(self, cell: str) -> str:
        reachable = [name for name in self._members if name not in self._avoided]
        return owner(cell, reachable) or self._own_name

    def _send(self, member: str, message: Ask | End | Cancel | Held) -> None:
        if member != self._own_name:
            self._post(member, message)
            return
        self.carry_out(self._dispatcher.handle(self._own_name, message, self._clock()))

    def _reject(self, sender: str, decision: Grant | Refusal) -> None:
        """Give back a grant that nobody waits for any more."""
        holding = self._holding.get(decision.request)
        if not isinstance(decision, Grant):
            return
        if holding is not None and holding.upstream == decision.upstream:
            return
        log.info("Gave back a late grant. request=%s sender=%s", decision.request, sender)
        self._give_back(decision, sender)

    def _give_back(self, grant: Grant, member: str) -> None:
        unused = End(
            request=grant.request,
            attempt=grant.attempt,
            cell=grant.cell,
            upstream=grant.upstream,
            kind=EndKind.CANCELLED,
            output_tokens=0,
            first_token=0.0,
            between_tokens=0.0,
        )
        self._send(member, unused)
