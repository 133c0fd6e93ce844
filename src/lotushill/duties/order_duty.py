"""Sends the platform the engine orders of each hall while this gateway holds the duties."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from lotushill.duties.engine_sizing import EngineSizing
from lotushill.duties.engine_sizing import HallEngines
from lotushill.duties.engine_sizing import engines_lost
from lotushill.platform.duty_api import CallEnd
from lotushill.platform.duty_api import EngineOrder
from lotushill.platform.duty_api import Signature

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from lotushill.duties.call_health import CallHealth
    from lotushill.duties.duty_record import DutyRecord
    from lotushill.duties.duty_record import StandingOrders
    from lotushill.duties.ownership import Ownership
    from lotushill.duties.ports import FleetAccess
    from lotushill.duties.ports import Platform
    from lotushill.event_log import EventLog
    from lotushill.links.messages import WorkPage
    from lotushill.routing.service import Service

_ORDER_SECONDS = 0.5
_REPEAT_SECONDS = 13.0
"""Interval in seconds at which an order is repeated.

The platform may carry out an unanswered order after later ones.
"""
_REFUSED_SECONDS = 3.0
"""Interval in seconds at which refused reclaimable engines are ordered again."""
_FIRST_ORDER_SECONDS = 2.0
"""Seconds after a takeover before the first order, by when the counts of all gateways are known."""
_STEADY_SECONDS = 2.5
"""Seconds without an increase after which the initial number of engines counts as complete.

