"""One cell: every decision for one pool's upstreams, as a pure state machine.

The caller passes the time in and carries the decisions out. Nothing here reads a clock,
draws a random number or does I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.dispatch.demand import Demand
from lotushill.dispatch.limits import Limits
from lotushill.dispatch.messages import Ask
from lotushill.dispatch.messages import Cancel
from lotushill.dispatch.messages import Decision
from lotushill.dispatch.messages import End
from lotushill.dispatch.messages import EndKind
from lotushill.dispatch.messages import Grant
from lotushill.dispatch.messages import Preemption
from lotushill.dispatch.messages import Refusal
from lotushill.dispatch.messages import RefusalReason
from lotushill.dispatch.placement import Choice
from lotushill.dispatch.placement import Contention
from lotushill.dispatch.placement import choose
from lotushill.dispatch.placement import has_room
from lotushill.dispatch.placement import usual_gap
from lotushill.dispatch.progress_lane import ProgressLane
from lotushill.dispatch.retry_budget import RetryBudget
from lotushill.dispatch.throughput import Throughput
from lotushill.dispatch.upstream_state import Running
from lotushill.dispatch.upstream_state import UpstreamState
from lotushill.dispatch.waiting_room import Waiting
from lotushill.dispatch.waiting_room import WaitingRoom
from lotushill.upstreams.adaptive_cap import AdaptiveCap
from lotushill.upstreams.length_estimate import LengthEstimate

if TYPE_CHECKING:
    from lotushill.dispatch.waiting_room import ClassKey

_SHORTEST_RETRY_AFTER = 1.0
_LONGEST_RETRY_AFTER = 30.0
_CHECK_SECONDS = 1.0
_OVERDUE_SECONDS = 10.0
_TRUST_SECONDS = 5.0
"""A class without a start for so long is started whatever is estimated of its run."""


@dataclass(frozen=True)
class CellOptions:
    """The knobs of a cell; the defaults are those that measured best."""

    slots: int = 16
    max_slots: int = 64
    max_waiting: int = 10_000
    lane_share: float = 0.03
    finish_quantile: float = 0.97
    """A request is started only while this share of its class's answers would still be whole."""
    finish_share: float = 0.5
    """Share of the time left that a lower tier's run may be expected to take."""
    contention: Contention = Contention.PAUSE
    tokens_per_load: float = 4000.0
    adapt: bool = True


