"""Computes the expected cost of running one request on each upstream.

Costs are shares of the request's credit. Performs no I/O.
"""

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
"""Loss of a late answer."""
_LONG_PAUSE_LOSS = 0.6
"""Loss of a stream by one pause that is too long."""
_FAILURE_LOSS = 0.9
_REREAD_LOSS_PER_TOKEN = 2.0e-4
"""Cost of processing again a shared token that some upstream has processed recently."""
_PREFILL_LOSS_PER_TOKEN = 1e-5
"""Cost of processing any token, since it delays other requests."""
_PACKED_FRACTION = 0.6
"""Fraction of the slots up to which streams with short allowed pauses are packed on one upstream;
above it they are spread."""
_OTHER_HALL_LOSS = 0.01
_UNREACHABLE_HALL_LOSS = 1.0
"""Cost of trying a hall none of whose gateways responds."""
_ORDER_LOSS = 0.5
"""Cost of the far end of the order of upstreams."""
_LONG_PROMPT_ORDER_LOSS = 0.1
"""Cost of the near end for long prompts. It is lower, since their effect on other streams is
weighed separately."""
_REFERENCE_RUNNING = 8
"""Number of running requests at which the pause is compared with the allowed one, to detect streams
that are sensitive to long pauses."""
_SENSITIVE_MARGIN = 1.05
_UNKNOWN_PACE_FRACTION = 0.25
"""Fraction of the slots that are filled as on any other upstream before its pace is known: if it is
slow, few requests are late, and the first event reveals it."""
_UNKNOWN_PACE_LOSS = 0.3
"""Half the loss of a late answer: less than being late for certain, so that the upstream is not
starved either."""
_LATE_STEEPNESS = 6.0
_MAX_MEMORY_FRACTION = 0.95
_FULL_MEMORY_LOSS = 1.0
_CROWDING_LOSS = 0.05


@dataclass(frozen=True)
class Location:
    """Location of this gateway, from which upstreams are reached."""

    hall: str
    unreachable_halls: frozenset[str]
    """Halls that seem unreachable."""

    def path_loss(self, upstream: Upstream) -> float:
        """Return the cost of the network path to an upstream."""
        if upstream.hall == self.hall:
            return 0.0
        return (
            _UNREACHABLE_HALL_LOSS if upstream.hall in self.unreachable_halls else _OTHER_HALL_LOSS
        )


class PlainWeigher:
    """Weighs instances of a plain service for one request."""

    def __init__(
        self, need: Need, pace: ServicePace, location: Location, has_deviating: bool, now: float
    ) -> None:
        """Store the inputs that are the same for all instances.

        `has_deviating` states whether instances differ in pace.
        """
        self._need = need
        self._pace = pace
        self._location = location
        self._has_deviating = has_deviating
        self._now = now

    def weigh(self, upstream: Upstream, load: UpstreamLoad, rank: float) -> Choice:
        """Return the choice of one upstream; its rank is not used."""
        del rank
        expected_seconds = (
            self._pace.answer_seconds
            * load.pace.long_term_prefill_slowness
            * load.slowness(self._now)
        )
        load_ratio = (len(load.running) + 1) / upstream.slots
        first_event_seconds = expected_seconds * max(1.0, load_ratio)
        cost = _late_loss(first_event_seconds, self._need.target) + _CROWDING_LOSS * load_ratio
        cost += _FAILURE_LOSS * load.failures.rate(self._now) + self._location.path_loss(upstream)
        if self._has_deviating:
            cost += _unknown_pace_loss(load, upstream.slots)
        return Choice(
            upstream,
            cost,
            first_event_seconds,
            0,
            0,
            first_event_seconds,
            running=len(load.running),
        )


@dataclass(frozen=True)
class TypicalRequest:
    """Typical values for the route of a request."""

    prefill_tokens: float
    """Prompt tokens that an upstream typically has to process."""
    weight: float
    """Weight of the request relative to a typical one."""
    is_long_route: bool
    """Whether the route has the longest prompts of its service."""


