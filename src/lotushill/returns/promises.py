"""Stores the Retry-After times of refused callers, at each gateway that places requests. Pure.

A caller is identified by its number, which is the same at all gateways, so that it may return to
any of them. A promise is used once, and is valid neither before its time nor long after it.
"""

from __future__ import annotations

from collections import Counter
from collections import deque
from typing import TYPE_CHECKING

from lotushill.returns.promise import Promise
from lotushill.returns.promise import PromiseState
from lotushill.returns.schedule import MIN_RETRY_AFTER_SECONDS
from lotushill.returns.schedule import RESERVED_FRACTION
from lotushill.returns.schedule import return_time
from lotushill.returns.start_rate import StartRate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.returns.promise import Requester

EARLY_TOLERANCE_SECONDS = 0.05
"""Time before its due time from which a return is on time: clocks and network delays differ by
less."""
MAX_PROMISES = 4096
"""Maximum number of stored promises, some two megabytes. Callers refused beyond that get no
promise."""
MAX_STATES_PER_ROUND = 90
"""Maximum number of promises sent to others at one time, so that they fit in three datagrams."""
_MAX_DUE_SECONDS = 60.0
"""Upper bound of the time until due of a received promise: no client waits so long."""
_SEND_DELAY_SECONDS = 0.1
"""Delay until a promise is sent to others, unless its refusal is final. A request that waits at its
gateway is refused again and again, and only the last refusal reaches its client."""
_SENDS_PER_PROMISE = 2
"""Number of times that each promise is sent to others, in case a datagram is lost."""
_SHORTAGE_SECONDS = 0.5
"""Time after a refusal or a wait in a tier for which early returns to that tier are refused."""
_URGENT_REFUSAL_SECONDS = 5.0
"""Time after a refusal in a tier for which returns to less urgent tiers have no priority: users
compare a refusal with the requests that began within five seconds of it."""
_RESERVE_WINDOW_SECONDS = 1.0
"""Time window over which the fraction of returns is counted."""
_MAX_COUNTED_RETURNS = 512
"""Maximum number of returns counted within that window."""
_SWEEP_INTERVAL_SECONDS = 0.25
"""Interval between two sweeps for expired promises."""


