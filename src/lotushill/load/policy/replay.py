"""Plays a scenario: real decisions of some schedulers before emulated engines."""

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
from lotushill.load.policy.result import put_behind
from lotushill.load.policy.result import share_served
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
from lotushill.waiting.slot_turns import QUEUE_UPDATE_INTERVAL_SECONDS as WAITING_NEWS_SECONDS
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
"""Until other schedulers hear of something: a batch and the way."""
_RETURN_NEWS_SECONDS = 0.05
"""Between two news of those who were told to come back."""
_WAY_SECONDS = 0.002
_PERMIT_SECONDS = 0.004
"""There and back to whoever counts for an engine with a limit."""
_WAIT_SHARE = 0.2
"""Of its target, how long a request waits at a gateway before it is refused."""
_POLL_SECONDS = 0.03
_LOOK_SECONDS = 0.01
"""Between two looks at the line of a scheduler."""
_MOST_UNSENT = 4
_MOST_REJECTED = 3
_AT_ONCE_SECONDS = 0.05
_IMPATIENT_TRIES = 4
_RETRY_RATIO = 0.2
_RETRY_SLACK = 100.0
_RETRY_WINDOW_SECONDS = 10.0
"""The budget of the service for sending a request once more."""
_SHED_RETRY_SECONDS = 0.5
"""What a client is told whose request engines turned away too often."""
_LOST_SECONDS = 1.0
"""Until the others take a gateway for lost, and what it ran for ended."""
_RETURN_SHARE = 1.0 / 3.0
"""Of the time left: a client comes back no later than this."""


@dataclass(order=True)
class _Event:
    at: float
    order: int
    act: Callable[[], None] = field(compare=False)


