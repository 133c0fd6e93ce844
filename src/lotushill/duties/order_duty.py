"""Sends the platform the engine orders of each hall while this gateway holds the duties."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from lotushill.duties.engine_sizing import EngineSizing
from lotushill.duties.engine_sizing import HallEngines
from lotushill.duties.engine_sizing import engines_lost_to_limits
from lotushill.platform.duty_api import CallOutcome
from lotushill.platform.duty_api import EngineOrder
from lotushill.platform.duty_api import LeaseCredentials

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

_ORDER_INTERVAL_SECONDS = 0.5
_REPEAT_INTERVAL_SECONDS = 13.0
"""Interval in seconds at which an order is repeated.

The platform may carry out an unanswered order after later ones.
"""
_REFUSED_RETRY_SECONDS = 3.0
"""Interval in seconds at which refused reclaimable engines are ordered again."""
_FIRST_ORDER_DELAY_SECONDS = 2.0
"""Seconds after a takeover before the first order, by when the counts of all gateways are known."""
_STEADY_SECONDS = 2.5
"""Seconds without an increase after which the initial number of engines counts as complete.

This is two heartbeats of engines, and applies if nothing was ordered yet. Entries appear one by one
after a start, and engines whose entry is missing would be returned.
"""


@dataclass(frozen=True)
class _SentOrder:
    """An order that was sent and is assumed to be carried out."""

    engines: int
    repeat_at: float
    """Time at which the order is sent again."""


class OrderDuty:
    """Computes and sends engine orders while this gateway holds the duties."""

    def __init__(
        self,
        ownership: Ownership,
        platform: Platform,
        fleet: FleetAccess,
        health: CallHealth,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._ownership = ownership
        self._platform = platform
        self._fleet = fleet
        self._health = health
        self._log = log
        self._clock = clock
        self._demand: dict[str, dict[str, int]] = {}
        """Requests in progress by service and gateway."""
        self._orders: dict[str, StandingOrders] = {}
        self._bases: dict[str, int] = {}
        """Number of engines of each service that existed before anything was ordered."""
        self._highest_counts: dict[str, tuple[int, float]] = {}
        """Highest number of engines observed for each service, and the time since when."""
        self._sizings: dict[str, EngineSizing] = {}
        self._sent: dict[tuple[str, bool], _SentOrder] = {}
        self._last_lost: dict[tuple[str, str], int] = {}
        """Lost engines by service and hall at the last repetition of their order."""

    def receive(self, page: WorkPage) -> None:
        """Store the demand that a gateway reports."""
        for demand in page.demand:
            self._demand.setdefault(demand.service, {})[page.sender] = demand.running

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
            await anyio.sleep(_ORDER_INTERVAL_SECONDS)
            now = self._clock()
            if not lease.is_held or now - lease.last_transition_at < _FIRST_ORDER_DELAY_SECONDS:
                continue
            orders = [
                order for service in self._fleet.services() for order in self._orders_for(service)
            ]
            async with anyio.create_task_group() as group:
                for order in orders:
                    if self._is_due(order, now):
                        group.start_soon(self._send_order, order)

    def _orders_for(self, service: Service) -> list[EngineOrder]:
        """Return the orders for a service, one for each hall and kind of engine."""
        if service.scaling is None or service.engine is None:
            return []
        now = self._clock()
        halls = self._engines_by_hall(service)
        sizing = self._sizing(service, halls)
        if sizing is None:
            return []
        sizing.record_demand(self._requests_in_progress(service), now)
        engine_orders = []
        slots = service.engine.slots
        lost_to_limits = self._engines_lost_to_limits(service, slots)
        for hall, orders in sizing.orders(
            service.scaling, slots, halls, now, lost_to_limits
        ).items():
            self._orders[_place_key(service.name, hall)] = orders
            self._repeat_order_for_lost(service.name, hall, sizing)
            if service.scaling.reclaimable_price is not None:
                engine_orders.append(EngineOrder(service.name, hall, orders.reclaimable, True))
            engine_orders.append(EngineOrder(service.name, hall, orders.ordinary, False))
        return engine_orders

    def _repeat_order_for_lost(self, service: str, hall: str, sizing: EngineSizing) -> None:
        """Repeat the order of reclaimable engines in a hall where some were taken away.

        The order in force does not show whether others are available.
        """
        lost = sizing.lost_engines(hall)
        if lost > self._last_lost.get((service, hall), 0):
            self._sent.pop((_place_key(service, hall), True), None)
            self._log.note("engines.lost", service=service, hall=hall, engines=lost)
        self._last_lost[service, hall] = lost

    def _engines_lost_to_limits(self, service: Service, slots: int) -> float:
        """Return the capacity in engines that is lost to the rate limits of the upstreams."""
        rate_limits = (
            self._fleet.request_rate_limit(item.id)
            for item in self._fleet.upstreams.of(service.name)
        )
        return engines_lost_to_limits(rate_limits, self._fleet.stream_seconds(service.name), slots)

    def _requests_in_progress(self, service: Service) -> int:
        """Return the number of requests for a service in progress in the whole fleet."""
        live = {member.name for member in self._fleet.members()}
        running = self._demand.get(service.name, {})
        return sum(running[name] for name in running.keys() & live)

    def _sizing(self, service: Service, halls: Mapping[str, HallEngines]) -> EngineSizing | None:
        """Return the sizing of a service, or None while its engines are still appearing."""
        sizing = self._sizings.get(service.name)
        if sizing is not None:
            return sizing
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
        highest, since = self._highest_counts.get(service, (0, now))
        if count > highest:
            highest, since = count, now
        self._highest_counts[service] = (highest, since)
        return highest if now - since >= _STEADY_SECONDS else None

    def _engines_by_hall(self, service: Service) -> dict[str, HallEngines]:
        serving: dict[str, int] = {}
        for upstream in self._fleet.upstreams.of(service.name):
            serving[upstream.hall] = serving.get(upstream.hall, 0) + 1
        for place in self._orders:
            name, _, hall = place.rpartition("/")
            if name == service.name:
                serving.setdefault(hall, 0)
        return {
            hall: HallEngines(count, self._orders.get(_place_key(service.name, hall)))
            for hall, count in sorted(serving.items())
        }

    def _is_due(self, order: EngineOrder, now: float) -> bool:
        sent = self._sent.get(_order_key(order))
        return sent is None or sent.engines != order.engines or now >= sent.repeat_at

    async def _send_order(self, order: EngineOrder) -> None:
        lease = self._ownership.lease
        token = lease.token
        if token is None or not lease.may_act(self._clock()):
            return
        former = self._sent.get(_order_key(order))
        started_at = self._clock()
        self._sent[_order_key(order)] = _SentOrder(
            order.engines, started_at + _REPEAT_INTERVAL_SECONDS
        )
        result = await self._platform.order(order, LeaseCredentials(lease.name, token))
        self._health.record(result, started_at)
        if former is None or former.engines != order.engines or result is not CallOutcome.DONE:
            self._log_order(order, result, token)
        if result is CallOutcome.REFUSED and lease.token == token:
            self._handle_refusal(order)
        elif result is not CallOutcome.DONE:
            self._sent.pop(_order_key(order), None)

    def _handle_refusal(self, order: EngineOrder) -> None:
        """Distinguish a newer token from a shortage of reclaimable engines.

        The answer is the same for both. A holder that the store has not confirmed for a whole lease
        may have a successor, and does not continue with a token that may be outdated.
        """
        now = self._clock()
        if not order.reclaimable or not self._ownership.lease.is_recently_confirmed(now):
            self._ownership.lose("an order was refused")
            return
        self._sizings[order.service].record_shortage(order.hall, now)
        self._sent[_order_key(order)] = _SentOrder(order.engines, now + _REFUSED_RETRY_SECONDS)

    def _log_order(self, order: EngineOrder, result: CallOutcome, token: int) -> None:
        self._log.note(
            "engines.ordered",
            service=order.service,
            hall=order.hall,
            engines=order.engines,
            reclaimable=order.reclaimable,
            end=result.value,
            token=token,
            demand=self._sizings[order.service].peak,
        )


def _place_key(service: str, hall: str) -> str:
    return f"{service}/{hall}"


def _order_key(order: EngineOrder) -> tuple[str, bool]:
    return _place_key(order.service, order.hall), order.reclaimable
