"""The entry's side of dispatch: asks the member that decides for a cell, wherever it is."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

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

if TYPE_CHECKING:
    from lotushill.dispatch.dispatcher import Dispatcher
    from lotushill.dispatch.dispatcher import Routed

log = logging.getLogger("dispatch")

Post = Callable[..., None]


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

    def __init__(self, own_name: str, dispatcher: Dispatcher, post: Post) -> None:
        self._own_name = own_name
        self._dispatcher = dispatcher
        self._post = post
        self._members: list[str] = [own_name]
        self._pending: dict[str, _Pending] = {}
        self._holding: dict[str, _Holding] = {}

    async def ask(self, ask: Ask) -> Grant | Refusal:
        """Return the decision on a request; cancelling the wait drops the ask."""
        pending = _Pending(ask, time.monotonic(), self._owner(ask.cell))
        self._pending[ask.request] = pending
        self._send(pending.owner, ask)
        try:
            await pending.decided.wait()
        except anyio.get_cancelled_exc_class():
            self._pending.pop(ask.request, None)
            if isinstance(pending.decision, Grant):
                self._give_back(pending.decision, pending.owner)
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
        if holding is not None:
            self._send(holding.owner, end)

    def decide(self, sender: str, decision: Decision) -> None:
        """Take in a decision that came from a dispatcher."""
        if isinstance(decision, Preemption):
            holding = self._holding.get(decision.request)
            if holding is not None and holding.ask.attempt == decision.attempt:
                holding.stop()
            return
        pending = self._pending.get(decision.request)
        if pending is None or pending.ask.attempt != decision.attempt:
            self._reject(sender, decision)
            return
        if pending.owner != sender:
            self._reject(sender, decision)
            return
        del self._pending[decision.request]
        pending.decision = decision
        pending.decided.set()

    def follow(self, members: list[str]) -> None:
        """Follow the live members; what went to a former dispatcher goes to the new one."""
        self._members = members or [self._own_name]
        now = time.monotonic()
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

    def repeat_to(self, member: str) -> None:
        """Tell a dispatcher everything again after the link to it was lost."""
        now = time.monotonic()
        for holding in self._holding.values():
            if holding.owner == member:
                self._send(member, Held(holding.ask, holding.upstream))
        for pending in list(self._pending.values()):
            if pending.owner == member:
                self._repeat(pending, now)

    def carry_out(self, routed: list[Routed]) -> None:
        """Hand the decisions of this member's own cells to the entries they go to."""
        for item in routed:
            if item.entry == self._own_name:
                self.decide(self._own_name, item.decision)
            else:
                self._post(item.entry, item.decision)

    def _repeat(self, pending: _Pending, now: float) -> None:
        spent = now - pending.asked_at
        ask = replace(pending.ask, time_left=max(0.0, pending.ask.time_left - spent))
        self._send(pending.owner, ask)

    def _owner(self, cell: str) -> str:
        return owner(cell, self._members) or self._own_name

    def _send(self, member: str, message: Ask | End | Cancel | Held) -> None:
        if member != self._own_name:
            self._post(member, message)
            return
        now = time.monotonic()
        self.carry_out(self._dispatcher.handle(self._own_name, message, now))

    def _reject(self, sender: str, decision: Grant | Refusal) -> None:
        """Give back a grant that nobody waits for any more."""
        if isinstance(decision, Grant) and decision.request not in self._holding:
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
