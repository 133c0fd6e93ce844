"""Orders of engines: what each hall is to have, sent to the platform while the duties are held."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from lotushill.duties.engine_sizing import EngineSizing
from lotushill.duties.engine_sizing import HallEngines
from lotushill.duties.engine_sizing import engines_lost
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

_ORDER_SECONDS = 0.5
_REPEAT_SECONDS = 13.0
"""An order is sent again so often: one without an answer may be carried out after later ones."""
_REFUSED_SECONDS = 3.0
"""After reclaimable engines were refused they are asked for again so often."""
_FIRST_ORDER_SECONDS = 2.0
"""After taking over, the counts of all gateways have come."""
_STEADY_SECONDS = 2.5
"""Two heartbeats of engines: where nothing was ordered yet, their number is believed once it has
not risen for so long. Entries come one by one after a start, and what is missing would be given
back."""


@dataclass(frozen=True)
class _Sent:
    """An order that was sent; it is taken for done."""

    engines: int
    due: float
    """When it is sent again."""


class OrderDuty:
    """Decides and orders while the duties are held."""

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
        """How many engines of each service stood before anything was ordered."""
        self._standing: dict[str, tuple[int, float]] = {}
        """The most engines that were seen of each service, and since when."""
        self._sizings: dict[str, EngineSizing] = {}
        self._sent: dict[tuple[str, bool], _Sent] = {}
        self._asked_for: dict[tuple[str, str], int] = {}
        """Engines that were taken away of a service in a hall, when they were last asked for."""

    def receive(self, page: WorkPage) -> None:
        """Take in what a gateway has to do."""
        for told in page.demand:
            self._demand.setdefault(told.service, {})[page.sender] = told.running

    def begin(self, former: DutyRecord) -> None:
        """Go on from the record of the former holder."""
        self._sent = {}
        self._sizings = {}
        self._orders = dict(former.orders)
        self._bases = dict(former.bases)

    def add_to(self, record: DutyRecord) -> DutyRecord:
        """Return the record with the orders in force."""
        return replace(record, orders=dict(self._orders), bases=dict(self._bases))

    async def run(self) -> None:
        """Order what is due, for ever."""
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

    # What is wanted

    def _size(self, service: Service) -> list[EngineOrder]:
        """Return what a service is to have, one order a hall and kind."""
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
        """Order reclaimable engines once more where some were taken away.

        The order in force says nothing of whether others are to be had.
        """
        lost = sizing.lost(hall)
        if lost > self._asked_for.get((service, hall), 0):
            self._sent.pop((_place(service, hall), True), None)
            self._log.note("engines.lost", service=service, hall=hall, engines=lost)
        self._asked_for[service, hall] = lost

    def _limited(self, service: Service, slots: int) -> float:
        """Return how many engines' work is not done since they name limits."""
        rates = (
            self._sight.request_rate_limit(item.id)
            for item in self._sight.upstreams.of(service.name)
        )
        return engines_lost(rates, self._sight.stream_seconds(service.name), slots)

    def _running(self, service: Service) -> int:
        """Return how many requests for a service are in progress in the whole fleet."""
        live = {member.name for member in self._sight.members()}
        told = self._demand.get(service.name, {})
        return sum(told[name] for name in told.keys() & live)

    def _sizing(self, service: Service, halls: Mapping[str, HallEngines]) -> EngineSizing | None:
        """Return what follows the demand for a service, None while its engines still appear."""
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
        """Return how many engines stand, None while more of them still appear."""
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

    # Orders

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
        end = await self._platform.order(order, LeaseCredentials(lease.name, token))
        self._health.note(end, began)
        if former is None or former.engines != order.engines or end is not CallOutcome.DONE:
            self._note(order, end, token)
        if end is CallOutcome.REFUSED and lease.token == token:
            self._take_refusal(order)
        elif end is not CallOutcome.DONE:
            self._sent.pop(_key(order), None)

    def _take_refusal(self, order: EngineOrder) -> None:
        """Tell a newer token from reclaimable engines that are not to be had.

        The answer is the same for both. One that the store has not confirmed for a whole lease
        may have been followed, and does not go on with a token that may be old.
        """
        now = self._clock()
        if not order.reclaimable or not self._ownership.lease.confirmed_lately(now):
            self._ownership.lose("an order was refused")
            return
        self._sizings[order.service].note_dry(order.hall, now)
        self._sent[_key(order)] = _Sent(order.engines, now + _REFUSED_SECONDS)

    def _note(self, order: EngineOrder, end: CallOutcome, token: int) -> None:
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