This is two heartbeats of engines, and applies if nothing was ordered yet. Entries appear one by one
after a start, and engines whose entry is missing would be returned.
"""


@dataclass(frozen=True)
class _Sent:
    """An order that was sent and is assumed to be carried out."""

    engines: int
    due: float
    """Time at which the order is sent again."""


class OrderDuty:
    """Computes and sends engine orders while this gateway holds the duties."""

    def __init__(
        self,
        ownership: Ownership,
        platform: Platform,
        sight: FleetAccess,
        health: CallHealth,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._ownership = ownership
        self._platform = platform
        self._sight = sight
        self._health = health
        self._log = log
        self._clock = clock
        self._demand: dict[str, dict[str, int]] = {}
        """Requests in progress by service and gateway."""
        self._orders: dict[str, StandingOrders] = {}
        self._bases: dict[str, int] = {}
        """Number of engines of each service that existed before anything was ordered."""
        self._standing: dict[str, tuple[int, float]] = {}
        """Highest number of engines observed for each service, and the time since when."""
        self._sizings: dict[str, EngineSizing] = {}
        self._sent: dict[tuple[str, bool], _Sent] = {}
        self._asked_for: dict[tuple[str, str], int] = {}
        """Lost engines by service and hall at the last repetition of their order."""

    def receive(self, page: WorkPage) -> None:
        """Store the demand that a gateway reports."""
        for told in page.demand:
            self._demand.setdefault(told.service, {})[page.sender] = told.running

    def begin(self, former: DutyRecord) -> None:
        """Continue from the record of the former holder."""
        self._sent = {}
        self._sizings = {}
        self._orders = dict(former.orders)
        self._bases = dict(former.bases)

    def add_to(self, record: DutyRecord) -> DutyRecord:
        """Return the record with the orders in force."""
        return replace(record, orders=dict(self._orders), bases=dict(self._bases))

    async def run(self) -> None:
        """Send the orders that are due, until cancelled."""
        lease = self._ownership.lease
        while True:
            await anyio.sleep(_ORDER_SECONDS)
            now = self._clock()
            if not lease.held or now - lease.since < _FIRST_ORDER_SECONDS:
                continue
            wanted = [order for service in self._sight.services() for order in self._size(service)]
            async with anyio.create_task_group() as group:
                for order in wanted:
                    if self._is_due(order, now):
                        group.start_soon(self._order_one, order)

    def _size(self, service: Service) -> list[EngineOrder]:
        """Return the orders for a service, one for each hall and kind of engine."""
        if service.scaling is None or service.engine is None:
            return []
        now = self._clock()
        halls = self._halls(service)
        sizing = self._sizing(service, halls)
        if sizing is None:
            return []
        sizing.note_demand(self._running(service), now)
        out = []
        slots = service.engine.slots
        limited = self._limited(service, slots)
        for hall, orders in sizing.orders(service.scaling, slots, halls, now, limited).items():
            self._orders[_place(service.name, hall)] = orders
            self._ask_again_for_lost(service.name, hall, sizing)
            if service.scaling.reclaimable_price is not None:
                out.append(EngineOrder(service.name, hall, orders.reclaimable, True))
            out.append(EngineOrder(service.name, hall, orders.ordinary, False))
        return out

    def _ask_again_for_lost(self, service: str, hall: str, sizing: EngineSizing) -> None:
        """Repeat the order of reclaimable engines in a hall where some were taken away.

        The order in force does not show whether others are available.
        """
        lost = sizing.lost(hall)
        if lost > self._asked_for.get((service, hall), 0):
            self._sent.pop((_place(service, hall), True), None)
            self._log.note("engines.lost", service=service, hall=hall, engines=lost)
        self._asked_for[service, hall] = lost

    def _limited(self, service: Service, slots: int) -> float:
        """Return the capacity in engines that is lost to the rate limits of the upstreams."""
        rates = (
            self._sight.request_rate_limit(item.id)
            for item in self._sight.upstreams.of(service.name)
        )
        return engines_lost(rates, self._sight.stream_seconds(service.name), slots)

    def _running(self, service: Service) -> int:
        """Return the number of requests for a service in progress in the whole fleet."""
        live = {member.name for member in self._sight.members()}
        told = self._demand.get(service.name, {})
        return sum(told[name] for name in told.keys() & live)

    def _sizing(self, service: Service, halls: Mapping[str, HallEngines]) -> EngineSizing | None:
        """Return the sizing of a service, or None while its engines are still appearing."""
        found = self._sizings.get(service.name)
        if found is not None:
            return found
        now = self._clock()
        base = self._bases.get(service.name)
        if base is None:
            base = self._steady_count(service.name, halls, now)
            if base is None:
                return None
            self._bases[service.name] = base
        ordered = sum(
            hall.ordered.ordinary + hall.ordered.reclaimable
            for hall in halls.values()
            if hall.ordered is not None
        )
        sizing = self._sizings[service.name] = EngineSizing(base, now, ordered)
        sizing.take_over(halls, now)
        return sizing

    def _steady_count(
        self, service: str, halls: Mapping[str, HallEngines], now: float
    ) -> int | None:
        """Return the number of engines, or None while more of them are still appearing."""
        count = sum(hall.serving for hall in halls.values())
        most, since = self._standing.get(service, (0, now))
        if count > most:
            most, since = count, now
        self._standing[service] = (most, since)
        return most if now - since >= _STEADY_SECONDS else None

    def _halls(self, service: Service) -> dict[str, HallEngines]:
        serving: dict[str, int] = {}
        for upstream in self._sight.upstreams.of(service.name):
            serving[upstream.hall] = serving.get(upstream.hall, 0) + 1
        for place in self._orders:
            name, _, hall = place.rpartition("/")
            if name == service.name:
                serving.setdefault(hall, 0)
        return {
            hall: HallEngines(count, self._orders.get(_place(service.name, hall)))
            for hall, count in sorted(serving.items())
        }

    def _is_due(self, order: EngineOrder, now: float) -> bool:
        sent = self._sent.get(_key(order))
        return sent is None or sent.engines != order.engines or now >= sent.due

    async def _order_one(self, order: EngineOrder) -> None:
        lease = self._ownership.lease
        token = lease.token
        if token is None or not lease.may_act(self._clock()):
            return
        former = self._sent.get(_key(order))
        began = self._clock()
        self._sent[_key(order)] = _Sent(order.engines, began + _REPEAT_SECONDS)
        end = await self._platform.order(order, Signature(lease.name, token))
        self._health.note(end, began)
        if former is None or former.engines != order.engines or end is not CallEnd.DONE:
            self._note(order, end, token)
        if end is CallEnd.REFUSED and lease.token == token:
            self._take_refusal(order)
        elif end is not CallEnd.DONE:
            self._sent.pop(_key(order), None)

    def _take_refusal(self, order: EngineOrder) -> None:
        """Distinguish a newer token from a shortage of reclaimable engines.

        The answer is the same for both. A holder that the store has not confirmed for a whole lease
        may have a successor, and does not continue with a token that may be outdated.
        """
        now = self._clock()
        if not order.reclaimable or not self._ownership.lease.confirmed_lately(now):
            self._ownership.lose("an order was refused")
            return
        self._sizings[order.service].note_dry(order.hall, now)
        self._sent[_key(order)] = _Sent(order.engines, now + _REFUSED_SECONDS)

    def _note(self, order: EngineOrder, end: CallEnd, token: int) -> None:
        self._log.note(
            "engines.ordered",
            service=order.service,
            hall=order.hall,
            engines=order.engines,
            reclaimable=order.reclaimable,
            end=end.value,
            token=token,
            demand=self._sizings[order.service].peak,
        )


def _place(service: str, hall: str) -> str:
    return f"{service}/{hall}"


def _key(order: EngineOrder) -> tuple[str, bool]:
    return _place(order.service, order.hall), order.reclaimable
