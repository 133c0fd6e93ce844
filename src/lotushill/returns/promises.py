"""Who was told to come back, and when: kept by each gateway that places requests. Pure.

A caller is known by its number, which is the same at all gateways, so that it may return to any of
them. A promise is used once, and counts neither before its time nor long after it.
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
"""So much before its time a return still counts: clocks and ways differ by less."""
MAX_PROMISES = 4096
"""At one time, some two megabytes. Whoever is refused beyond that is promised nothing."""
MAX_STATES_PER_ROUND = 90
"""At one time, so that three datagrams hold them."""
_LONGEST_SECONDS = 60.0
"""No promise that is heard lies further ahead: no client waits so long."""
_SETTLED_SECONDS = 0.1
"""A request that waits at its gateway is refused again and again; only the last refusal is told to
its client."""
_TELLINGS = 2
"""So often each promise is told to others, in case that a datagram is lost."""
_SCARCE_SECONDS = 0.5
"""While somebody of a tier was refused so lately, who comes before its time takes no room."""
_TIER_SECONDS = 5.0
"""While a more urgent tier was refused so lately, none of a less urgent one goes first: users hold
what was refused against what began within five seconds of it."""
_RESERVE_SECONDS = 1.0
"""The time over which the share of those who return is counted."""
_MOST_COUNTED = 512
"""Returns that are counted within that time."""
_FORGET_SECONDS = 0.25
"""Between two looks for promises that are over."""


class ReturnPromises:
    """The promises that are open."""

    def __init__(self) -> None:
        self.start_rate = StartRate()
        self._promises: dict[int, Promise] = {}
        self._open: Counter[tuple[str, int]] = Counter()
        """Places that are kept and not used, by service and tier."""
        self._refused: dict[tuple[str, int], float] = {}
        """When a tier of a service was last refused room."""
        self._scarce: dict[tuple[str, int], float] = {}
        """When one last had to wait for it."""
        self._served: dict[tuple[str, int], deque[float]] = {}
        """When returns of a tier were placed."""
        self._to_tell: dict[int, None] = {}
        self._forget_at = float("-inf")
        self.made = 0
        """Places promised here so far."""
        self.kept = 0
        """Returns that were placed here as promised so far."""
        self.early = 0
        """Asks of returns before their time so far."""

    def __len__(self) -> int:
        """Return how many places are kept."""
        return self._open.total()

    # Refusing

    def retry_after(
        self, asker: Requester, spread: float, now: float, final: bool = False
    ) -> float:
        """Return after how many seconds a request that is refused is to come back.

        A place that was promised stays, however often its caller is refused. `spread`, from 0 to 1,
        is drawn for each request. What is `final` is told to other gateways at once: its caller may
        come to any of them before its time.
        """
        self._forget(now)
        self._refused[asker.service, asker.tier] = now
        known = self._promises.get(asker.caller)
        if known is not None and known.prioritized and not known.used and now <= known.ends:
            known.refused_at = now
            if final:
                known.send_at = min(known.send_at, now)
            return max(MIN_RETRY_AFTER_SECONDS, known.due_at - now)
        rate = self.start_rate.rate(asker.service, asker.tier, now)
        found = return_time(self._backlog(asker), rate, asker.time_left, spread)
        if asker.caller and len(self._promises) < MAX_PROMISES:
            self.made += found.promised
            due = now + found.seconds
            promise = Promise(asker.service, asker.tier, due, now, found.promised, own=True)
            promise.send_at = now if final else now + _SETTLED_SECONDS
            self._keep(asker.caller, promise)
        return found.seconds

    def _backlog(self, asker: Requester) -> int:
        return sum(
            count
            for (service, tier), count in self._open.items()
            if service == asker.service and tier <= asker.tier
        )

    def note_scarce(self, service: str, tier: int, now: float) -> None:
        """Note that a request of a tier has to wait for room."""
        self._scarce[service, tier] = now

    # Returning

    def has_place(self, caller: int, now: float) -> bool:
        """Return whether a caller comes as it was promised."""
        known = self._promises.get(caller)
        if known is None or known.used or not known.prioritized:
            return False
        return known.due_at - EARLY_TOLERANCE_SECONDS <= now <= known.ends

    def is_due(self, caller: int, now: float) -> bool:
        """Return whether a caller comes as it was promised, and the reserve lasts."""
        if not self.has_place(caller, now):
            return False
        known = self._promises[caller]
        if self._more_urgent_refused(known, now):
            return False
        served = self._served.get((known.service, known.tier), ())
        lately = sum(now - at < _RESERVE_SECONDS for at in served)
        rate = self.start_rate.rate(known.service, known.tier, now)
        return lately < max(1.0, RESERVED_FRACTION * rate * _RESERVE_SECONDS)

    def _more_urgent_refused(self, promise: Promise, now: float) -> bool:
        return any(
            service == promise.service and tier < promise.tier and now - at < _TIER_SECONDS
            for (service, tier), at in self._refused.items()
        )

    def seconds_early(self, asker: Requester, now: float) -> float:
        """Return how many seconds too early another try of a caller comes, 0 if it does not.

        While nobody else is refused it is welcome at any time.
        """
        known = self._promises.get(asker.caller)
        if known is None or known.used or asker.arrived <= known.refused_at:
            return 0.0
        if asker.arrived >= known.due_at - EARLY_TOLERANCE_SECONDS:
            return 0.0
        key = asker.service, asker.tier
        never = float("-inf")
        if now - max(self._refused.get(key, never), self._scarce.get(key, never)) > _SCARCE_SECONDS:
            return 0.0
        self.early += 1
        return max(0.0, known.due_at - now)

    def note_placed(self, caller: int, now: float) -> bool:
        """Note that a caller's request goes to an upstream; return whether that was promised."""
        known = self._promises.get(caller)
        if known is None or known.used:
            return False
        promised = self.has_place(caller, now)
        if promised:
            self.kept += 1
            key = known.service, known.tier
            self._served.setdefault(key, deque(maxlen=_MOST_COUNTED)).append(now)
        if known.prioritized:
            self._open[known.service, known.tier] -= 1
        known.used = True
        known.times_sent, known.send_at = _TELLINGS - 1, now
        self._to_tell[caller] = None
        return promised

    # Telling others

    def due_states(self, now: float) -> list[PromiseState]:
        """Return what is to be told now to the other gateways that place requests."""
        self._forget(now)
        told = []
        for caller in list(self._to_tell):
            item = self._promises.get(caller)
            if item is None or item.times_sent >= _TELLINGS:
                del self._to_tell[caller]
            elif item.send_at <= now:
                item.times_sent += 1
                item.send_at = now + max(_SETTLED_SECONDS, (item.due_at - now) / 2)
                told.append(_state(caller, item, now))
                if len(told) == MAX_STATES_PER_ROUND:
                    break
        return told

    def merge(self, states: Iterable[PromiseState], now: float) -> None:
        """Take what another gateway tells."""
        for state in states:
            known = self._promises.get(state.caller)
            if known is None and len(self._promises) >= MAX_PROMISES:
                continue
            if not state.due_in < _LONGEST_SECONDS:
                continue
            due, used = now + state.due_in, state.used
            if known is not None:
                # A request that waits asks several gateways; it was told one of their times.
                due, used = min(due, known.due_at), used or known.used
            promise = Promise(
                state.service, state.tier, due, now, state.first, own=False, used=used
            )
            self._keep(state.caller, promise)

    def _keep(self, caller: int, promise: Promise) -> None:
        self._drop(caller)
        self._promises[caller] = promise
        if promise.prioritized and not promise.used:
            self._open[promise.service, promise.tier] += 1
        if promise.own:
            self._to_tell[caller] = None

    def _drop(self, caller: int) -> None:
        former = self._promises.pop(caller, None)
        if former is not None and former.prioritized and not former.used:
            self._open[former.service, former.tier] -= 1

    def _forget(self, now: float) -> None:
        if now < self._forget_at:
            return
        self._forget_at = now + _FORGET_SECONDS
        old = [caller for caller, item in self._promises.items() if now > item.ends]
        for caller in old:
            self._drop(caller)


def _state(caller: int, item: Promise, now: float) -> PromiseState:
    return PromiseState(
        caller, item.service, item.tier, item.due_at - now, item.prioritized, item.used
    )
