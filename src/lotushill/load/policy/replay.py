"""Plays a scenario: real placement decisions of schedulers in front of emulated engines."""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.availability.cooldowns import Cooldowns
from lotushill.availability.retry_budget import RetryBudget
from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.availability.stated_limits import LimitReport
from lotushill.availability.stated_limits import StatedLimits
from lotushill.availability.wait_policy import cooldown_wait
from lotushill.availability.wait_policy import limited_retry_after_seconds
from lotushill.availability.wait_policy import returned_request_wait
from lotushill.limits.barred_upstreams import BarredUpstreams
from lotushill.limits.denials import Denials
from lotushill.limits.permit_buckets import PermitBuckets
from lotushill.limits.permit_rank import PermitRanks
from lotushill.load.policy import known_paces
from lotushill.load.policy.arrivals import Arrivals
from lotushill.load.policy.engine import Disturbance
from lotushill.load.policy.engine import Engine
from lotushill.load.policy.engine import EngineFigures
from lotushill.load.policy.engine import Run
from lotushill.load.policy.result import Result
from lotushill.load.policy.result import Tally
from lotushill.load.policy.result import find_put_behind
from lotushill.load.policy.result import served_fraction
from lotushill.placement.choice import Choice
from lotushill.placement.choice import NoChoice
from lotushill.placement.choice import Refusal
from lotushill.placement.fleet import Fleet
from lotushill.placement.learning import PACE_SAMPLE_PAUSES
from lotushill.placement.messages import Began
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Outcome
from lotushill.placement.messages import Paced
from lotushill.placement.placed_message import placed_message
from lotushill.placement.prefix_cache_model import chain_parts
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from lotushill.routing.upstream import Upstream
from lotushill.starting.draw import UpstreamCredit
from lotushill.starting.draw import draw_upstream
from lotushill.waiting.admission_queue import AdmissionQueue
from lotushill.waiting.entry import Queued
from lotushill.waiting.entry import QueueEntry
from lotushill.waiting.slot_turns import QUEUE_UPDATE_INTERVAL_SECONDS
from lotushill.waiting.slot_turns import RemoteQueues

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.load.policy.client import Client
    from lotushill.load.policy.scenario import Disturbances
    from lotushill.load.policy.scenario import Limit
    from lotushill.load.policy.scenario import Loss
    from lotushill.load.policy.scenario import RequestClass
    from lotushill.load.policy.scenario import Scenario
    from lotushill.load.policy.scenario import Shed

_NEWS_SECONDS = 0.03
"""Delay until other schedulers receive an update: batching and transmission."""
_RETURN_UPDATE_INTERVAL_SECONDS = 0.05
"""Interval between two updates on clients that received a retry time."""
_ONE_WAY_SECONDS = 0.002
_PERMIT_ROUND_TRIP_SECONDS = 0.004
"""Round-trip time to the owner of an engine's limit."""
_MAX_WAIT_FRACTION = 0.2
"""Longest wait of a request at a gateway before it is refused, as a fraction of its target."""
_POLL_INTERVAL_SECONDS = 0.03
_QUEUE_POLL_INTERVAL_SECONDS = 0.01
"""Interval between two polls of a scheduler's admission queue."""
_MAX_UNSENT = 4
_MAX_REJECTIONS = 3
_IMPATIENT_RETURN_SECONDS = 0.05
_MAX_IMPATIENT_TRIES = 4
_RETRY_RATIO = 0.2
_RETRY_SLACK = 100.0
_RETRY_WINDOW_SECONDS = 10.0
"""Time window of the service's retry budget."""
_REJECTED_RETRY_AFTER_SECONDS = 0.5
"""Retry time for a client whose request was rejected by too many engines."""
_LOSS_DETECTION_SECONDS = 1.0
"""Time until the other gateways consider a gateway lost and its runs ended."""
_MAX_RETURN_FRACTION = 1.0 / 3.0
"""Latest return of a client, as a fraction of the time left."""