@dataclass(frozen=True)
class _Forecast:
    """Predictions for a request on one upstream; times are in seconds, lengths in tokens."""

    pauses: UpstreamPauses
    """Pauses between the events of its streams."""
    prefill_rate: float
    """Prompt tokens that it processes per second."""
    queued_seconds: float
    """Time to process the prompts that are already queued."""
    tokens_ahead: float
    """Prompt tokens of other requests that are processed first."""
    wait_seconds: float
    """Time to process the prompt tokens of other requests that are processed first."""
    slot_wait_seconds: float
    """Time until a slot becomes free."""
    is_full: bool
    """Whether requests of the same or higher urgency take all slots."""
    fetch: Fetch | None
    prefill_tokens: int
    """Prompt tokens of the request itself that are processed."""
    first_event_seconds: float
    """Time to the first event."""
    answer_seconds: float
    """Time to the complete answer, without the wait for a slot."""

    @property
    def prefill_seconds(self) -> float:
        """Return the time to process the request's own prompt."""
        return self.prefill_tokens / self.prefill_rate


class EngineWeigher:
    """Weighs model engines for one request."""

    def __init__(
        self,
        need: Need,
        engine: EngineProfile,
        pace: ServicePace,
        typical: TypicalRequest,
        location: Location,
        chain: Chain,
        recent: RecentParts,
        planner: FetchPlanner | None,
        has_deviating: bool,
        now: float,
    ) -> None:
        """Store the inputs that are the same for all upstreams; `chain` is the request's prompt.

        `has_deviating` states whether engines of the service are known to differ in pace.
        """
        self._need = need
        self._engine = engine
        self._pace = pace
        self._typical = typical
        self._location = location
        self._chain = chain
        self._shared = chain[:-1]
        self._recent = recent
        self._planner = planner
        self._has_deviating = has_deviating
        self._now = now
        self._events = need.output_tokens / engine.tokens_per_event
        prefill_pause = pace.pauses.during_prefill(
            pace.long_prefill_seconds, _REFERENCE_RUNNING, 1.0
        )
        self._is_sensitive = 0 < need.target_gap < _SENSITIVE_MARGIN * prefill_pause

    def weigh(self, upstream: Upstream, load: UpstreamLoad, rank: float) -> Choice:
        """Return the choice of one upstream; `rank` is its position, 0 to 1, in a shared order."""
        forecast = self._forecast(upstream, load)
        interference = self._interference_cost(
            load, forecast, forecast.prefill_seconds
        ) + self._own_pause_loss(forecast)
        cached_tokens = self._need.prompt_tokens - forecast.prefill_tokens
        reread_tokens = self._recent.reread_chain_tokens(self._shared, cached_tokens, self._now)
        fetched_tokens = forecast.fetch.tokens if forecast.fetch else 0
        # Computed as if all queued prompts were processed first: an upstream with a long prefill
        # queue is soon late for the next requests, even if this request would overtake the queue.
        late = _late_loss(
            forecast.first_event_seconds + forecast.queued_seconds - forecast.wait_seconds,
            self._need.target,
        )
        cost = self._typical.weight * late + interference
        cost += self._packing_loss(rank, len(load.running) / self._engine.slots)
        cost += (
            _REREAD_LOSS_PER_TOKEN * reread_tokens
            + _PREFILL_LOSS_PER_TOKEN * forecast.prefill_tokens
        )
        cost += COPY_LOSS_PER_TOKEN * fetched_tokens + self._memory_loss(load)
        cost += _FAILURE_LOSS * load.failures.rate(self._now) + self._location.path_loss(upstream)
        if self._has_deviating:
            cost += _unknown_pace_loss(load, self._engine.slots)
        return Choice(
            upstream,
            cost,
            forecast.first_event_seconds,
            forecast.prefill_tokens,
            int(forecast.tokens_ahead + forecast.prefill_tokens),
            forecast.answer_seconds,
            wait_seconds=forecast.wait_seconds + forecast.slot_wait_seconds,
            interference_cost=interference,
            typical_request_cost=self._typical_request_cost(load, forecast, rank),
            reread_tokens=reread_tokens,
            running=len(load.running),
            is_full=forecast.is_full,
            fetch=forecast.fetch,
        )

    def _forecast(self, upstream: Upstream, load: UpstreamLoad) -> _Forecast:
        need, pace, slots = self._need, self._pace, self._engine.slots
        slowness = load.pace.step_slowness(self._now)
        rate = pace.prefill_rate / (slowness * load.pace.long_term_prefill_slowness)
        tokens_ahead = load.prefill_queue.tokens_ahead(need.tier, rate, self._now)
        cached_tokens = load.prefix_cache.matched_chain_tokens(self._chain)
        fetch = self._planner.plan(upstream, cached_tokens, rate) if self._planner else None
        prefill_tokens = max(0, need.prompt_tokens - cached_tokens - (fetch.tokens if fetch else 0))
        wait_seconds = tokens_ahead / rate
        pauses = pace.pauses.on_upstream(len(load.running), slowness)
        baseline = pauses.quiet
        first_event_seconds = (
            max(wait_seconds, fetch.seconds if fetch else 0.0) + prefill_tokens / rate + baseline
        )
        answer_seconds = first_event_seconds + self._events * baseline
        excess_requests = load.count_before(need.tier) + 1 - slots
        # Slots become free at the rate at which the requests that hold them end, however short this
        # request is.
        slot_wait_seconds = max(0, excess_requests) * load.mean_expected_seconds / slots
        return _Forecast(
            pauses=pauses,
            prefill_rate=rate,
            queued_seconds=load.prefill_queue.remaining_tokens(rate, self._now) / rate,
            tokens_ahead=tokens_ahead,
            wait_seconds=wait_seconds,
            slot_wait_seconds=slot_wait_seconds,
            is_full=excess_requests > 0,
            fetch=fetch,
            prefill_tokens=prefill_tokens,
            first_event_seconds=first_event_seconds + slot_wait_seconds,
            answer_seconds=answer_seconds,
        )

    def _own_pause_loss(self, forecast: _Forecast) -> float:
        """Return the loss of the request by queued prefill that delays its own events."""
        target_gap = self._need.target_gap
        if not target_gap:
            return 0.0
        return _LONG_PAUSE_LOSS * exceed_probability(
            forecast.pauses.during_prefill(forecast.queued_seconds), target_gap
        )

    def _typical_request_cost(self, load: UpstreamLoad, forecast: _Forecast, rank: float) -> float:
        if not self._typical.is_long_route:
            return 0.0
        prefill_seconds = self._typical.prefill_tokens / forecast.prefill_rate
        late = _late_loss(
            forecast.wait_seconds + forecast.slot_wait_seconds + prefill_seconds, self._need.target
        )
        load_ratio = len(load.running) / self._engine.slots
        interference = self._interference_cost(load, forecast, prefill_seconds)
        return late + interference + self._packing_loss(rank, load_ratio)

    def _interference_cost(
        self, load: UpstreamLoad, forecast: _Forecast, prefill_seconds: float
    ) -> float:
        """Return the cost to the other streams of a prefill of `prefill_seconds`.

        Running streams may miss a pause now. As many streams arrive again during the prefill, and
        they miss theirs even if the running ones have already missed one.
        """
        expected_misses = 0.0
        arriving = min(1.0, prefill_seconds / self._pace.stream_seconds)
        pause_before = forecast.pauses.during_prefill(forecast.queued_seconds)
        pause_after = forecast.pauses.during_prefill(forecast.queued_seconds + prefill_seconds)
        for target_gap, count in load.streams_by_target_gap.items():
            misses = exceed_probability(pause_after, target_gap)
            added = (
                misses - exceed_probability(pause_before, target_gap)
                if pause_after > pause_before
                else 0.0
            )
            expected_misses += count * (added + arriving * misses)
        return _LONG_PAUSE_LOSS * expected_misses

    def _packing_loss(self, rank: float, load_ratio: float) -> float:
        """Return the cost of leaving fewer upstreams suitable for the current long prompts.

        Streams with short allowed pauses fill the upstreams from one end of an order that all
        gateways share, and long prompts from the other, so that each upstream keeps its kind of
        work and its cached prompt parts while the border moves with the mix.
        """
        spread_loss = max(0.0, load_ratio - _PACKED_FRACTION) + _CROWDING_LOSS * load_ratio
        if self._is_sensitive:
            return _ORDER_LOSS * rank + spread_loss
        if self._typical.is_long_route:
            return _LONG_PROMPT_ORDER_LOSS * (1.0 - rank) + spread_loss
        return spread_loss

    def _memory_loss(self, load: UpstreamLoad) -> float:
        held_tokens = load.reserved_tokens + self._need.prompt_tokens + self._need.output_tokens
        return (
            _FULL_MEMORY_LOSS
            if held_tokens > _MAX_MEMORY_FRACTION * self._engine.memory_tokens
            else 0.0
        )


def _unknown_pace_loss(load: UpstreamLoad, slots: int) -> float:
    """Return the cost of sending more requests to an upstream whose pace is still unknown."""
    if load.pace.is_known or len(load.running) < _UNKNOWN_PACE_FRACTION * slots:
        return 0.0
    return _UNKNOWN_PACE_LOSS


def _late_loss(seconds: float, target: float) -> float:
    """Return the expected loss of a first event after `seconds`."""
    return _LATE_LOSS * logistic(_LATE_STEEPNESS * (seconds / target - 1.0))