class ReturnPromises:
    """The promises to refused callers, made here or received from other gateways."""

    def __init__(self) -> None:
        self.start_rate = StartRate()
        self._promises: dict[int, Promise] = {}
        self._open_counts: Counter[tuple[str, int]] = Counter()
        """Number of unused promises with priority, by service and tier."""
        self._last_refused: dict[tuple[str, int], float] = {}
        """When a request of a service and tier was last refused for lack of capacity."""
        self._last_waited: dict[tuple[str, int], float] = {}
        """When a request of a service and tier last had to wait for capacity."""
        self._placed_returns: dict[tuple[str, int], deque[float]] = {}
        """When returns were placed, by service and tier."""
        self._to_send: dict[int, None] = {}
        self._next_sweep = float("-inf")
        self.promised_count = 0
        """Number of promises with priority made here since the start."""
        self.placed_count = 0
        """Number of returns placed here as promised since the start."""
        self.early_count = 0
        """Number of early returns received here since the start."""

    def __len__(self) -> int:
        """Return the number of unused promises with priority."""
        return self._open_counts.total()

    def retry_after(
        self, requester: Requester, spread: float, now: float, final: bool = False
    ) -> float:
        """Return after how many seconds a refused request should be sent again.

        A promise with priority stays, however often its caller is refused. `spread`, from 0 to 1,
        is drawn at random for each request. A `final` refusal is sent to other gateways at once:
        its caller may come to any of them before its time.
        """
        self._sweep(now)
        self._last_refused[requester.service, requester.tier] = now
        known = self._promises.get(requester.caller)
        if known is not None and known.prioritized and not known.used and now <= known.expires_at:
            known.refused_at = now
            if final:
                known.send_at = min(known.send_at, now)
            return max(MIN_RETRY_AFTER_SECONDS, known.due_at - now)
        rate = self.start_rate.rate(requester.service, requester.tier, now)
        result = return_time(self._backlog(requester), rate, requester.time_left, spread)
        if requester.caller and len(self._promises) < MAX_PROMISES:
            self.promised_count += result.promised
            due = now + result.seconds
            promise = Promise(
                requester.service, requester.tier, due, now, result.promised, own=True
            )
            promise.send_at = now if final else now + _SEND_DELAY_SECONDS
            self._store(requester.caller, promise)
        return result.seconds

    def _backlog(self, requester: Requester) -> int:
        return sum(
            count
            for (service, tier), count in self._open_counts.items()
            if service == requester.service and tier <= requester.tier
        )

    def note_capacity_wait(self, service: str, tier: int, now: float) -> None:
        """Note that a request of a tier has to wait for capacity."""
        self._last_waited[service, tier] = now

    def has_due_promise(self, caller: int, now: float) -> bool:
        """Return whether a caller returns on time to a promise with priority."""
        known = self._promises.get(caller)
        if known is None or known.used or not known.prioritized:
            return False
        return known.due_at - EARLY_TOLERANCE_SECONDS <= now <= known.expires_at

    def is_due(self, caller: int, now: float) -> bool:
        """Return whether a caller returns as promised while the reserve is not used up."""
        if not self.has_due_promise(caller, now):
            return False
        known = self._promises[caller]
        if self._more_urgent_refused(known, now):
            return False
        placed_at = self._placed_returns.get((known.service, known.tier), ())
        recent_count = sum(now - at < _RESERVE_WINDOW_SECONDS for at in placed_at)
        rate = self.start_rate.rate(known.service, known.tier, now)
        return recent_count < max(1.0, RESERVED_FRACTION * rate * _RESERVE_WINDOW_SECONDS)

    def _more_urgent_refused(self, promise: Promise, now: float) -> bool:
        return any(
            service == promise.service
            and tier < promise.tier
            and now - at < _URGENT_REFUSAL_SECONDS
            for (service, tier), at in self._last_refused.items()
        )

    def seconds_early(self, requester: Requester, now: float) -> float:
        """Return how many seconds too early a caller's return is, 0 if it is not.

        While no other request is refused, a return is accepted at any time.
        """
        known = self._promises.get(requester.caller)
        if known is None or known.used or requester.arrived <= known.refused_at:
            return 0.0
        if requester.arrived >= known.due_at - EARLY_TOLERANCE_SECONDS:
            return 0.0
        key = requester.service, requester.tier
        never = float("-inf")
        if (
            now - max(self._last_refused.get(key, never), self._last_waited.get(key, never))
            > _SHORTAGE_SECONDS
        ):
            return 0.0
        self.early_count += 1
        return max(0.0, known.due_at - now)

    def note_placed(self, caller: int, now: float) -> bool:
        """Note that a caller's request was placed; return whether that was promised."""
        known = self._promises.get(caller)
        if known is None or known.used:
            return False
        promised = self.has_due_promise(caller, now)
        if promised:
            self.placed_count += 1
            key = known.service, known.tier
            self._placed_returns.setdefault(key, deque(maxlen=_MAX_COUNTED_RETURNS)).append(now)
        if known.prioritized:
            self._open_counts[known.service, known.tier] -= 1
        known.used = True
        known.times_sent, known.send_at = _SENDS_PER_PROMISE - 1, now
        self._to_send[caller] = None
        return promised

    def due_states(self, now: float) -> list[PromiseState]:
        """Return the promises to send now to the other gateways that place requests."""
        self._sweep(now)
        to_send = []
        for caller in list(self._to_send):
            item = self._promises.get(caller)
            if item is None or item.times_sent >= _SENDS_PER_PROMISE:
                del self._to_send[caller]
            elif item.send_at <= now:
                item.times_sent += 1
                item.send_at = now + max(_SEND_DELAY_SECONDS, (item.due_at - now) / 2)
                to_send.append(_promise_state(caller, item, now))
                if len(to_send) == MAX_STATES_PER_ROUND:
                    break
        return to_send

    def open_states(self, now: float) -> list[PromiseState]:
        """Return the unused promises that are due first, for a gateway without them."""
        open_promises = [
            (item.due_at, caller)
            for caller, item in self._promises.items()
            if not item.used and now <= item.expires_at
        ]
        return [
            _promise_state(caller, self._promises[caller], now)
            for _, caller in sorted(open_promises)[:MAX_STATES_PER_ROUND]
        ]

    def merge(self, states: Iterable[PromiseState], now: float) -> None:
        """Merge the promises that another gateway has sent."""
        for state in states:
            known = self._promises.get(state.caller)
            if known is None and len(self._promises) >= MAX_PROMISES:
                continue
            if not state.due_in < _MAX_DUE_SECONDS:
                continue
            due, used = now + state.due_in, state.used
            if known is not None:
                # A waiting request queries several gateways; its client got one of their times.
                due, used = min(due, known.due_at), used or known.used
            promise = Promise(
                state.service, state.tier, due, now, state.first, own=False, used=used
            )
            self._store(state.caller, promise)

    def _store(self, caller: int, promise: Promise) -> None:
        self._drop(caller)
        self._promises[caller] = promise
        if promise.prioritized and not promise.used:
            self._open_counts[promise.service, promise.tier] += 1
        if promise.own:
            self._to_send[caller] = None

    def _drop(self, caller: int) -> None:
        previous = self._promises.pop(caller, None)
        if previous is not None and previous.prioritized and not previous.used:
            self._open_counts[previous.service, previous.tier] -= 1

    def _sweep(self, now: float) -> None:
        if now < self._next_sweep:
            return
        self._next_sweep = now + _SWEEP_INTERVAL_SECONDS
        expired = [caller for caller, item in self._promises.items() if now > item.expires_at]
        for caller in expired:
            self._drop(caller)


def _promise_state(caller: int, item: Promise, now: float) -> PromiseState:
    return PromiseState(
        caller, item.service, item.tier, item.due_at - now, item.prioritized, item.used
    )
