"""One cell: every decision for one pool's upstreams, as a pure state machine.

The caller passes the time in and carries the decisions out. Nothing here reads a clock,
draws a random number or does I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.dispatch.estimates import Estimates
from lotushill.dispatch.ledger import Ledger
from lotushill.dispatch.messages import Ask
from lotushill.dispatch.messages import Cancel
from lotushill.dispatch.messages import Decision
from lotushill.dispatch.messages import End
from lotushill.dispatch.messages import EndKind
from lotushill.dispatch.messages import Grant
from lotushill.dispatch.messages import Refusal
from lotushill.dispatch.messages import RefusalReason
from lotushill.dispatch.placer import Placer
from lotushill.dispatch.retry_budget import RetryBudget
from lotushill.dispatch.upstream_state import Running
from lotushill.dispatch.upstream_state import UpstreamState
from lotushill.dispatch.waiting_room import Waiting
from lotushill.upstreams.adaptive_cap import AdaptiveCap

if TYPE_CHECKING:
    from lotushill.dispatch.options import CellOptions
    from lotushill.dispatch.waiting_room import WaitingRoom

_SHORTEST_RETRY_AFTER = 1.0
_LONGEST_RETRY_AFTER = 30.0
_CHECK_SECONDS = 1.0
_OVERDUE_SECONDS = 10.0
"""An attempt so long past its deadline has ended, and the report of it was lost."""


class Cell:
    """The queue, the shares and the grants of one pool of upstreams."""

    def __init__(self, name: str, options: CellOptions, opens_at: float = 0.0) -> None:
        self.name = name
        self.options = options
        self.opens_at = opens_at
        self._ledger = Ledger()
        self._estimates = Estimates(options.finish_quantile)
        self._placer = Placer(name, options, self._ledger, self._estimates)
        # One full upstream that crashes must not use up the retries of all others.
        self._retries = RetryBudget(reserve=2.0 * options.max_slots)
        self._next_check = 0.0

    # Views

    @property
    def waiting(self) -> WaitingRoom:
        """Return what waits."""
        return self._ledger.waiting

    @property
    def running(self) -> dict[str, Running]:
        """Return what runs, by request."""
        return self._ledger.running

    @property
    def upstreams(self) -> dict[str, UpstreamState]:
        """Return the upstreams by name."""
        return self._ledger.upstreams

    def predicted_wait(self, tier: int, now: float) -> float:
        """Return the seconds that a new request of a tier would wait, 0 while unknown."""
        rate = self._estimates.ends.rate(now)
        return self.waiting.ahead(tier) / rate if rate else 0.0

    def may_start(self, waiting: Waiting, now: float) -> bool:
        """Return whether a request would be started if an upstream had room for it."""
        return self._placer.can_finish(waiting, now)

    # Upstreams

    def add_upstream(self, name: str, address: str, hall: str) -> None:
        """Take an upstream into service, or bring one back that had been leaving."""
        known = self.upstreams.get(name)
        if known is not None and known.address == address:
            known.leaving = False
            known.removed = False
            known.reachable = True
            return
        cap = AdaptiveCap.fresh(self.options.slots, self.options.max_slots)
        self.upstreams[name] = UpstreamState(name, address, hall, cap)

    def leave_upstream(self, name: str) -> None:
        """Give an upstream no new work; what runs there may finish."""
        if name in self.upstreams:
            self.upstreams[name].leaving = True

    def remove_upstream(self, name: str) -> None:
        """Forget an upstream once the attempts that still run there have ended."""
        upstream = self.upstreams.get(name)
        if upstream is None:
            return
        upstream.leaving = True
        upstream.removed = True
        if not upstream.running:
            del self.upstreams[name]

    # Events from entries

    def ask(self, ask: Ask, now: float) -> list[Decision]:
        """Take in a request; a repeated ask is answered again and changes nothing."""
        known = self.waiting.get(ask.request)
        if known is not None and known.ask.attempt == ask.attempt:
            return self._advance(now)
        running = self.running.get(ask.request)
        if running is not None and running.attempt == ask.attempt:
            return [self._grant_again(running)]
        self._drop(ask.request, now)
        if ask.attempt == 0:
            self._retries.earn()
        elif not self._placer.forgive(ask.request) and not self._retries.spend():
            return [self._refuse(ask, RefusalReason.RETRY_BUDGET, now)]
        return self._admit(self._waiting(ask, now), now)

    def adopt(self, ask: Ask, upstream: str, now: float) -> None:
        """Take over an attempt that a former dispatcher granted; nobody is told anything."""
        if upstream in self.upstreams and ask.request not in self.running:
            self.waiting.remove(ask.request)
            self._placer.start(self._waiting(ask, now), self.upstreams[upstream], False, now)

    def end(self, end: End, now: float) -> list[Decision]:
        """Take in the end of an attempt; late reports of superseded attempts are ignored."""
        running = self.running.get(end.request)
        if running is None or running.attempt != end.attempt:
            return self._advance(now)
        if end.kind is not EndKind.PREEMPTED:
            self._placer.forgive(end.request)
        self._ledger.settle(running, end.output_tokens, now)
        self._learn(running, end, now)
        return self._advance(now)

    def cancel(self, cancel: Cancel, now: float) -> list[Decision]:
        """Drop a request whose caller has gone."""
        self._placer.forgive(cancel.request)
        self._drop(cancel.request, now)
        return self._advance(now)

    def drop_entry(self, entry: str, now: float) -> list[Decision]:
        """Drop all requests of an entry host that is lost."""
        asks = [item.waiting.ask for item in self.running.values()]
        asks += [item.ask for item in self.waiting]
        for ask in asks:
            if ask.entry == entry:
                self._placer.forgive(ask.request)
                self._drop(ask.request, now)
        return self._advance(now)

    def tick(self, now: float) -> list[Decision]:
        """Give up what has expired and place what can be placed; call every few hundredths."""
        self._drop_overdue(now)
        decisions = self._advance(now, with_lane=True)
        self._placer.note_demand(now)
        return decisions

    # Admission

    def _waiting(self, ask: Ask, now: float) -> Waiting:
        latest = ask.time_left
        if ask.refuse_early and ask.target and not ask.resumed_tokens:
            latest = min(latest, ask.target)
        expected = ask.prompt_tokens + self._estimates.remaining_tokens(ask)
        return Waiting(ask, now, now + latest, expected)

    def _admit(self, waiting: Waiting, now: float) -> list[Decision]:
        ask = waiting.ask
        if not any(not item.leaving for item in self.upstreams.values()):
            return [self._refuse(ask, RefusalReason.NO_UPSTREAM, now)]
        if ask.queued and self.waiting.class_size(waiting.class_key) >= ask.queued:
            return [*self._advance(now), self._refuse(ask, RefusalReason.QUEUE_FULL, now)]
        self.waiting.put(waiting)
        decisions = self._advance(now)
        if self.waiting.get(ask.request) is not None and self._out_of_reach(waiting, now):
            self.waiting.remove(ask.request)
            decisions.append(self._refuse(ask, RefusalReason.TARGET, now))
        decisions.extend(self._shed(now))
        return decisions

    def _out_of_reach(self, waiting: Waiting, now: float) -> bool:
        ask = waiting.ask
        if not ask.refuse_early or not ask.target or ask.resumed_tokens:
            return False
        if self._placer.lower_can_yield(ask.tier):
            return False
        return self.predicted_wait(ask.tier, now) > ask.target

    def _shed(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while len(self.waiting) > self.options.max_waiting:
            lowest = self.waiting.tiers()[-1]
            victim = self.waiting.last_over_share(lowest)
            if victim is None:
                break
            self.waiting.remove(victim.ask.request)
            decisions.append(self._refuse(victim.ask, RefusalReason.SHED, now))
        return decisions

    def _advance(self, now: float, with_lane: bool = False) -> list[Decision]:
        decisions: list[Decision] = []
        for waiting in self.waiting.expired(now):
            self.waiting.remove(waiting.ask.request)
            decisions.append(self._refuse(waiting.ask, _expiry_reason(waiting, now), now))
        if now < self.opens_at or not len(self.waiting):
            return decisions
        placed, hopeless = self._placer.place(now, with_lane)
        decisions.extend(placed)
        for waiting in hopeless:
            decisions.append(self._refuse(waiting.ask, RefusalReason.DEADLINE, now))
        return decisions

    # Ends

    def _learn(self, running: Running, end: End, now: float) -> None:
        upstream = self.upstreams.get(running.upstream)
        if upstream is None:
            return
        if end.kind is EndKind.COMPLETED:
            undisturbed = upstream.undisturbed(running)
            if upstream.health.succeed(end.between_tokens if undisturbed else 0.0):
                upstream.recover()
            ask = running.waiting.ask
            self._estimates.learn(ask, end.output_tokens, self.upstreams.values(), now)
            if undisturbed:
                self._adapt(upstream, running, end, now)
        elif end.kind in (EndKind.NOT_SENT, EndKind.BROKEN, EndKind.REJECTED):
            upstream.health.fail(end.kind is EndKind.NOT_SENT, now)

    def _adapt(self, upstream: UpstreamState, running: Running, end: End, now: float) -> None:
        if not self.options.adapt or not end.first_token:
            return
        ask = running.waiting.ask
        lowest = upstream.count(ask.tier) == upstream.total()
        upstream.cap.observe(end.first_token, ask.target, lowest and running.filled, now)

    def _drop(self, request: str, now: float) -> None:
        self.waiting.remove(request)
        running = self.running.get(request)
        if running is not None:
            self._ledger.settle(running, 0, now)

    def _drop_overdue(self, now: float) -> None:
        if now < self._next_check:
            return
        self._next_check = now + _CHECK_SECONDS
        for request, item in list(self.running.items()):
            if now - item.waiting.since > item.waiting.ask.time_left + _OVERDUE_SECONDS:
                self._drop(request, now)

    # Answers

    def _grant_again(self, running: Running) -> Grant:
        ask = running.waiting.ask
        return Grant(
            request=ask.request,
            attempt=running.attempt,
            cell=self.name,
            upstream=running.upstream,
            address=self.upstreams[running.upstream].address,
            tier=0 if running.in_lane else ask.tier,
            waited=running.started - running.waiting.since,
            why="repeated",
        )

    def _refuse(self, ask: Ask, reason: RefusalReason, now: float) -> Refusal:
        wait = self.predicted_wait(ask.tier, now)
        retry_after = min(_LONGEST_RETRY_AFTER, max(_SHORTEST_RETRY_AFTER, wait))
        return Refusal(ask.request, ask.attempt, reason, retry_after)


def _expiry_reason(waiting: Waiting, now: float) -> RefusalReason:
    if now - waiting.since >= waiting.ask.time_left:
        return RefusalReason.DEADLINE
    return RefusalReason.TARGET