@dataclass(order=True)
class _Event:
    at: float
    order: int
    action: Callable[[], None] = field(compare=False)


class Replay:
    """Runs one play of a scenario with one seed, as a discrete-event simulation."""

    def __init__(self, scenario: Scenario, seed: int, figures: EngineFigures | None = None) -> None:
        self.scenario = scenario
        self.figures = figures or scenario.figures
        self.now = 0.0
        self._rng = random.Random(seed)
        self._arrivals = Arrivals(scenario, seed)
        self._events: list[_Event] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        profile = EngineProfile(
            self.figures.slots, self.figures.memory_tokens, self.figures.tokens_per_event
        )
        self.service = Service("llm", 600, profile)
        skewed = bool(scenario.hall_demand)
        self.fleets = [
            Fleet(f"h{n % scenario.halls}" if skewed else "h0") for n in range(scenario.schedulers)
        ]
        self.upstreams = [
            Upstream(
                f"e{n}", "llm", f"10.0.0.{n}:1", f"h{n % scenario.halls}", profile.slots, False
            )
            for n in range(scenario.engines)
        ]
        self.engines = [
            Engine(
                self.figures,
                1.0 / scenario.paces[n % len(scenario.paces)],
                self._on_event,
                self._on_end,
            )
            for n in range(scenario.engines)
        ]
        self._busy = [False] * scenario.engines
        self._up = [True] * scenario.engines
        self._listed = [True] * scenario.engines
        self._loss_counts = [0] * scenario.engines
        """Number of current losses of each engine; it returns when all are over."""
        self._requested_cooldowns = [0.0] * scenario.engines
        """Cooldown in seconds that each engine asks for while it refuses all requests, else 0."""
        self._cooldowns = [Cooldowns() for _ in range(scenario.schedulers)]
        self._limits = StatedLimits()
        self._ranks = [
            PermitRanks(fleet, self._limits, lambda _: self.upstreams) for fleet in self.fleets
        ]
        self._disturbance_rng = random.Random(f"{seed}/disturbances")
        self._permit_buckets = PermitBuckets()
        self._denials = [Denials() for _ in range(scenario.schedulers)]
        self._budgets = [
            RetryBudget(_RETRY_RATIO, _RETRY_SLACK, _RETRY_WINDOW_SECONDS) for _ in self.fleets
        ]
        self._alive = list(range(scenario.schedulers))
        self.queues = [
            AdmissionQueue(fleet, RemoteQueues(str(n)), fleet.shares, fleet.shedding.returns)
            for n, fleet in enumerate(self.fleets)
        ]
        self._queued: dict[int, Client] = {}
        self._polled = [False] * scenario.schedulers
        self._clients: dict[int, Client] = {}
        self._all_clients: list[Client] = []
        self.tallies = {item.name: Tally() for item in scenario.classes}
        self.windows: dict[int, Tally] = {}
        self.teams: dict[str, Tally] = {}
        self._old_runs: set[int] = set()
        """Numbers of runs that no scheduler has sent."""
        self.cooldown_refusals = 0
        """Number of requests that engines have refused with a request for a cooldown."""
        self.full_queue_refusals = 0
        """Number of requests that engines have refused because their queues were full."""
        self.sent = 0

    def play(self) -> Result:
        """Run the play to its end and return its results."""
        for kind in self.scenario.classes:
            self._schedule_arrival(kind)
        for loss in self.scenario.losses:
            self._schedule_loss(loss)
        for shed in self.scenario.sheds:
            self._schedule_shed(shed)
        for limit in self.scenario.limits:
            self._schedule_limit(limit)
        self._exchange_returns()
        self._start_old_runs()
        for power_loss in self.scenario.power_losses:
            self._schedule(
                power_loss.at, functools.partial(self._lose_scheduler, power_loss.scheduler)
            )
        if self.scenario.disturbances:
            self._schedule(0.0, functools.partial(self._disturb, self.scenario.disturbances))
        if known_paces.KNOWN:
            known_paces.set_known_paces(self.fleets, self.upstreams, self.engines)
        ends = self.scenario.seconds + max(item.deadline for item in self.scenario.classes)
        while self._events and self._events[0].at <= ends:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.action()
        periods = find_put_behind(self.scenario, self._all_clients)
        bursting = frozenset(item.team for item in self.scenario.team_bursts)
        return Result(
            self.tallies,
            self.windows,
            periods,
            self.cooldown_refusals,
            self.teams,
            bursting,
            served_fraction(self._all_clients, True),
            served_fraction(self._all_clients, False),
            self.full_queue_refusals,
            self.sent,
            [engine.work_seconds for engine in self.engines],
        )

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, _Event(when, next(self._order), action))

    def _schedule_arrival(self, kind: RequestClass) -> None:
        when = self._arrivals.next_after(kind, self.now)
        if when < self.scenario.seconds:
            self._schedule(when, lambda: self._arrive(kind))

    def _arrive(self, kind: RequestClass) -> None:
        self._schedule_arrival(kind)
        client = self._arrivals.draw(kind, self.now)
        client.scheduler = self._alive[client.scheduler % len(self._alive)]
        self._all_clients.append(client)
        client.queue_key = len(self._all_clients)
        for tally in self._tallies_of(client):
            tally.asked += 1
            tally.owed += client.worth * kind.worth
        need = client.need
        self._budgets[client.scheduler].note_request(self.now)
        self.fleets[client.scheduler].note_arrival(need, self.now)
        self._schedule(self.now + kind.deadline, lambda: self._disconnect(client))
        self._place(client)

    def _tallies_of(self, client: Client) -> list[Tally]:
        """Return the tallies to which a request belongs: its class, window and team."""
        window = self.windows.setdefault(int(client.arrived // 2) * 2, Tally())
        matching = [self.tallies[client.kind.name], window]
        if client.need.team:
            matching.append(self.teams.setdefault(client.need.team, Tally()))
        return matching

    def _place(self, client: Client) -> None:
        if client.finished:
            return
        decision = self._choose(client)
        if isinstance(decision, Choice):
            self._admit(client, decision)
            return
        if isinstance(decision, Queued):
            self._wait_in_queue(client, decision)
            return
        pause = self._retry_delay(client, decision)
        if pause is not None:
            self._schedule(self.now + pause, lambda: self._place(client))
            return
        self._refuse(client, decision)

    def _wait_in_queue(self, client: Client, answer: Queued) -> None:
        """Queue a request and schedule its renewal, as a gateway does in production."""
        self._queued[client.queue_key] = client
        scheduler, waiting_since = client.scheduler, client.waited_since

        def renew() -> None:
            same = (client.scheduler, client.waited_since) == (scheduler, waiting_since)
            if same and self._queued.get(client.queue_key) is client:
                del self._queued[client.queue_key]
                self._place(client)

        self._schedule(self.now + answer.renew_seconds, renew)
        if not self._polled[scheduler]:
            self._polled[scheduler] = True
            self._schedule(
                self.now + _QUEUE_POLL_INTERVAL_SECONDS, lambda: self._poll_queue(scheduler)
            )
            self._publish_queue(scheduler)

    def _poll_queue(self, scheduler: int) -> None:
        """Place or refuse the due entries of a scheduler's admission queue."""
        known = [item for n, item in enumerate(self.upstreams) if self._listed[n]]
        queue = self.queues[scheduler]
        for entry, decision in queue.due(self.service, known, self.now):
            client = self._queued.pop(entry.key)
            if isinstance(decision, Choice):
                self._admit(client, decision)
            else:
                self._refuse(client, decision)
        if len(queue.requests):
            self._schedule(
                self.now + _QUEUE_POLL_INTERVAL_SECONDS, lambda: self._poll_queue(scheduler)
            )
        else:
            self._polled[scheduler] = False

    def _publish_queue(self, scheduler: int) -> None:
        """Send the queue length to the other schedulers, repeatedly until the queue is empty."""
        tiers = self.queues[scheduler].requests.tiers("llm")

        def receive() -> None:
            for number, queue in enumerate(self.queues):
                if number != scheduler:
                    queue.remote_queues.set_counts(str(scheduler), "llm", tiers, self.now)

        self._schedule(self.now + _NEWS_SECONDS, receive)
        if self._polled[scheduler]:
            self._schedule(
                self.now + QUEUE_UPDATE_INTERVAL_SECONDS, lambda: self._publish_queue(scheduler)
            )

    def _choose(self, client: Client) -> Choice | NoChoice | Queued:
        cooldowns, denials = self._cooldowns[client.scheduler], self._denials[client.scheduler]
        barred = BarredUpstreams(cooldowns, denials)
        known = [item for n, item in enumerate(self.upstreams) if self._listed[n]]
        route = client.need.route
        barred_names = barred.names(route, self.now)
        open_upstreams = [item for item in known if item.id not in barred_names | client.excluded]
        if barred_names and not open_upstreams:
            self.queues[client.scheduler].requests.drop(client.queue_key)
            limited = barred.any_limited(barred_names, route, self.now)
            refusal = Refusal.LIMITED if limited else Refusal.RESTING
            return NoChoice(refusal, barred.seconds_to_first_end(barred_names, route, self.now))
        waited = self.now - client.waited_since
        left = max(0.0, client.arrived + client.kind.deadline - self.now)
        need = replace(client.need, waited=waited, time_left=left)
        excluded = client.excluded | barred_names
        if not self._has_contact() and self.scenario.drawn:
            fleet = self.fleets[client.scheduler]
            drawn = self._draw(fleet, known, excluded)
            return fleet.choose(need, self.service, drawn, excluded, self.now)
        entry = QueueEntry(client.queue_key, need, "", client.waited_since, self.now, excluded)
        return self.queues[client.scheduler].place(entry, self.service, known, self.now)

    def _has_contact(self) -> bool:
        return self.now >= self.scenario.unheard

    def _draw(
        self, fleet: Fleet, known: list[Upstream], excluded: frozenset[str]
    ) -> list[Upstream]:
        loads = [(item, fleet.load(item.id)) for item in known if item.id not in excluded]
        credits = [UpstreamCredit(item, load.unanswered, load.answered) for item, load in loads]
        return draw_upstream(credits, self._rng)

    def _admit(self, client: Client, choice: Choice) -> None:
        """Send a request; if the engine has a limit, request a permit first."""
        name, requester = choice.upstream.id, client.scheduler
        rate, need = self._limits.rate(name), client.need
        if rate == NO_LIMIT:
            self._send(client, choice)
            return
        # Any scheduler's model can compute the rank; this one is as good as the limit owner's.
        rank = self._ranks[requester].rank(
            "llm", need.route, need.tier, need.prompt_tokens, self.now
        )
        verdict = self._permit_buckets.request_permit(name, rate, rank, str(requester), self.now)
        if verdict.granted:
            self._schedule(
                self.now + _PERMIT_ROUND_TRIP_SECONDS,
                lambda: self._send_unless_finished(client, choice),
            )
            return
        until = self.now + _PERMIT_ROUND_TRIP_SECONDS + verdict.again_in
        self._denials[requester].note_denied(name, need.route, rank, until)
        self._schedule(self.now + _PERMIT_ROUND_TRIP_SECONDS, lambda: self._place(client))

    def _send_unless_finished(self, client: Client, choice: Choice) -> None:
        if not client.finished:
            self._send(client, choice)

    def _retry_delay(self, client: Client, no_choice: NoChoice) -> float | None:
        """Return the time until a request is placed again, None if it is refused now."""
        waited, target = self.now - client.waited_since, client.kind.target
        if no_choice.refusal in (Refusal.RESTING, Refusal.LIMITED):
            return cooldown_wait(no_choice.retry_after, waited, client.need)
        if no_choice.final or no_choice.refusal is Refusal.EARLY:
            return None
        if no_choice.refusal is Refusal.RETURNED:
            return returned_request_wait(waited, client.need)
        if no_choice.refusal is not Refusal.NO_UPSTREAM:
            return None
        pause = _POLL_INTERVAL_SECONDS * self._rng.uniform(0.7, 1.3)
        return pause if waited + pause <= _MAX_WAIT_FRACTION * target else None

    def _refuse(self, client: Client, refusal: NoChoice) -> None:
        left = client.arrived + client.kind.deadline - self.now
        retry_after = refusal.retry_after
        if refusal.refusal is Refusal.LIMITED:
            retry_after = limited_retry_after_seconds(retry_after)
        pause = min(retry_after, _MAX_RETURN_FRACTION * left)
        tries = 2
        if client.impatient:
            pause, tries = _IMPATIENT_RETURN_SECONDS, _MAX_IMPATIENT_TRIES
        if client.tries == 1:
            self.tallies[client.kind.name].refused_once += 1
        if client.tries >= tries:
            self._finish(client, "refused")
            return
        client.tries += 1
        client.scheduler = self._rng.choice(self._alive)

        def try_again() -> None:
            client.waited_since = self.now
            client.excluded = frozenset()
            client.rejections = 0
            self._budgets[client.scheduler].note_request(self.now)
            self._place(client)

        self._schedule(self.now + pause, try_again)

    def _send(self, client: Client, choice: Choice) -> None:
        self.sent += 1
        number = next(self._numbers)
        client.number, client.choice = number, choice
        client.engine = int(choice.upstream.id[1:])
        client.sent_at = self.now
        self._cooldowns[client.scheduler].note_sent(choice.upstream.id, self.now)
        self._clients[number] = client
        placed = placed_message(number, client.need, choice, True)
        self.fleets[client.scheduler].note_choice_used(client.need, self.now)
        own_fleet = self.fleets[client.scheduler]
        own_fleet.start(placed, self.service, self.now)
        own_fleet.pace("llm").note_prefill(placed.prefill_tokens)
        for fleet in self.fleets if self._has_contact() else ():
            if fleet is not own_fleet:
                start = functools.partial(fleet.start, placed, self.service)
                self._schedule(self.now + _NEWS_SECONDS, self._with_clock(start))
        self._schedule(self.now + _ONE_WAY_SECONDS, lambda: self._reach_engine(client, number))

    def _with_clock(self, action: Callable[[float], None]) -> Callable[[], None]:
        return lambda: action(self.now)

    def _update_all(self, client: Client, action: Callable[[Fleet, float], None]) -> None:
        """Apply an update at all schedulers, at once at the client's own and later at others."""
        for fleet in self.fleets:
            if fleet is self.fleets[client.scheduler]:
                action(fleet, self.now)
            else:
                update = self._with_clock(functools.partial(action, fleet))
                self._schedule(self.now + _NEWS_SECONDS, update)

    def _reach_engine(self, client: Client, number: int) -> None:
        if client.finished or client.number != number:
            return
        engine = self.engines[client.engine]
        chain = tuple(chain_parts(client.need.parts))
        run = Run(
            number, client.need.tier, client.need.prompt_tokens, client.output,
            client.need.prompt_tokens, chain,
        )  # fmt: skip
        if self._requested_cooldowns[client.engine]:
            self._handle_cooldown_refusal(client)
            return
        if not self._up[client.engine]:
            self._handle_unreachable(client)
            return
        if not engine.accept(run, self.now):
            self._handle_full_queue(client)
            return
        name = self.upstreams[client.engine].id
        self._schedule(
            self.now + _ONE_WAY_SECONDS,
            lambda: self._cooldowns[client.scheduler].note_accepted(name, self.now),
        )
        client.run = run
        if client.need.first_event_timeout < client.kind.deadline:
            timeout_at = client.waited_since + client.need.first_event_timeout
            self._schedule(timeout_at, lambda: self._time_out(client, run))
        self._wake(client.engine)

    def _handle_unreachable(self, client: Client) -> None:
        """Place a request at another engine, since the chosen one is down."""
        name = self.upstreams[client.engine].id
        self.fleets[client.scheduler].load(name).note_unreachable(self.now)
        self._end_run(client, Outcome.NOT_SENT)
        client.excluded |= {name}
        if len(client.excluded) >= _MAX_UNSENT:
            self._finish(client, "failed", "not sent")
            return
        self._place(client)

    def _handle_full_queue(self, client: Client) -> None:
        """Handle a refusal by an engine whose queue is full."""
        self.full_queue_refusals += 1
        self._end_run(client, Outcome.FAILED)
        client.excluded |= {self.upstreams[client.engine].id}
        client.rejections += 1
        budget = self._budgets[client.scheduler]
        if client.rejections >= _MAX_REJECTIONS or not budget.try_spend(len(self._alive), self.now):
            self._refuse(client, NoChoice(Refusal.RESTING, _REJECTED_RETRY_AFTER_SECONDS))
            return
        self._schedule(self.now + _ONE_WAY_SECONDS, lambda: self._place(client))

    def _handle_cooldown_refusal(self, client: Client) -> None:
        """Handle a refusal by an engine that asks for a cooldown."""
        self.cooldown_refusals += 1
        name, seconds = self.upstreams[client.engine].id, self._requested_cooldowns[client.engine]
        self._cooldowns[client.scheduler].note_requested(name, seconds, self.now)
        self._end_run(client, Outcome.FAILED)
        client.excluded |= {name}
        client.rejections += 1
        if client.rejections >= _MAX_REJECTIONS:
            self._refuse(client, NoChoice(Refusal.RESTING, seconds))
            return
        self._schedule(self.now + _ONE_WAY_SECONDS, lambda: self._place(client))

    def _time_out(self, client: Client, run: Run) -> None:
        if client.run is run and not run.events and not client.finished:
            self._disconnect(client, "no event for too long")

    def _exchange_returns(self) -> None:
        """Exchange the promised retry times of refused clients between the schedulers."""
        for fleet in self.fleets:
            states = fleet.shedding.returns.due_states(self.now)
            others = [other for other in self.fleets if other is not fleet]
            for other in others if states else ():
                merge_states = functools.partial(other.shedding.returns.merge, states)
                self._schedule(self.now + _NEWS_SECONDS, self._with_clock(merge_states))
        if self.now < self.scenario.seconds:
            self._schedule(self.now + _RETURN_UPDATE_INTERVAL_SECONDS, self._exchange_returns)

    def _wake(self, index: int) -> None:
        if not self._busy[index] and self._up[index]:
            self._busy[index] = True
            self._step(index)

    def _step(self, index: int) -> None:
        ends = self.engines[index].step(self.now) if self._up[index] else None
        if ends is None:
            self._busy[index] = False
            return
        self._schedule(ends, lambda: self._step(index))

    def _on_event(self, run: Run, at: float) -> None:
        if run.number in self._old_runs:
            return
        client = self._clients[run.number]
        if self.scenario.pauses_learned:
            pause = at - run.events[-2] if len(run.events) > 1 else 0.0
            self._schedule(at, lambda: self._learn_pause(client, run, pause))
        if len(run.events) == 1:
            client.began_at = at
            began = Began(run.number, at - client.sent_at)
            self._schedule(
                at, lambda: self._update_all(client, lambda fleet, now: fleet.begin(began, now))
            )
        elif len(run.events) == PACE_SAMPLE_PAUSES + 1:
            pauses = sorted(b - a for a, b in itertools.pairwise(run.events))
            paced = Paced(run.number, pauses[2])
            self._schedule(
                at,
                lambda: self._update_all(client, lambda fleet, now: fleet.note_paced(paced, now)),
            )

    def _learn_pause(self, client: Client, run: Run, pause: float) -> None:
        """Let a scheduler learn from a pause in one of its own streams."""
        if client.finished or client.run is not run:
            return
        fleet = self.fleets[client.scheduler]
        load, pace = fleet.load(self.upstreams[client.engine].id), fleet.pace("llm")
        queued_seconds = (
            load.prefill_queue.remaining_tokens(pace.prefill_rate, self.now) / pace.prefill_rate
        )
        if pause > 0.0:
            slowness = load.pace.step_slowness(self.now)
            ratio = pace.pauses.note(
                pause, client.queued_prefill_seconds, len(load.running), slowness
            )
            if ratio is not None and not queued_seconds:
                load.pace.note_pause_ratio(ratio, self.now)
        client.queued_prefill_seconds = queued_seconds

    def _on_end(self, run: Run, at: float) -> None:
        self._schedule(at, lambda: self._complete(run))

    def _complete(self, run: Run) -> None:
        client = self._clients.get(run.number)
        if client is None or client.finished or client.run is not run:
            return
        self._end_run(client, Outcome.WHOLE)
        pauses = [b - a for a, b in itertools.pairwise(run.events)]
        first = run.events[0] - client.arrived
        longest = max(pauses, default=0.0)
        if first > client.kind.target:
            self._finish(client, "late", "late, first event")
        elif longest > client.kind.gap:
            self._finish(client, "late", "late, a pause")
        else:
            self._finish(client, "in_time")

    def _end_run(self, client: Client, outcome: Outcome) -> None:
        ended = Ended(client.number, outcome, self.now - client.sent_at)
        self._clients.pop(client.number, None)
        self._update_all(client, lambda fleet, now: fleet.end(ended, now))

    def _handle_lost_run(self, client: Client, outcome: Outcome) -> None:
        if client.run is not None:
            self.engines[client.engine].drop(client.run)
        self._end_run(client, outcome)
        client.run = None
        if client.tries > 1 or outcome is Outcome.CUT:
            self._finish(client, "failed", outcome.name)
            return
        client.tries += 1
        client.waited_since = self.now
        self._place(client)

    def _disconnect(self, client: Client, cause: str = "") -> None:
        if client.finished:
            return
        if not cause:
            began = client.run is not None and bool(client.run.events)
            cause = "deadline, running" if began else "deadline, waiting"
        if client.run is not None:
            self.engines[client.engine].drop(client.run)
            self._end_run(client, Outcome.UNKNOWN)
        self._finish(client, "failed", cause)

    def _finish(self, client: Client, end: str, cause: str = "") -> None:
        client.finished = True
        self._queued.pop(client.queue_key, None)
        self.queues[client.scheduler].requests.drop(client.queue_key)
        client.served = end in ("in_time", "late")
        if cause:
            self.tallies[client.kind.name].causes[cause] += 1
        kind = client.kind
        earned = {"in_time": kind.worth, "late": kind.late_worth}.get(end, 0.0) * client.worth
        for tally in self._tallies_of(client):
            setattr(tally, end, getattr(tally, end) + 1)
            tally.earned += earned

    def _lose_scheduler(self, scheduler: int) -> None:
        """Remove a scheduler: its clients go to others, which learn of the ends after a delay."""
        self._alive.remove(scheduler)
        for client in [item for item in self._all_clients if item.scheduler == scheduler]:
            if not client.finished:
                self._lose_gateway(client)

    def _lose_gateway(self, client: Client) -> None:
        """Move a client of a lost gateway to another gateway, if the client tries again."""
        has_begun = client.run is not None and bool(client.run.events)
        if client.number in self._clients:
            if client.run is not None:
                self.engines[client.engine].drop(client.run)
                client.run = None
            del self._clients[client.number]
            ended = Ended(client.number)
            for fleet in self.fleets:
                end = self._with_clock(functools.partial(fleet.end, ended))
                self._schedule(self.now + _LOSS_DETECTION_SECONDS, end)
        client.number = 0
        self._queued.pop(client.queue_key, None)
        self.queues[client.scheduler].requests.drop(client.queue_key)
        client.scheduler = self._rng.choice(self._alive)
        if client.tries > 1 or has_begun:
            self._finish(client, "failed", "gateway lost")
            return
        client.tries += 1
        client.waited_since = self.now
        self._place(client)

    def _schedule_limit(self, limit: Limit) -> None:
        count = round(limit.share * len(self.engines))
        for index in self._rng.sample(range(len(self.engines)), count):
            self._schedule(limit.at, functools.partial(self._state_limit, index, limit.rate))
            ends = limit.at + limit.seconds
            self._schedule(ends, functools.partial(self._state_limit, index, NO_LIMIT))

    def _state_limit(self, index: int, rate: float) -> None:
        self._limits.merge(self.upstreams[index].id, LimitReport(rate, self.now, self.now))
        for denials in self._denials:
            denials.clear(self.upstreams[index].id)
        if rate < NO_LIMIT:
            self._permit_buckets.add_bucket(self.upstreams[index].id, rate, self.now)

    def _start_old_runs(self) -> None:
        """Start runs of former gateways, which are unknown to all schedulers."""
        each = round(self.scenario.old_work * self.figures.slots)
        numbers = itertools.count(-1, -1)
        for index, engine in enumerate(self.engines):
            for _ in range(each):
                kind = self._rng.choice(self.scenario.classes)
                output = max(1, int(kind.output * self._rng.random()))
                unprocessed_tokens = self._rng.choice((0, int(kind.prompt)))
                number = next(numbers)
                self._old_runs.add(number)
                run = Run(number, kind.tier, unprocessed_tokens, output, int(kind.prompt))
                engine.accept(run, 0.0)
            if each:
                self._wake(index)

    def _schedule_shed(self, shed: Shed) -> None:
        count = round(shed.share * len(self.engines))
        for index in self._rng.sample(range(len(self.engines)), count):
            self._schedule(shed.at, functools.partial(self._set_cooldown, index, shed.rest))
            self._schedule(
                shed.at + shed.seconds, functools.partial(self._set_cooldown, index, 0.0)
            )

    def _set_cooldown(self, index: int, seconds: float) -> None:
        self._requested_cooldowns[index] = seconds

    def _disturb(self, settings: Disturbances) -> None:
        """Slow down a fraction of the engines, and schedule the next disturbance of others."""
        count = round(settings.share * len(self.engines))
        for engine in self._disturbance_rng.sample(self.engines, count):
            engine.disturbance = Disturbance(self.now, self.now + settings.seconds, settings.times)
        if self.now < self.scenario.seconds:
            self._schedule(self.now + settings.every, lambda: self._disturb(settings))

    def _schedule_loss(self, loss: Loss) -> None:
        count = round(loss.share * len(self.engines))
        affected = self._rng.sample(range(len(self.engines)), count)
        if loss.hall is not None:
            affected = [n for n in range(len(self.engines)) if n % self.scenario.halls == loss.hall]
            affected = affected[: round(loss.share * len(affected))]
        for index in affected:
            if loss.notice:
                self._schedule(loss.at - loss.notice, functools.partial(self._unlist, index))
            self._schedule(loss.at, functools.partial(self._crash, index))
            self._schedule(loss.at + loss.seconds, functools.partial(self._recover, index))

    def _unlist(self, index: int) -> None:
        self._listed[index] = False

    def _crash(self, index: int) -> None:
        self._up[index] = False
        self._loss_counts[index] += 1
        for client in list(self._clients.values()):
            if client.engine == index and client.run is not None:
                self._handle_lost_run(client, Outcome.CUT if client.run.events else Outcome.FAILED)

    def _recover(self, index: int) -> None:
        self._loss_counts[index] -= 1
        if self._loss_counts[index]:
            return
        self._up[index] = self._listed[index] = True
        self.engines[index] = Engine(
            self.figures, self.engines[index].slowness, self._on_event, self._on_end
        )
