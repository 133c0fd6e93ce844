"""Chooses the upstream of a request by what it would cost, from a model of every upstream.

The model is fed by this gateway's own requests and by what the other gateways tell of theirs.
Costs are shares of one request's credit. Nothing here reads a clock or does I/O.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lotushill.membership.rendezvous import ranked
from lotushill.placement.choice import Choice
from lotushill.placement.choice import NoChoice
from lotushill.placement.fetch import FetchPlanner
from lotushill.placement.pace import Pace
from lotushill.placement.recent_parts import RecentParts
from lotushill.placement.upstream_load import UpstreamLoad
from lotushill.placement.usual_request import UsualRequests
from lotushill.routing.demand import PromptPart

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lotushill.placement.messages import Placed
    from lotushill.placement.need import Need
    from lotushill.routing.service import Service
    from lotushill.routing.upstream import Upstream

_LATE_LOSS = 0.6
"""What a late answer loses."""
_GAP_LOSS = 0.6
"""What a stream loses by one pause that is too long."""
_FAILURE_LOSS = 0.9
_REREAD_LOSS_PER_TOKEN = 2.0e-4
"""What reading a shared token again costs that some upstream has read of late."""
_READING_LOSS_PER_TOKEN = 1e-5
"""What reading any token costs, since it keeps others waiting."""
_FETCH_LOSS_PER_TOKEN = 2e-5
"""What copying a token from another upstream costs."""
_SOUND_RATE = 0.2
"""Nothing is copied from an upstream that fails more often than this."""
_PACKED_SHARE = 0.6
"""Of the slots; beyond it such streams are spread."""
_OTHER_HALL_LOSS = 0.01
_CUT_HALL_LOSS = 1.0
"""What it costs to try a hall of whose gateways none is heard."""
_ORDER_LOSS = 0.5
"""What the farther end of the order of upstreams costs."""
_LATE_STEEPNESS = 6.0
_GAP_STEEPNESS = 8.0
_GAP_MIDDLE = 0.85
_MEMORY_SHARE = 0.95
_FULL_MEMORY_LOSS = 1.0
_CROWDING_LOSS = 0.05
_LONG_SHARE = 0.5
_MOST_HARM = 1.2
_LONG_RETRY = 1.0
_LONG_WAIT = 0.5
"""Of its target, how long a long request may wait until its prompt is read."""
_MOST_RANKED = 10_000
_SHORTEST_RETRY = 0.2
_LONGEST_RETRY = 3.0


class Fleet:
    """The model of all upstreams."""

    def __init__(
        self,
        hall: str,
        recent_seconds: float = 10.0,
        is_cut_off: Callable[[str], bool] = lambda _: False,
    ) -> None:
        """Make a model seen from `hall`.

        Parts used within `recent_seconds` are worth keeping; `is_cut_off` tells whether a hall
        seems out of reach.
        """
        self._hall = hall
        self._is_cut_off = is_cut_off
        self.recent = RecentParts(recent_seconds)
        self.usual = UsualRequests()
        self._loads: dict[str, UpstreamLoad] = {}
        self._paces: dict[str, Pace] = {}
        self._where: dict[str, str] = {}

    # Feeding the model

    def load(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of a upstream."""
        found = self._loads.get(upstream_id)
        if found is None:
            found = self._loads[upstream_id] = UpstreamLoad()
        return found

    def pace(self, service: str) -> Pace:
        """Return the pace of a service."""
        found = self._paces.get(service)
        if found is None:
            found = self._paces[service] = Pace()
        return found

    def start(self, placed: Placed, service: Service, now: float) -> None:
        """Count a request in, of this gateway or of another."""
        engine = service.engine
        load = self.load(placed.upstream)
        load.start(placed, engine.memory_tokens if engine else 0, now)
        parts = [PromptPart(*item) for item in zip(placed.part_ids, placed.part_tokens)]
        self.recent.note(parts, now)
        self._where[placed.request] = placed.upstream

    def begin(self, request: str, now: float) -> None:
        """Note the first event of a request."""
        upstream_id = self._where.get(request)
        if upstream_id is not None:
            self._loads[upstream_id].begin(request, now)

    def end(self, request: str) -> None:
        """Count a request out."""
        upstream_id = self._where.pop(request, None)
        if upstream_id is not None:
            self._loads[upstream_id].end(request)

    def knows(self, request: str) -> bool:
        """Return whether a request is counted in."""
        return request in self._where

    def forget(self, known: set[str], now: float) -> None:
        """Drop what is no longer of use: idle upstreams that no view knows, and old parts."""
        self.recent.forget(now)
        for upstream_id, load in list(self._loads.items()):
            if upstream_id not in known and not load.running:
                del self._loads[upstream_id]

    # Choosing

    def choose(
        self,
        need: Need,
        service: Service,
        upstreams: Iterable[Upstream],
        excluded: frozenset[str],
        now: float,
    ) -> Choice | NoChoice:
        """Return the cheapest upstream that can serve a request, or why there is none."""
        known = {item.id: item for item in upstreams}
        ranks = _ranks(need.service, known) if service.engine else {}
        candidates = [item for item in known.values() if item.id not in excluded]
        reachable = [item for item in candidates if not self.load(item.id).away(now)]
        if not candidates:
            return NoChoice("no upstream", 1.0)
        kept = self._kept(need, service, reachable, now)
        choices = [
            self._weigh(need, service, item, ranks.get(item.id, 0.0), kept, known, now)
            for item in reachable or candidates
        ]
        best = min(choices, key=lambda choice: choice.cost)
        if self._is_long(need) and self._overloaded(need, best):
            wait = max(_LONG_RETRY, best.wait)
            return NoChoice("overload", min(_LONGEST_RETRY, wait))
        soonest = min(choices, key=lambda choice: choice.first)
        if soonest.first > need.patience:
            wait = soonest.first - need.target
            return NoChoice("no room in time", min(_LONGEST_RETRY, max(_SHORTEST_RETRY, wait)))
        return best if best.first <= need.patience else soonest

    def _is_long(self, need: Need) -> bool:
        """Return whether a request's route has the longest prompts of its service.

        Under overload these are refused first: each leaves room for many short ones, and a
        short one is never refused while longer ones begin. The route decides and not the
        request, so that the large ones of a route are served as often as the small ones.
        """
        usual = self.usual.reading(need.service, need.route)
        return usual > _LONG_SHARE * self.usual.longest(need.service)

    def _overloaded(self, need: Need, choice: Choice) -> bool:
        """Return whether even the best place keeps a request waiting or harms others more."""
        return choice.wait > _LONG_WAIT * need.target or choice.pressure > _MOST_HARM

    def _kept(
        self, need: Need, service: Service, sources: Iterable[Upstream], now: float
    ) -> FetchPlanner | None:
        """Return what is kept where of a prompt, among upstreams that can be copied from."""
        if service.engine is None or not service.engine.link_rate:
            return None
        kept = {
            item.id: self.load(item.id).kept.matched(need.parts[:-1])
            for item in sources
            if self.load(item.id).failures.rate(now) < _SOUND_RATE
            and not self._is_cut_off(item.hall)
        }
        return FetchPlanner(service.engine, kept)

    def _weigh(
        self,
        need: Need,
        service: Service,
        upstream: Upstream,
        rank: float,
        planner: FetchPlanner | None,
        known: Mapping[str, Upstream],
        now: float,
    ) -> Choice:
        if service.engine is None:
            return self._weigh_plain(need, upstream, now)
        return self._weigh_engine(need, service, upstream, rank, planner, known, now)

    def _weigh_plain(self, need: Need, upstream: Upstream, now: float) -> Choice:
        load = self.load(upstream.id)
        usual = self.pace(need.service).answer_seconds * load.slowness(now)
        crowd = (len(load.running) + 1) / upstream.slots
        first = usual * max(1.0, crowd)
        cost = _LATE_LOSS * _logistic(_LATE_STEEPNESS * (first / need.target - 1.0))
        cost += _CROWDING_LOSS * crowd + self._standing_cost(upstream, load, now)
        return Choice(upstream, cost, first, 0, 0, first, running=len(load.running))

    def _weigh_engine(
        self,
        need: Need,
        service: Service,
        upstream: Upstream,
        rank: float,
        planner: FetchPlanner | None,
        known: Mapping[str, Upstream],
        now: float,
    ) -> Choice:
        engine = service.engine
        assert engine is not None
        load = self.load(upstream.id)
        pace = self.pace(need.service)
        rate = pace.read_rate / load.slowness(now)
        unread = load.unread(rate, now)
        matched = load.kept.matched(need.parts)
        fetch = planner.plan(upstream, matched, known, rate) if planner else None
        fetched = fetch.tokens if fetch else 0
        reading = max(0, need.prompt_tokens - matched - fetched)
        copying = fetch.seconds if fetch else 0.0
        first = max(unread / rate, copying) + reading / rate + pace.event_gap
        running = len(load.running)
        events = need.output_tokens / engine.tokens_per_event
        seconds = first + events * pace.event_gap * load.slowness(now)
        if running >= engine.slots:
            first += (running + 1 - engine.slots) * seconds / engine.slots
        cost = _LATE_LOSS * _logistic(_LATE_STEEPNESS * (first / need.target - 1.0))
        cost *= self.usual.weight(need.route, need.size)
        harm = self._harm(load, pace, unread / rate, reading / rate)
        cost += harm
        usual = self.usual.reading(need.service, need.route)
        pressure = self._harm(load, pace, unread / rate, usual / rate)
        cost += self._packing_cost(need, pace, rank, running / engine.slots)
        again = self.recent.again(need.parts, need.prompt_tokens - reading, now)
        cost += _REREAD_LOSS_PER_TOKEN * again + _READING_LOSS_PER_TOKEN * reading
        cost += _FETCH_LOSS_PER_TOKEN * fetched
        if load.memory + need.prompt_tokens + need.output_tokens > (
            _MEMORY_SHARE * engine.memory_tokens
        ):
            cost += _FULL_MEMORY_LOSS
        cost += self._standing_cost(upstream, load, now)
        return Choice(
            upstream,
            cost,
            first,
            reading,
            int(unread + reading),
            seconds,
            wait=unread / rate,
            harm=harm,
            pressure=pressure,
            again=again,
            running=running,
            fetch=fetch,
        )

    def _harm(self, load: UpstreamLoad, pace: Pace, before: float, reading: float) -> float:
        """Return what reading a prompt for so many seconds costs the streams beside it.

        Those that run may miss a pause now. As many come again while the prompt is read, and
        they miss theirs also where those that run have missed one already.
        """
        harm = 0.0
        coming = min(1.0, reading / pace.stream_seconds)
        for gap, count in load.gaps.items():
            allowed = max(0.001, gap - pace.event_gap)
            missed = _missed((before + reading) / allowed)
            harm += count * (missed - _missed(before / allowed))
            harm += count * coming * missed
        return _GAP_LOSS * harm

    def _packing_cost(self, need: Need, pace: Pace, rank: float, crowd: float) -> float:
        """Return what it costs to leave fewer upstreams fit for the long prompts of the moment.

        Streams with short pauses fill the upstreams from one end of an order that all gateways
        share, and long prompts from the other, so that each upstream keeps its kind of work and
        its prompt parts while the border moves with the mix.
        """
        spread = max(0.0, crowd - _PACKED_SHARE) + _CROWDING_LOSS * crowd
        if need.gap > 0 and need.gap - pace.event_gap < pace.long_reading:
            return _ORDER_LOSS * rank + spread
        if self._is_long(need):
            return _ORDER_LOSS * (1.0 - rank) + spread
        return spread

    def _standing_cost(self, upstream: Upstream, load: UpstreamLoad, now: float) -> float:
        cost = _FAILURE_LOSS * load.failures.rate(now)
        if upstream.hall != self._hall:
            cost += _CUT_HALL_LOSS if self._is_cut_off(upstream.hall) else _OTHER_HALL_LOSS
        return cost


def _ranks(service: str, upstreams: Iterable[str]) -> dict[str, float]:
    """Return the place of each upstream, from 0 to 1, in an order that all gateways share."""
    order = ranked(service, upstreams, _MOST_RANKED)
    last = max(1, len(order) - 1)
    return {upstream: place / last for place, upstream in enumerate(order)}


def _missed(share: float) -> float:
    """Return how likely a pause is too long that takes this share of what is allowed."""
    return _logistic(_GAP_STEEPNESS * (share - _GAP_MIDDLE))


def _logistic(value: float) -> float:
    if value > 40:
        return 1.0
    return 1.0 / (1.0 + math.exp(-value))