class Cell:
    """The queue, the shares and the grants of one pool of upstreams."""

    def __init__(self, name: str, options: CellOptions, opens_at: float = 0.0) -> None:
        self.name = name
        self.options = options
        self.opens_at = opens_at
        self.waiting = WaitingRoom()
        self.upstreams: dict[str, UpstreamState] = {}
        self.running: dict[str, Running] = {}
        self._lane = ProgressLane(options.lane_share)
        self._limits = Limits()
        # One full upstream that crashes must not use up the retries of all others.
        self._retries = RetryBudget(reserve=2.0 * options.max_slots)
        self._lengths: dict[ClassKey, LengthEstimate] = {}
        self._ends = Throughput()
        self._next_check = 0.0
        self._gap = 0.0
        """Usual seconds between tokens, 0 while unknown."""
        self._slowest = 0.0
        """Seconds between tokens on the slowest upstream, 0 while unknown."""
        self._stopped: set[str] = set()
        """Requests that were preempted and have not asked again."""
        self._demand = Demand()

    # Upstreams

    def add_upstream(self, name: str, address: str, hall: str) -> None:
        """Take an upstream into service, or bring one back that had been leaving."""
        known = self.upstreams.get(name)
        if known is not None and known.address == address:
            known.leaving = False
            known.reachable = True
            return
        cap = AdaptiveCap.fresh(self.options.slots, self.options.max_slots)
        self.upstreams[name] = UpstreamState(name, address, hall, cap)

    def leave_upstream(self, name: str) -> None:
        """Give an upstream no new work; what runs there may finish."""
        if name in self.upstreams:
            self.upstreams[name].leaving = True

    def remove_upstream(self, name: str) -> None:
        """Forget an upstream; attempts still running there end by their entries' reports."""
        upstream = self.upstreams.get(name)
        if upstream is None:
            return
        upstream.leaving = True
        if not upstream.running:
            del self.upstreams[name]

    def reach_hall(self, hall: str, reachable: bool) -> None:
        """Note whether the upstreams of a hall can be reached."""
        for upstream in self.upstreams.values():
            if upstream.hall == hall:
                upstream.reachable = reachable

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
        if ask.attempt > 0 and not self._was_preempted(ask) and not self._retries.spend():
            return [self._refuse(ask, RefusalReason.RETRY_BUDGET, now)]
        return self._admit(self._waiting(ask, now), now)

    def adopt(self, ask: Ask, upstream: str, now: float) -> None:
        """Take over an attempt that a former dispatcher granted; nobody is told anything."""
        if upstream in self.upstreams and ask.request not in self.running:
            self.waiting.remove(ask.request)
            self._start(self._waiting(ask, now), self.upstreams[upstream], False, now)

    def end(self, end: End, now: float) -> list[Decision]:
        """Take in the end of an attempt; late reports of superseded attempts are ignored."""
        running = self.running.get(end.request)
        if running is None or running.attempt != end.attempt:
            return self._advance(now)
        self._settle(running, end.output_tokens, now)
        self._learn(running, end, now)
        return self._advance(now)

    def cancel(self, cancel: Cancel, now: float) -> list[Decision]:
        """Drop a request whose caller has gone."""
        self._drop(cancel.request, now)
        return self._advance(now)

    def drop_entry(self, entry: str, now: float) -> list[Decision]:
        """Drop all requests of an entry host that is lost."""
        asks = [item.waiting.ask for item in self.running.values()]
        asks += [item.ask for item in self.waiting]
        for ask in asks:
            if ask.entry == entry:
                self._drop(ask.request, now)
        return self._advance(now)

    def tick(self, now: float) -> list[Decision]:
        """Give up what has expired and place what can be placed."""
        self._drop_overdue(now)
        decisions = self._advance(now)
        self._note_demand(now)
        return decisions

    def _drop_overdue(self, now: float) -> None:
        """Drop attempts long past their deadline: the report of their end was lost."""
        if now < self._next_check:
            return
        self._next_check = now + _CHECK_SECONDS
        for request, item in list(self.running.items()):
            if now - item.waiting.since > item.waiting.ask.time_left + _OVERDUE_SECONDS:
                self._drop(request, now)

    # Figures

    def slots(self) -> int:
        """Return the slots of all upstreams that are not leaving."""
        return sum(item.cap.slots for item in self.upstreams.values() if not item.leaving)

    def free_slots(self, now: float) -> int:
        """Return the slots that nobody holds, over the upstreams that may be given work."""
        usable = [item for item in self.upstreams.values() if item.usable(now)]
        return sum(max(0, item.cap.slots - item.total()) for item in usable)

    def predicted_wait(self, tier: int, now: float) -> float:
        """Return the seconds that a new request of a tier would wait, 0 while unknown."""
        rate = self._ends.rate(now)
        return self.waiting.ahead(tier) / rate if rate else 0.0

    # Admission

    def _waiting(self, ask: Ask, now: float) -> Waiting:
        length = self._length((ask.team, ask.service, ask.klass))
        remaining = max(1.0, length.mean(ask.output_limit) - ask.resumed_tokens)
        latest = ask.time_left
        if ask.refuse_early and ask.target and not ask.resumed_tokens:
            latest = min(latest, ask.target)
        return Waiting(ask, now, now + latest, ask.prompt_tokens + remaining)

    def _run_seconds(self, ask: Ask) -> float:
        """Return the seconds that most answers of the class take, 0 while unknown."""
        length = self._length((ask.team, ask.service, ask.klass))
        if not length.known():
            return 0.0
        tokens = length.quantile(self.options.finish_quantile, ask.output_limit)
        return max(0, tokens - ask.resumed_tokens) * self._slowest

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
        if self._lower_can_yield(ask.tier):
            return False
        return self.predicted_wait(ask.tier, now) > ask.target

    def _lower_can_yield(self, tier: int) -> bool:
        """Return whether a lower tier holds room that a request of `tier` could still get."""
        if self.options.contention is Contention.QUEUE:
            return False
        return any(
            self._yields(upstream, tier) and upstream.least_done_below(tier) is not None
            for upstream in self.upstreams.values()
        )

    def _yields(self, upstream: UpstreamState, tier: int) -> bool:
        """Return whether stopping a lower one there, and nothing less, makes room for `tier`."""
        higher = upstream.count(tier)
        if higher >= upstream.cap.slots or upstream.total() == higher:
            return False
        return not self._room(upstream, tier)

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

    # Placing

    def _note_demand(self, now: float) -> None:
        """Note how many slots each tier asks for, running and waiting together."""
        asked: dict[int, int] = {}
        for item in self.running.values():
            asked[item.tier] = asked.get(item.tier, 0) + 1
        for tier in self.waiting.tiers():
            asked[tier] = asked.get(tier, 0) + self.waiting.size(tier)
        self._demand.note(asked, now)

    def _advance(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for waiting in self.waiting.expired(now):
            self.waiting.remove(waiting.ask.request)
            decisions.append(self._refuse(waiting.ask, self._expiry_reason(waiting, now), now))
        if now < self.opens_at or not len(self.waiting):
            return decisions
        usable = [item for item in self.upstreams.values() if item.usable(now)]
        for tier in self.waiting.tiers():
            decisions.extend(self._place_tier(tier, usable, now))
        decisions.extend(self._place_lane(usable, now))
        # Last of all: only for those who found room nowhere is anybody stopped.
        for tier in self.waiting.tiers():
            decisions.extend(self._preempt_for(tier, usable, now))
        return decisions

    def _place_tier(self, tier: int, usable: list[UpstreamState], now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while True:
            open_ones = [item for item in usable if item.usable(now) and self._room(item, tier)]
            if not open_ones:
                return decisions
            placed = self._place_next(tier, open_ones, now)
            if placed is None:
                return decisions
            decisions.append(placed)

    def _place_next(
        self, tier: int, open_ones: list[UpstreamState], now: float
    ) -> Grant | Refusal | None:
        for waiting in self.waiting.heads(tier):
            if self._limits.ready_at(waiting.class_key, waiting.ask, now) > now:
                continue
            if self._too_late(waiting, now):
                return self._give_up(waiting, now)
            if not self._can_finish(waiting, now):
                continue
            choice = self._choose(waiting.ask, open_ones, now)
            if choice is not None:
                return self._grant(waiting, choice, False, now)
        return None

    def _too_late(self, waiting: Waiting, now: float) -> bool:
        """Return whether most answers of the class would no longer be whole in time."""
        if self._lane.idle_for(waiting.class_key, now) >= _TRUST_SECONDS:
            # An estimate that lets nothing start would never be put right.
            return False
        time_left = waiting.since + waiting.ask.time_left - now
        return time_left < self._run_seconds(waiting.ask)

    def _give_up(self, waiting: Waiting, now: float) -> Refusal:
        self.waiting.remove(waiting.ask.request)
        return self._refuse(waiting.ask, RefusalReason.DEADLINE, now)

    def _can_finish(self, waiting: Waiting, now: float) -> bool:
        """Return whether a request would likely be whole in time beside the higher tiers.

        What the higher tiers leave over, as they have been asking of late, is shared by the
        lower ones that run. Work that would be paused until its deadline is better not begun.
        """
        ask = waiting.ask
        higher = self._demand.level(ask.tier)
        running = sum(item.total() - item.count(ask.tier - 1) for item in self.upstreams.values())
        left_over = self.slots() - higher
        if ask.tier == 0 or running + 1 <= left_over:
            return True
        tokens = self._length(waiting.class_key).mean(ask.output_limit) - ask.resumed_tokens
        run = max(1.0, tokens) * self._gap
        if not run:
            return True
        time_left = waiting.since + ask.time_left - now
        allowed = left_over * self.options.finish_share * time_left / run
        return running + 1 <= allowed

    def _place_lane(self, usable: list[UpstreamState], now: float) -> list[Decision]:
        decisions: list[Decision] = []
        in_lane = sum(item.lane() for item in usable)
        for tier, key in self._lane.order(self.waiting.classes(), now):
            free = [item for item in usable if not item.lane() and item.usable(now)]
            if in_lane >= self._lane.slots(self.slots()) or not free:
                return decisions
            waiting = self.waiting.head(tier, key)
            if waiting is None or self._limits.ready_at(key, waiting.ask, now) > now:
                continue
            if self._too_late(waiting, now):
                decisions.append(self._give_up(waiting, now))
                continue
            choice = self._choose(waiting.ask, free, now)
            if choice is not None:
                decisions.append(self._grant(waiting, choice, True, now))
                in_lane += 1
        return decisions

    def _room(self, upstream: UpstreamState, tier: int) -> bool:
        return has_room(upstream, tier, self.options.contention)

    def _choose(self, ask: Ask, open_ones: list[UpstreamState], now: float) -> Choice | None:
        fresh = [item for item in open_ones if item.name not in ask.excluded]
        if not fresh and any(
            item.name not in ask.excluded and item.usable(now) for item in self.upstreams.values()
        ):
            return None
        return choose(ask, fresh or open_ones, self._gap, self.options.tokens_per_load)

    def _grant(self, waiting: Waiting, choice: Choice, in_lane: bool, now: float) -> Grant:
        ask = waiting.ask
        self.waiting.remove(ask.request)
        self._start(waiting, choice.upstream, in_lane, now)
        if ask.attempt == 0:
            self._retries.earn()
        why = f"{choice.why()} lane={str(in_lane).lower()} waiting={len(self.waiting)}"
        # The lane has the engine's highest priority: it must finish as well as start.
        priority = 0 if in_lane else ask.tier
        name, address = choice.upstream.name, choice.upstream.address
        waited = now - waiting.since
        return Grant(ask.request, ask.attempt, self.name, name, address, priority, waited, why)

    def _start(self, waiting: Waiting, upstream: UpstreamState, in_lane: bool, now: float) -> None:
        ask = waiting.ask
        running = Running(waiting, ask.attempt, upstream.name, now, in_lane)
        self.running[ask.request] = running
        upstream.start(running, now)
        running.filled = upstream.total() == upstream.cap.slots
        upstream.prefixes.add(ask.prefix)
        self.waiting.charge(waiting, waiting.expected_tokens)
        self._limits.start(waiting.class_key, ask, waiting.expected_tokens, now)
        self._lane.note_start(waiting.class_key, now)

    def _grant_again(self, running: Running) -> Grant:
        ask = running.waiting.ask
        address = self.upstreams[running.upstream].address
        priority = 0 if running.in_lane else ask.tier
        waited = running.started - running.waiting.since
        return Grant(
            ask.request,
            running.attempt,
            self.name,
            running.upstream,
            address,
            priority,
            waited,
            "repeated",
        )

    def _preempt_for(self, tier: int, usable: list[UpstreamState], now: float) -> list[Decision]:
        if self.options.contention is Contention.QUEUE:
            return []
        if not self._lower_can_yield(tier):
            return []
        decisions: list[Decision] = []
        pending = sum(item.preempted for item in self.running.values())
        for waiting in list(self.waiting.heads(tier))[pending:]:
            if self._limits.ready_at(waiting.class_key, waiting.ask, now) > now:
                continue
            if not self._can_finish(waiting, now):
                continue
            victims = [item.least_done_below(tier) for item in usable if self._yields(item, tier)]
            found = [item for item in victims if item is not None]
            if not found:
                return decisions
            victim = max(found, key=lambda item: (item.tier, item.started))
            victim.preempted = True
            request = victim.waiting.ask.request
            self._stopped.add(request)
            decisions.append(Preemption(request, victim.attempt, victim.upstream))
        return decisions

    # Ends

    def _settle(self, running: Running, output_tokens: int, now: float) -> None:
        """Take an attempt off the books and correct what was charged for it."""
        waiting = running.waiting
        del self.running[waiting.ask.request]
        upstream = self.upstreams[running.upstream]
        upstream.finish(waiting.ask.request, now)
        correction = waiting.ask.prompt_tokens + output_tokens - waiting.expected_tokens
        self.waiting.charge(waiting, correction)
        self._limits.end(waiting.class_key, correction)
        if upstream.leaving and not upstream.running and not upstream.reachable:
            del self.upstreams[upstream.name]

    def _learn(self, running: Running, end: End, now: float) -> None:
        upstream = self.upstreams.get(running.upstream)
        if upstream is None:
            return
        if end.kind is EndKind.COMPLETED:
            self._ends.add(now)
            key = running.waiting.class_key
            self._gap = usual_gap(self.upstreams.values())
            self._slowest = max(item.health.gap for item in self.upstreams.values())
            self._length(key).add(end.output_tokens + running.waiting.ask.resumed_tokens)
            undisturbed = upstream.undisturbed(running)
            if upstream.health.succeed(end.between_tokens if undisturbed else 0.0):
                upstream.cap.restart()
                upstream.prefixes.clear()
            self._adapt(upstream, running, end, now)
        elif end.kind in (EndKind.NOT_SENT, EndKind.BROKEN, EndKind.REJECTED):
            upstream.health.fail(end.kind is EndKind.NOT_SENT, now)

    def _adapt(self, upstream: UpstreamState, running: Running, end: End, now: float) -> None:
        ask = running.waiting.ask
        if not self.options.adapt or not end.first_token:
            return
        if not upstream.undisturbed(running):
            return
        lowest = upstream.count(ask.tier) == upstream.total()
        may_grow = lowest and running.filled
        upstream.cap.observe(end.first_token, ask.target, may_grow, now)

    def _was_preempted(self, ask: Ask) -> bool:
        """Return whether this ask follows a preemption, which costs no retry."""
        if ask.request not in self._stopped:
            return False
        self._stopped.discard(ask.request)
        return True

    def _drop(self, request: str, now: float) -> None:
        self.waiting.remove(request)
        running = self.running.get(request)
        if running is not None:
            self._settle(running, 0, now)

    # Refusals

    def _expiry_reason(self, waiting: Waiting, now: float) -> RefusalReason:
        if now - waiting.since >= waiting.ask.time_left:
            return RefusalReason.DEADLINE
        return RefusalReason.TARGET

    def _refuse(self, ask: Ask, reason: RefusalReason, now: float) -> Refusal:
        wait = self.predicted_wait(ask.tier, now)
        retry_after = min(_LONGEST_RETRY_AFTER, max(_SHORTEST_RETRY_AFTER, wait))
        return Refusal(ask.request, ask.attempt, reason, retry_after)

    def _length(self, key: ClassKey) -> LengthEstimate:
        found = self._lengths.get(key)
        if found is None:
            found = self._lengths[key] = LengthEstimate()
        return found
