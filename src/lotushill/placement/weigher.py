"""What it would cost to run one request on each upstream; costs are shares of its credit. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.placement.backup import COPY_LOSS_PER_TOKEN
from lotushill.placement.choice import Choice
from lotushill.placement.pauses import exceed_probability
from lotushill.placement.pauses import logistic

if TYPE_CHECKING:
    from lotushill.placement.fetch import Fetch
    from lotushill.placement.fetch import FetchPlanner
    from lotushill.placement.need import Need
    from lotushill.placement.pace import ServicePace
    from lotushill.placement.pauses import UpstreamPauses
    from lotushill.placement.prefix_cache_model import Chain
    from lotushill.placement.recent_parts import RecentParts
    from lotushill.placement.upstream_load import UpstreamLoad
    from lotushill.routing.service import EngineProfile
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
_PACKED_SHARE = 0.6
"""Of the slots; beyond it such streams are spread."""
_OTHER_HALL_LOSS = 0.01
_CUT_HALL_LOSS = 1.0
"""What it costs to try a hall of whose gateways none is heard."""
_ORDER_LOSS = 0.5
"""What the farther end of the order of upstreams costs."""
_FAR_ORDER_LOSS = 0.1
"""What the nearer end costs long prompts: less, since what they do to others is weighed itself."""
_FEW_RUNNING = 8
"""Requests beside which a pause is held against what is allowed, to tell delicate streams."""
_DELICATE_MARGIN = 1.05
_UNTRIED_SHARE = 0.25
"""Of the slots, filled as on any other upstream before its pace is known: if it is slow, as few
are late, and a first event tells."""
_UNTRIED_LOSS = 0.3
"""Half of a late answer: less than being late for certain, so that it is not starved either."""
_LATE_STEEPNESS = 6.0
_MEMORY_SHARE = 0.95
_FULL_MEMORY_LOSS = 1.0
_CROWDING_LOSS = 0.05


@dataclass(frozen=True)
class Location:
    """Where an upstream stands."""

    hall: str
    cut: frozenset[str]
    """Halls that seem out of reach."""

    def loss(self, upstream: Upstream) -> float:
        """Return what the way to an upstream costs."""
        if upstream.hall == self.hall:
            return 0.0
        return _CUT_HALL_LOSS if upstream.hall in self.cut else _OTHER_HALL_LOSS


class PlainWeigher:
    """Weighs instances of a plain service for one request."""

    def __init__(
        self, need: Need, pace: ServicePace, place: Location, differing: bool, now: float
    ) -> None:
        """Take in what is the same for all; `differing` says that instances differ in pace."""
        self._need = need
        self._pace = pace
        self._place = place
        self._differing = differing
        self._now = now

    def weigh(self, upstream: Upstream, load: UpstreamLoad, rank: float) -> Choice:
        """Return the choice of one upstream; its rank has no part in it."""
        del rank
        usual = (
            self._pace.answer_seconds * load.pace.long_term_read_slowness * load.slowness(self._now)
        )
        crowd = (len(load.running) + 1) / upstream.slots
        first = usual * max(1.0, crowd)
        cost = _late(first, self._need.target) + _CROWDING_LOSS * crowd
        cost += _FAILURE_LOSS * load.failures.rate(self._now) + self._place.loss(upstream)
        if self._differing:
            cost += _untried_loss(load, upstream.slots)
        return Choice(upstream, cost, first, 0, 0, first, running=len(load.running))


@dataclass(frozen=True)
class TypicalRequest:
    """What is usual for the route of a request."""

    reading: float
    """Prompt tokens that an upstream has to read."""
    weight: float
    """What the request counts for beside a usual one."""
    long: bool
    """Whether the route has the longest prompts of its service."""


@dataclass(frozen=True)
class _Forecast:
    """What a request is likely to meet on one upstream; times are seconds, lengths tokens."""

    pauses: UpstreamPauses
    """Between the events of its streams."""
    rate: float
    """Prompt tokens that it reads in a second."""
    due: float
    """How long it reads what it was sent already."""
    ahead: float
    """Prompt tokens of others that are read first."""
    wait: float
    """How long that takes."""
    queue: float
    """How long a slot is waited for."""
    full: bool
    """Whether requests as urgent take all slots."""
    fetch: Fetch | None
    reading: int
    """Prompt tokens of its own that are read."""
    first: float
    """Time to the first event."""
    seconds: float
    """Time to the whole answer, without the queue."""

    @property
    def reading_seconds(self) -> float:
        """Return how long its own prompt is read."""
        return self.reading / self.rate


class EngineWeigher:
    """Weighs model engines for one request."""

    def __init__(
        self,
        need: Need,
        engine: EngineProfile,
        pace: ServicePace,
        usual: TypicalRequest,
        place: Location,
        chain: Chain,
        recent: RecentParts,
        planner: FetchPlanner | None,
        differing: bool,
        now: float,
    ) -> None:
        """Take in what is the same for all upstreams; `chain` is the request's prompt.

        `differing` says that engines of the service are known to differ in pace.
        """
        self._need = need
        self._engine = engine
        self._pace = pace
        self._usual = usual
        self._place = place
        self._chain = chain
        self._shared = chain[:-1]
        self._recent = recent
        self._planner = planner
        self._differing = differing
        self._now = now
        self._events = need.output_tokens / engine.tokens_per_event
        beside = pace.pauses.during_prefill(pace.long_prefill_seconds, _FEW_RUNNING, 1.0)
        self._delicate = 0 < need.target_gap < _DELICATE_MARGIN * beside

    def weigh(self, upstream: Upstream, load: UpstreamLoad, rank: float) -> Choice:
        """Return the choice of one upstream; `rank` is its place, 0 to 1, in the shared order."""
        seen = self._forecast(upstream, load)
        harm = self._harm(load, seen, seen.reading_seconds) + self._own_gap_loss(seen)
        read = self._need.prompt_tokens - seen.reading
        again = self._recent.reread_chain_tokens(self._shared, read, self._now)
        fetched = seen.fetch.tokens if seen.fetch else 0
        # Held as if all that is due were read first: an upstream with much to read is soon late for
        # whoever comes next, also where this request would overtake it.
        late = _late(seen.first + seen.due - seen.wait, self._need.target)
        cost = self._usual.weight * late + harm
        cost += self._packing_loss(rank, len(load.running) / self._engine.slots)
        cost += _REREAD_LOSS_PER_TOKEN * again + _READING_LOSS_PER_TOKEN * seen.reading
        cost += COPY_LOSS_PER_TOKEN * fetched + self._memory_loss(load)
        cost += _FAILURE_LOSS * load.failures.rate(self._now) + self._place.loss(upstream)
        if self._differing:
            cost += _untried_loss(load, self._engine.slots)
        return Choice(
            upstream,
            cost,
            seen.first,
            seen.reading,
            int(seen.ahead + seen.reading),
            seen.seconds,
            wait_seconds=seen.wait + seen.queue,
            interference_cost=harm,
            typical_request_cost=self._usual_loss(load, seen, rank),
            reread_tokens=again,
            running=len(load.running),
            is_full=seen.full,
            fetch=seen.fetch,
        )

    def _forecast(self, upstream: Upstream, load: UpstreamLoad) -> _Forecast:
        need, pace, slots = self._need, self._pace, self._engine.slots
        slowness = load.pace.step_slowness(self._now)
        rate = pace.read_rate / (slowness * load.pace.long_term_read_slowness)
        ahead = load.prefill_queue.tokens_ahead(need.tier, rate, self._now)
        matched = load.prefix_cache.matched_chain_tokens(self._chain)
        fetch = self._planner.plan(upstream, matched, rate) if self._planner else None
        reading = max(0, need.prompt_tokens - matched - (fetch.tokens if fetch else 0))
        wait = ahead / rate
        pauses = pace.pauses.on_upstream(len(load.running), slowness)
        quiet = pauses.quiet
        first = max(wait, fetch.seconds if fetch else 0.0) + reading / rate + quiet
        seconds = first + self._events * quiet
        excess = load.count_before(need.tier) + 1 - slots
        # A slot comes free as fast as those who hold the slots end, however short this request is.
        queue = max(0, excess) * load.mean_expected_seconds / slots
        return _Forecast(
            pauses=pauses,
            rate=rate,
            due=load.prefill_queue.remaining_tokens(rate, self._now) / rate,
            ahead=ahead,
            wait=wait,
            queue=queue,
            full=excess > 0,
            fetch=fetch,
            reading=reading,
            first=first + queue,
            seconds=seconds,
        )

    def _own_gap_loss(self, seen: _Forecast) -> float:
        """Return what the request loses by readings that are due beside its own events."""
        gap = self._need.target_gap
        if not gap:
            return 0.0
        return _GAP_LOSS * exceed_probability(seen.pauses.during_prefill(seen.due), gap)

    def _usual_loss(self, load: UpstreamLoad, seen: _Forecast, rank: float) -> float:
        if not self._usual.long:
            return 0.0
        reading = self._usual.reading / seen.rate
        late = _late(seen.wait + seen.queue + reading, self._need.target)
        crowd = len(load.running) / self._engine.slots
        harm = self._harm(load, seen, reading)
        return late + harm + self._packing_loss(rank, crowd)

    def _harm(self, load: UpstreamLoad, seen: _Forecast, reading: float) -> float:
        """Return what reading a prompt for so many seconds costs the streams beside it.

        Those that run may miss a pause now. As many come again while the prompt is read, and
        they miss theirs also where those that run have missed one already.
        """
        harm = 0.0
        coming = min(1.0, reading / self._pace.stream_seconds)
        before = seen.pauses.during_prefill(seen.due)
        after = seen.pauses.during_prefill(seen.due + reading)
        for gap, count in load.streams_by_target_gap.items():
            misses = exceed_probability(after, gap)
            added = misses - exceed_probability(before, gap) if after > before else 0.0
            harm += count * (added + coming * misses)
        return _GAP_LOSS * harm

    def _packing_loss(self, rank: float, crowd: float) -> float:
        """Return what it costs to leave fewer upstreams fit for the long prompts of the moment.

        Streams with short pauses fill the upstreams from one end of an order that all gateways
        share, and long prompts from the other, so that each upstream keeps its kind of work and
        its prompt parts while the border moves with the mix.
        """
        spread = max(0.0, crowd - _PACKED_SHARE) + _CROWDING_LOSS * crowd
        if self._delicate:
            return _ORDER_LOSS * rank + spread
        if self._usual.long:
            return _FAR_ORDER_LOSS * (1.0 - rank) + spread
        return spread

    def _memory_loss(self, load: UpstreamLoad) -> float:
        held = load.reserved_tokens + self._need.prompt_tokens + self._need.output_tokens
        return _FULL_MEMORY_LOSS if held > _MEMORY_SHARE * self._engine.memory_tokens else 0.0


def _untried_loss(load: UpstreamLoad, slots: int) -> float:
    """Return what it costs to send more to an upstream of whose pace nothing is known yet."""
    if load.pace.is_known or len(load.running) < _UNTRIED_SHARE * slots:
        return 0.0
    return _UNTRIED_LOSS


def _late(first: float, target: float) -> float:
    """Return what a first event after so many seconds is likely to lose."""
    return _LATE_LOSS * logistic(_LATE_STEEPNESS * (first / target - 1.0))
