"""Hands out the slots of the brittle upstreams that this gateway owns."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.limits.slot_ledger import Room
from lotushill.limits.slot_ledger import SlotLedger
from lotushill.links.slot_messages import SlotAnswer
from lotushill.links.slot_messages import SlotEnd

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.limits.limit_owners import LimitOwners
    from lotushill.links.slot_messages import SlotAsk
    from lotushill.links.slot_messages import SlotReport
    from lotushill.placement.brittle_services import BrittleServices
    from lotushill.routing.upstream import Upstream
    from lotushill.views.upstream_view import UpstreamView

    Answer = Callable[[SlotAnswer], None]

MAX_WAIT_SECONDS = 0.12
"""Time for which a request for a slot waits while all are taken. It is free again for another
upstream after it."""
_NEW_OWNER_SECONDS = 2.0
"""Time for which a new owner also counts the runs in its load model: by its end, all gateways have
the same owner and have reported what they hold."""
_MAX_PAUSE_SECONDS = 0.7
"""Time without a turn of this process after which other gateways may have taken it for lost."""
_NEW_UPSTREAM_SECONDS = 2.0
"""Time after which an upstream that came into view has had an owner."""
_NEW_PROCESS_SECONDS = 5.0
"""Time after its first view in which a process takes the upstreams of brittle services that it sees
for older ones: it has not heard by then what other gateways know."""
_FRACTION_AGE_SECONDS = 0.05
"""Time for which the fraction of the gateways alive is reused."""


@dataclass(frozen=True)
class _Waiting:
    ask: SlotAsk
    answer: Answer
    since: float


class SlotOwner:
    """Ledgers of the upstreams whose slots this gateway owns, and requests that wait for a slot."""

    def __init__(
        self,
        upstreams: UpstreamView,
        owners: LimitOwners,
        services: BrittleServices,
        running_count: Callable[[str], int],
        log: EventLog,
        rng: random.Random,
    ) -> None:
        """Create it; `running_count` returns the runs of an upstream in the load model."""
        self._upstreams = upstreams
        self._owners = owners
        self._services = services
        self._running_count = running_count
        self._log = log
        self._rng = rng
        self._ledgers: dict[str, SlotLedger] = {}
        self._waiting: dict[str, list[_Waiting]] = {}
        self._processed_at = float("-inf")
        self._view_at = math.inf
        """Time of the first view."""
        self._seen_at: dict[str, float] = {}
        """Times at which upstreams of brittle services came into view, as far as known here."""
        self._lost: set[str] = set()
        """Upstreams with a ledger here that another gateway owns now."""
        self._fraction = 1.0
        self._fraction_at = float("-inf")
        self.denied = 0
        """Number of requests for a slot that were denied so far."""

    def ask(self, ask: SlotAsk, answer: Answer, now: float) -> None:
        """Answer a request for a slot, at the latest after `MAX_WAIT_SECONDS`."""
        upstream = self._upstreams.find(ask.upstream)
        if upstream is None or not self._owners.is_own(upstream):
            self._deny(ask, answer)
            return
        waiting = self._waiting.setdefault(upstream.id, [])
        if any(_is_same(item.ask, ask) for item in waiting):
            return
        if self._decide(ask, upstream, now):
            answer(SlotAnswer(ask.number, True))
            return
        if len(waiting) >= max(1, upstream.slots):
            self._deny(ask, answer)
            return
        waiting.append(_Waiting(ask, answer, now))
        waiting.sort(key=lambda item: (item.ask.tier, item.since))

    def receive(self, report: SlotReport, now: float) -> None:
        """Count the slots that a gateway holds, and those that it gives back."""
        upstream = self._upstreams.find(report.upstream)
        if upstream is None:
            return
        ledger = self._ledger(upstream, now)
        for held in report.held:
            ledger.adopt(held.number, report.sender, now + held.seconds)
        for ended in report.ended:
            self._drop_waiting(upstream.id, report.sender, ended.number)
            ledger.end(ended.number, ended.how, now)
            if ended.how is SlotEnd.REJECTED:
                self._log.note(
                    "slots.rejected", upstream=upstream.id, held=ledger.held, doubt=ledger.doubt
                )
        self._serve_waiting(upstream, now)

    def held(self, upstream_id: str) -> int:
        """Return how many permits for slots of an upstream are in use, as far as known here."""
        ledger = self._ledgers.get(upstream_id)
        return ledger.held if ledger is not None else 0

    def drop_holder(self, name: str) -> None:
        """Drop the permits and requests of a gateway that is gone."""
        for ledger in self._ledgers.values():
            ledger.drop_holder(name)
        for upstream_id, waiting in self._waiting.items():
            self._waiting[upstream_id] = [item for item in waiting if item.ask.sender != name]

    def process_due(self, now: float) -> None:
        """Answer the requests that can be granted by now, or have waited long enough."""
        self._note_upstreams(now)
        self._check_ownership(now)
        for upstream_id in list(self._waiting):
            upstream = self._upstreams.find(upstream_id)
            if upstream is not None:
                self._serve_waiting(upstream, now)
            waiting = self._waiting.pop(upstream_id)
            kept = [item for item in waiting if now - item.since < MAX_WAIT_SECONDS]
            if kept:
                self._waiting[upstream_id] = kept
            for item in waiting:
                if now - item.since >= MAX_WAIT_SECONDS:
                    self._withdraw(item.ask, now)
                    self._deny(item.ask, item.answer)

    def retain_only(self, known: set[str]) -> None:
        """Drop the ledgers of upstreams that are in no view or are not brittle any more."""
        for upstream_id in list(self._ledgers):
            upstream = self._upstreams.find(upstream_id)
            is_brittle = upstream is not None and self._services.is_brittle(upstream.service)
            if upstream_id not in known or not is_brittle:
                del self._ledgers[upstream_id]
        self._lost &= self._ledgers.keys()
        self._seen_at = {name: at for name, at in self._seen_at.items() if name in known}

    def _note_upstreams(self, now: float) -> None:
        """Note when upstreams of brittle services came into view."""
        if self._upstreams.is_loaded:
            self._view_at = min(self._view_at, now)
        for service in self._services.services():
            for upstream in self._upstreams.of(service):
                self._in_view_since(upstream.id, now)

    def _in_view_since(self, upstream_id: str, now: float) -> float:
        """Return when an upstream of a brittle service came into view, as far as known here."""
        is_new_process = now - self._view_at < _NEW_PROCESS_SECONDS
        return self._seen_at.setdefault(upstream_id, -math.inf if is_new_process else now)

    def _check_ownership(self, now: float) -> None:
        """Distrust the ledgers whose slots another owner may have granted in the meantime.

        That is, if this gateway had lost an upstream to another owner, or has stood still for so
        long that others may have taken it for lost.
        """
        has_paused = now - self._processed_at >= _MAX_PAUSE_SECONDS
        self._processed_at = now
        for upstream_id, ledger in self._ledgers.items():
            upstream = self._upstreams.find(upstream_id)
            if upstream is None:
                continue
            is_own = self._owners.is_own(upstream)
            if is_own and (has_paused or upstream_id in self._lost):
                ledger.distrust(upstream.slots, now)
            if is_own:
                self._lost.discard(upstream_id)
            else:
                self._lost.add(upstream_id)

    def _serve_waiting(self, upstream: Upstream, now: float) -> None:
        waiting = self._waiting.get(upstream.id)
        while waiting and self._decide(waiting[0].ask, upstream, now):
            item = waiting.pop(0)
            item.answer(SlotAnswer(item.ask.number, True))

    def _decide(self, ask: SlotAsk, upstream: Upstream, now: float) -> bool:
        max_rejections = self._services.max_rejections(upstream.service)
        if max_rejections is None:
            # The statement has reached the gateway that asks, and not yet this one.
            max_rejections = ask.max_rejections
        ledger = self._ledger(upstream, now)
        is_new = now - ledger.created_at < _NEW_OWNER_SECONDS
        room = Room(
            max(1, upstream.slots),
            max_rejections,
            self._usable_fraction(now),
            self._unreported(upstream.id) if is_new else 0,
        )
        return ledger.request(ask.number, ask.sender, now + ask.seconds, room, now)

    def _unreported(self, upstream_id: str) -> int:
        """Return the runs in the load model without those that wait or are asked for here."""
        waiting = len(self._waiting.get(upstream_id, ()))
        return self._running_count(upstream_id) - max(1, waiting)

    def _ledger(self, upstream: Upstream, now: float) -> SlotLedger:
        ledger = self._ledgers.get(upstream.id)
        if ledger is None:
            ledger = self._ledgers[upstream.id] = self._new_ledger(upstream, now)
        return ledger

    def _new_ledger(self, upstream: Upstream, now: float) -> SlotLedger:
        """Return a ledger in which the slots are doubtful that other owners may grant.

        An owner outside the hall of the upstream may be one of a fleet of which that hall is cut
        off, and has an owner of its own. If an upstream has been in view for some time, another
        owner may have granted its slots before.
        """
        fraction = self._usable_fraction(now)
        unheard = 1.0 - fraction if self._owners.is_in_hall(upstream) else 1.0
        ledger = SlotLedger(unheard * upstream.slots, self._rng.random(), now)
        if now - self._in_view_since(upstream.id, now) >= _NEW_UPSTREAM_SECONDS:
            ledger.distrust(upstream.slots, now)
        return ledger

    def _usable_fraction(self, now: float) -> float:
        if now - self._fraction_at >= _FRACTION_AGE_SECONDS:
            self._fraction, self._fraction_at = self._owners.usable_fraction(), now
        return self._fraction

    def _drop_waiting(self, upstream_id: str, sender: str, number: int) -> None:
        waiting = self._waiting.get(upstream_id, [])
        self._waiting[upstream_id] = [
            item for item in waiting if (item.ask.sender, item.ask.number) != (sender, number)
        ]

    def _withdraw(self, ask: SlotAsk, now: float) -> None:
        """Keep a repetition of a denied request, which may be late, from getting a slot."""
        ledger = self._ledgers.get(ask.upstream)
        if ledger is not None:
            ledger.end(ask.number, SlotEnd.UNSENT, now)

    def _deny(self, ask: SlotAsk, answer: Answer) -> None:
        self.denied += 1
        answer(SlotAnswer(ask.number, False))


def _is_same(one: SlotAsk, other: SlotAsk) -> bool:
    return (one.sender, one.number) == (other.sender, other.number)