class Replay:
    """One play of a scenario with one seed."""

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
        self._losses = [0] * scenario.engines
        """For how many reasons an engine is away now."""
        self._rest_asked = [0.0] * scenario.engines
        """Seconds of rest that an engine asks for while it turns all away, 0 while it does not."""
        self._cooldowns = [Cooldowns() for _ in range(scenario.schedulers)]
        self._limits = StatedLimits()
        self._ranks = [
            PermitRanks(fleet, self._limits, lambda _: self.upstreams) for fleet in self.fleets
        ]
        self._disturbing = random.Random(f"{seed}/disturbances")
        self._desk = PermitBuckets()
        self._denials = [Denials() for _ in range(scenario.schedulers)]
        self._budgets = [
            RetryBudget(_RETRY_RATIO, _RETRY_SLACK, _RETRY_WINDOW_SECONDS) for _ in self.fleets
        ]
        self._alive = list(range(scenario.schedulers))
        self.lines = [
            AdmissionQueue(fleet, RemoteQueues(str(n)), fleet.shares, fleet.shedding.returns)
            for n, fleet in enumerate(self.fleets)
        ]
        self._in_line: dict[int, Client] = {}
        self._watched = [False] * scenario.schedulers
        self._clients: dict[int, Client] = {}
        self._all: list[Client] = []
        self.tallies = {item.name: Tally() for item in scenario.classes}
        self.windows: dict[int, Tally] = {}
        self.teams: dict[str, Tally] = {}
        self._old_work: set[int] = set()
        """Requests that no scheduler sent."""
        self.turned_away = 0
        """Requests that engines have refused with a wish for rest."""
        self.shed = 0
        """Requests that engines have refused since too many waited there."""
        self.sent = 0

    def play(self) -> Result:
        """Play to the end."""
        for kind in self.scenario.classes:
            self._next_arrival(kind)
        for loss in self.scenario.losses:
            self._plan(loss)
        for shed in self.scenario.sheds:
            self._plan_shed(shed)
        for limit in self.scenario.limits:
            self._plan_limit(limit)
        self._tell_returns()
        self._plan_old_work()
        for power_loss in self.scenario.power_losses:
            self._at(power_loss.at, functools.partial(self._lose_power, power_loss.scheduler))
        if self.scenario.disturbances:
            self._at(0.0, functools.partial(self._disturb, self.scenario.disturbances))
        if known_paces.KNOWN:
            known_paces.tell(self.fleets, self.upstreams, self.engines)
        ends = self.scenario.seconds + max(item.deadline for item in self.scenario.classes)
        while self._events and self._events[0].at <= ends:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.act()
        behind = put_behind(self.scenario, self._all)
        bursting = frozenset(item.team for item in self.scenario.team_bursts)
        return Result(
            self.tallies,
            self.windows,
            behind,
            self.turned_away,
            self.teams,
            bursting,
            share_served(self._all, True),
            share_served(self._all, False),
            self.shed,
            self.sent,
            [engine.work_seconds for engine in self.engines],
        )

    def _at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, _Event(when, next(self._order), act))

    # Arrivals

    def _next_arrival(self, kind: RequestClass) -> None:
        when = self._arrivals.next_after(kind, self.now)
        if when < self.scenario.seconds:
            self._at(when, lambda: self._arrive(kind))

    def _arrive(self, kind: RequestClass) -> None:
        self._next_arrival(kind)
        client = self._arrivals.draw(kind, self.now)
        client.scheduler = self._alive[client.scheduler % len(self._alive)]
        self._all.append(client)
        client.key = len(self._all)
        for tally in self._tallies_of(client):
            tally.asked += 1
            tally.owed += client.worth * kind.worth
        need = client.need
        self._budgets[client.scheduler].note_request(self.now)
        self.fleets[client.scheduler].note_arrival(need, self.now)
        self._at(self.now + kind.deadline, lambda: self._leave(client))
        self._place(client)

    def _tallies_of(self, client: Client) -> list[Tally]:
        """Return all counts to which a request belongs."""
        window = self.windows.setdefault(int(client.arrived // 2) * 2, Tally())
        found = [self.tallies[client.kind.name], window]
        if client.need.team:
            found.append(self.teams.setdefault(client.need.team, Tally()))
        return found

    # Placing

    def _place(self, client: Client) -> None:
        if client.over:
            return
        found = self._choose(client)
        if isinstance(found, Choice):
            self._admit(client, found)
            return
        if isinstance(found, Queued):
            self._wait_in_line(client, found)
            return
        pause = self._pause(client, found)
        if pause is not None:
            self._at(self.now + pause, lambda: self._place(client))
            return
        self._refuse(client, found)

    def _wait_in_line(self, client: Client, held: Queued) -> None:
        """Have a request asked for again while it waits, as its gateway does."""
        self._in_line[client.key] = client
        scheduler, waiting_since = client.scheduler, client.waited_since

        def renew() -> None:
            same = (client.scheduler, client.waited_since) == (scheduler, waiting_since)
            if same and self._in_line.get(client.key) is client:
                del self._in_line[client.key]
                self._place(client)

        self._at(self.now + held.renew_seconds, renew)
        if not self._watched[scheduler]:
            self._watched[scheduler] = True
            self._at(self.now + _LOOK_SECONDS, lambda: self._look(scheduler))
            self._tell_line(scheduler)

    def _look(self, scheduler: int) -> None:
        """Place or refuse what is due in the line of a scheduler."""
        known = [item for n, item in enumerate(self.upstreams) if self._listed[n]]
        line = self.lines[scheduler]
        for entry, found in line.due(self.service, known, self.now):
            client = self._in_line.pop(entry.key)
            if isinstance(found, Choice):
                self._admit(client, found)
            else:
                self._refuse(client, found)
        if len(line.requests):
            self._at(self.now + _LOOK_SECONDS, lambda: self._look(scheduler))
        else:
            self._watched[scheduler] = False

    def _tell_line(self, scheduler: int) -> None:
        """Tell the other schedulers how many wait, until none does."""
        tiers = self.lines[scheduler].requests.tiers("llm")

        def hear() -> None:
            for number, line in enumerate(self.lines):
                if number != scheduler:
                    line.remote_queues.set_counts(str(scheduler), "llm", tiers, self.now)

        self._at(self.now + _NEWS_SECONDS, hear)
        if self._watched[scheduler]:
            self._at(self.now + WAITING_NEWS_SECONDS, lambda: self._tell_line(scheduler))

    def _choose(self, client: Client) -> Choice | NoChoice | Queued:
        rests, denials = self._cooldowns[client.scheduler], self._denials[client.scheduler]
        barred = BarredUpstreams(rests, denials)
        known = [item for n, item in enumerate(self.upstreams) if self._listed[n]]
        route = client.need.route
        closed = barred.names(route, self.now)
        open_ones = [item for item in known if item.id not in closed | client.excluded]
        if closed and not open_ones:
            self.lines[client.scheduler].requests.drop(client.key)
            limited = barred.any_limited(closed, route, self.now)
            refusal = Refusal.LIMITED if limited else Refusal.RESTING
            return NoChoice(refusal, barred.seconds_to_first_end(closed, route, self.now))
        waited = self.now - client.waited_since
        left = max(0.0, client.arrived + client.kind.deadline - self.now)
        need = replace(client.need, waited=waited, time_left=left)
        excluded = client.excluded | closed
        if not self._hears() and self.scenario.drawn:
            fleet = self.fleets[client.scheduler]
            drawn = self._drawn(fleet, known, excluded)
            return fleet.choose(need, self.service, drawn, excluded, self.now)
        entry = QueueEntry(client.key, need, "", client.waited_since, self.now, excluded)
        return self.lines[client.scheduler].place(entry, self.service, known, self.now)

    def _hears(self) -> bool:
        return self.now >= self.scenario.unheard

    def _drawn(
        self, fleet: Fleet, known: list[Upstream], excluded: frozenset[str]
    ) -> list[Upstream]:
        loads = [(item, fleet.load(item.id)) for item in known if item.id not in excluded]
        seen = [UpstreamCredit(item, load.unanswered, load.answered) for item, load in loads]
        return draw_upstream(seen, self._rng)

    def _admit(self, client: Client, choice: Choice) -> None:
        """Ask for a permit where the engine has a limit, and send with one."""
        name, asker = choice.upstream.id, client.scheduler
        rate, need = self._limits.rate(name), client.need
        if rate == NO_LIMIT:
            self._send(client, choice)
            return
        # Any scheduler's model would do; the one of the engine's own is as good as this one.
        rank = self._ranks[asker].rank("llm", need.route, need.tier, need.prompt_tokens, self.now)
        verdict = self._desk.request_permit(name, rate, rank, str(asker), self.now)
        if verdict.granted:
            self._at(self.now + _PERMIT_SECONDS, lambda: self._send_if_there(client, choice))
            return
        until = self.now + _PERMIT_SECONDS + verdict.again_in
        self._denials[asker].note_denied(name, need.route, rank, until)
        self._at(self.now + _PERMIT_SECONDS, lambda: self._place(client))

    def _send_if_there(self, client: Client, choice: Choice) -> None:
        if not client.over:
            self._send(client, choice)

    def _pause(self, client: Client, found: NoChoice) -> float | None:
        """Return after how long a request is looked at again, None where it is refused now."""
        waited, target = self.now - client.waited_since, client.kind.target
        if found.refusal in (Refusal.RESTING, Refusal.LIMITED):
            return cooldown_wait(found.retry_after, waited, client.need)
        if found.final or found.refusal is Refusal.EARLY:
            return None
        if found.refusal is Refusal.RETURNED:
            return returned_request_wait(waited, client.need)
        if found.refusal is not Refusal.NO_UPSTREAM:
            return None
        pause = _POLL_SECONDS * self._rng.uniform(0.7, 1.3)
        return pause if waited + pause <= _WAIT_SHARE * target else None

    def _refuse(self, client: Client, refusal: NoChoice) -> None:
        left = client.arrived + client.kind.deadline - self.now
        retry_after = refusal.retry_after
        if refusal.refusal is Refusal.LIMITED:
            retry_after = limited_retry_after_seconds(retry_after)
        pause = min(retry_after, _RETURN_SHARE * left)
        tries = 2
        if client.impatient:
            pause, tries = _AT_ONCE_SECONDS, _IMPATIENT_TRIES
        if client.tries == 1:
            self.tallies[client.kind.name].refused_once += 1
        if client.tries >= tries:
            self._finish(client, "refused")
            return
        client.tries += 1
        client.scheduler = self._rng.choice(self._alive)

        def come_back() -> None:
            client.waited_since = self.now
            client.excluded = frozenset()
            client.rejected = 0
            self._budgets[client.scheduler].note_request(self.now)
            self._place(client)

        self._at(self.now + pause, come_back)

    def _send(self, client: Client, choice: Choice) -> None:
        self.sent += 1
        number = next(self._numbers)
        client.number, client.choice = number, choice
        client.engine = int(choice.upstream.id[1:])
        client.sent_at = self.now
        self._cooldowns[client.scheduler].note_sent(choice.upstream.id, self.now)
        self._clients[number] = client
        told = placed_message(number, client.need, choice, True)
        self.fleets[client.scheduler].note_choice_used(client.need, self.now)
        mine = self.fleets[client.scheduler]
        mine.start(told, self.service, self.now)
        mine.pace("llm").note_prefill(told.prefill_tokens)
        for fleet in self.fleets if self._hears() else ():
            if fleet is not mine:
                start = functools.partial(fleet.start, told, self.service)
                self._at(self.now + _NEWS_SECONDS, self._with_clock(start))
        self._at(self.now + _WAY_SECONDS, lambda: self._reach(client, number))

    def _with_clock(self, act: Callable[[float], None]) -> Callable[[], None]:
        return lambda: act(self.now)

    def _tell_all(self, client: Client, act: Callable[[Fleet, float], None]) -> None:
        """Let all schedulers hear of something, the client's own at once."""
        for fleet in self.fleets:
            if fleet is self.fleets[client.scheduler]:
                act(fleet, self.now)
            else:
                told = self._with_clock(functools.partial(act, fleet))
                self._at(self.now + _NEWS_SECONDS, told)

    def _reach(self, client: Client, number: int) -> None:
        if client.over or client.number != number:
            return
        engine = self.engines[client.engine]
        chain = tuple(chain_parts(client.need.parts))
        run = Run(
            number, client.need.tier, client.need.prompt_tokens, client.output,
            client.need.prompt_tokens, chain,
        )  # fmt: skip
        if self._rest_asked[client.engine]:
            self._turn_away(client)
            return
        if not self._up[client.engine]:
            self._not_run(client)
            return
        if not engine.accept(run, self.now):
            self._shed(client)
            return
        name = self.upstreams[client.engine].id
        self._at(
            self.now + _WAY_SECONDS,
            lambda: self._cooldowns[client.scheduler].note_accepted(name, self.now),
        )
        client.run = run
        if client.need.first_event_timeout < client.kind.deadline:
            patient_until = client.waited_since + client.need.first_event_timeout
            self._at(patient_until, lambda: self._impatient(client, run))
        self._wake(client.engine)

    def _not_run(self, client: Client) -> None:
        """Try another engine: this one is down."""
        name = self.upstreams[client.engine].id
        self.fleets[client.scheduler].load(name).note_unreachable(self.now)
        self._end_run(client, Outcome.NOT_SENT)
        client.excluded |= {name}
        if len(client.excluded) >= _MOST_UNSENT:
            self._finish(client, "failed", "not sent")
            return
        self._place(client)

    def _shed(self, client: Client) -> None:
        """Let an engine refuse a request since too many wait there."""
        self.shed += 1
        self._end_run(client, Outcome.FAILED)
        client.excluded |= {self.upstreams[client.engine].id}
        client.rejected += 1
        budget = self._budgets[client.scheduler]
        if client.rejected >= _MOST_REJECTED or not budget.try_spend(len(self._alive), self.now):
            self._refuse(client, NoChoice(Refusal.RESTING, _SHED_RETRY_SECONDS))
            return
        self._at(self.now + _WAY_SECONDS, lambda: self._place(client))

    def _turn_away(self, client: Client) -> None:
        """Let an engine refuse a request and ask for rest."""
        self.turned_away += 1
        name, seconds = self.upstreams[client.engine].id, self._rest_asked[client.engine]
        self._cooldowns[client.scheduler].note_requested(name, seconds, self.now)
        self._end_run(client, Outcome.FAILED)
        client.excluded |= {name}
        client.rejected += 1
        if client.rejected >= _MOST_REJECTED:
            self._refuse(client, NoChoice(Refusal.RESTING, seconds))
            return
        self._at(self.now + _WAY_SECONDS, lambda: self._place(client))

    def _impatient(self, client: Client, run: Run) -> None:
        if client.run is run and not run.events and not client.over:
            self._leave(client, "no event for too long")

    def _tell_returns(self) -> None:
        """Let the schedulers tell each other whom they told to come back."""
        for fleet in self.fleets:
            news = fleet.shedding.returns.due_states(self.now)
            others = [other for other in self.fleets if other is not fleet]
            for other in others if news else ():
                heard = functools.partial(other.shedding.returns.merge, news)
                self._at(self.now + _NEWS_SECONDS, self._with_clock(heard))
        if self.now < self.scenario.seconds:
            self._at(self.now + _RETURN_NEWS_SECONDS, self._tell_returns)

    # Engines

    def _wake(self, index: int) -> None:
        if not self._busy[index] and self._up[index]:
            self._busy[index] = True
            self._step(index)

    def _step(self, index: int) -> None:
        ends = self.engines[index].step(self.now) if self._up[index] else None
        if ends is None:
            self._busy[index] = False
            return
        self._at(ends, lambda: self._step(index))

    def _on_event(self, run: Run, at: float) -> None:
        if run.number in self._old_work:
            return
        client = self._clients[run.number]
        if self.scenario.pauses_learned:
            pause = at - run.events[-2] if len(run.events) > 1 else 0.0
            self._at(at, lambda: self._learn_pause(client, run, pause))
        if len(run.events) == 1:
            client.began_at = at
            began = Began(run.number, at - client.sent_at)
            self._at(at, lambda: self._tell_all(client, lambda fleet, now: fleet.begin(began, now)))
        elif len(run.events) == PACE_SAMPLE_PAUSES + 1:
            pauses = sorted(b - a for a, b in itertools.pairwise(run.events))
            paced = Paced(run.number, pauses[2])
            self._at(
                at, lambda: self._tell_all(client, lambda fleet, now: fleet.note_paced(paced, now))
            )

    def _learn_pause(self, client: Client, run: Run, pause: float) -> None:
        """Let a scheduler learn from a pause of its own stream."""
        if client.over or client.run is not run:
            return
        fleet = self.fleets[client.scheduler]
        load, pace = fleet.load(self.upstreams[client.engine].id), fleet.pace("llm")
        due = load.prefill_queue.remaining_tokens(pace.prefill_rate, self.now) / pace.prefill_rate
        if pause > 0.0:
            slowness = load.pace.step_slowness(self.now)
            ratio = pace.pauses.note(pause, client.due, len(load.running), slowness)
            if ratio is not None and not due:
                load.pace.note_pause_ratio(ratio, self.now)
        client.due = due

    def _on_end(self, run: Run, at: float) -> None:
        self._at(at, lambda: self._whole(run))

    def _whole(self, run: Run) -> None:
        client = self._clients.get(run.number)
        if client is None or client.over or client.run is not run:
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
        self._tell_all(client, lambda fleet, now: fleet.end(ended, now))

    def _lost(self, client: Client, outcome: Outcome) -> None:
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

    def _leave(self, client: Client, why: str = "") -> None:
        if client.over:
            return
        if not why:
            began = client.run is not None and bool(client.run.events)
            why = "deadline, running" if began else "deadline, waiting"
        if client.run is not None:
            self.engines[client.engine].drop(client.run)
            self._end_run(client, Outcome.UNKNOWN)
        self._finish(client, "failed", why)

    def _finish(self, client: Client, end: str, why: str = "") -> None:
        client.over = True
        self._in_line.pop(client.key, None)
        self.lines[client.scheduler].requests.drop(client.key)
        client.served = end in ("in_time", "late")
        if why:
            self.tallies[client.kind.name].why[why] += 1
        kind = client.kind
        earned = {"in_time": kind.worth, "late": kind.late_worth}.get(end, 0.0) * client.worth
        for tally in self._tallies_of(client):
            setattr(tally, end, getattr(tally, end) + 1)
            tally.earned += earned

    # Schedulers and engines that are lost, and engines that shed or limit

    def _lose_power(self, scheduler: int) -> None:
        """Take a scheduler away: its clients come to others, which hear of no end for a while."""
        self._alive.remove(scheduler)
        for client in [item for item in self._all if item.scheduler == scheduler]:
            if not client.over:
                self._lose_gateway(client)

    def _lose_gateway(self, client: Client) -> None:
        """Let a client whose gateway is gone come to another one, if it comes again."""
        begun = client.run is not None and bool(client.run.events)
        if client.number in self._clients:
            if client.run is not None:
                self.engines[client.engine].drop(client.run)
                client.run = None
            del self._clients[client.number]
            ended = Ended(client.number)
            for fleet in self.fleets:
                end = self._with_clock(functools.partial(fleet.end, ended))
                self._at(self.now + _LOST_SECONDS, end)
        client.number = 0
        self._in_line.pop(client.key, None)
        self.lines[client.scheduler].requests.drop(client.key)
        client.scheduler = self._rng.choice(self._alive)
        if client.tries > 1 or begun:
            self._finish(client, "failed", "gateway lost")
            return
        client.tries += 1
        client.waited_since = self.now
        self._place(client)

    def _plan_limit(self, limit: Limit) -> None:
        count = round(limit.share * len(self.engines))
        for index in self._rng.sample(range(len(self.engines)), count):
            self._at(limit.at, functools.partial(self._name_limit, index, limit.rate))
            ends = limit.at + limit.seconds
            self._at(ends, functools.partial(self._name_limit, index, NO_LIMIT))

    def _name_limit(self, index: int, rate: float) -> None:
        self._limits.merge(self.upstreams[index].id, LimitReport(rate, self.now, self.now))
        for denials in self._denials:
            denials.clear(self.upstreams[index].id)
        if rate < NO_LIMIT:
            self._desk.add_bucket(self.upstreams[index].id, rate, self.now)

    def _plan_old_work(self) -> None:
        """Let requests of former gateways run on, of which no scheduler knows."""
        each = round(self.scenario.old_work * self.figures.slots)
        numbers = itertools.count(-1, -1)
        for index, engine in enumerate(self.engines):
            for _ in range(each):
                kind = self._rng.choice(self.scenario.classes)
                output = max(1, int(kind.output * self._rng.random()))
                unread = self._rng.choice((0, int(kind.prompt)))
                number = next(numbers)
                self._old_work.add(number)
                run = Run(number, kind.tier, unread, output, int(kind.prompt))
                engine.accept(run, 0.0)
            if each:
                self._wake(index)

    def _plan_shed(self, shed: Shed) -> None:
        count = round(shed.share * len(self.engines))
        for index in self._rng.sample(range(len(self.engines)), count):
            self._at(shed.at, functools.partial(self._ask_rest, index, shed.rest))
            self._at(shed.at + shed.seconds, functools.partial(self._ask_rest, index, 0.0))

    def _ask_rest(self, index: int, seconds: float) -> None:
        self._rest_asked[index] = seconds

    def _disturb(self, wanted: Disturbances) -> None:
        """Slow a share of the engines down for a while, and others later."""
        count = round(wanted.share * len(self.engines))
        for engine in self._disturbing.sample(self.engines, count):
            engine.disturbance = Disturbance(self.now, self.now + wanted.seconds, wanted.times)
        if self.now < self.scenario.seconds:
            self._at(self.now + wanted.every, lambda: self._disturb(wanted))

    def _plan(self, loss: Loss) -> None:
        count = round(loss.share * len(self.engines))
        struck = self._rng.sample(range(len(self.engines)), count)
        if loss.hall is not None:
            struck = [n for n in range(len(self.engines)) if n % self.scenario.halls == loss.hall]
            struck = struck[: round(loss.share * len(struck))]
        for index in struck:
            if loss.notice:
                self._at(loss.at - loss.notice, functools.partial(self._unlist, index))
            self._at(loss.at, functools.partial(self._crash, index))
            self._at(loss.at + loss.seconds, functools.partial(self._return, index))

    def _unlist(self, index: int) -> None:
        self._listed[index] = False

    def _crash(self, index: int) -> None:
        self._up[index] = False
        self._losses[index] += 1
        for client in list(self._clients.values()):
            if client.engine == index and client.run is not None:
                self._lost(client, Outcome.CUT if client.run.events else Outcome.FAILED)

    def _return(self, index: int) -> None:
        self._losses[index] -= 1
        if self._losses[index]:
            return
        self._up[index] = self._listed[index] = True
        self.engines[index] = Engine(
            self.figures, self.engines[index].slowness, self._on_event, self._on_end
        )
