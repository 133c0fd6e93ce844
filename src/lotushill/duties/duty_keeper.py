"""Does the duties while this gateway holds them, and takes them over where nobody does.

Four loops, so that a silent store or platform keeps none of the others: the ownership, the counts
of all gateways, the reports of usage, and the orders of engines.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import anyio

from lotushill.duties.duty_record import DutyRecord
from lotushill.duties.duty_record import StandingOrders
from lotushill.duties.duty_record import from_spec
from lotushill.duties.duty_record import to_spec
from lotushill.duties.engine_sizing import EngineSizing
from lotushill.duties.engine_sizing import HallEngines
from lotushill.duties.lease import Lease
from lotushill.duties.lease import LeaseOptions
from lotushill.duties.usage_ledger import UsageLedger
from lotushill.links.messages import WorkPull
from lotushill.platform.duty_api import CallEnd
from lotushill.platform.duty_api import EngineOrder
from lotushill.platform.duty_api import Signature
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lotushill.duties.true_time import TrueTime
    from lotushill.event_log import EventLog
    from lotushill.gateway.settings import DutySettings
    from lotushill.links.messages import MemberState
    from lotushill.links.messages import WorkPage
    from lotushill.routing.service import Service
    from lotushill.views.stored_object import StoredObject
    from lotushill.views.upstream_view import UpstreamView

KIND = "lotushill-duties"
"""The kind of the platform's store that holds one object, of this name:"""
NAME = "main"
_RENEWALS_A_LEASE = 2.5
_LOOKS_A_LEASE = 3.0
_TICK_SECONDS = 0.25
_PULL_SECONDS = 0.3
"""Between two looks at the counts of all gateways: what one counts in it is lost with its host."""
_PULLS_A_SECOND = 100.0
"""Of all gateways; in a larger fleet the looks are further apart."""
_COLLECTORS = 2
"""Candidates that ask for counts, one of which is likely the holder."""
_AFTER_CLOSE_SECONDS = 0.4
"""After a window has closed all gateways are asked at once: what is recorded and reported early is
not lost with the holder."""
_LONGEST_SETTLE_SECONDS = 5.0
"""A gateway that is silent is waited for no longer: half of the time in which a report is due."""
_RETRY_SECONDS = 0.5
_FAILING_SECONDS = 4.0
"""A holder that the platform has not answered for so long hands over: others may reach it."""
_ORDER_SECONDS = 0.5
_REPEAT_ORDER_SECONDS = 13.0
"""An order is sent again so often: one without an answer may be carried out after later ones."""
_FIRST_ORDER_SECONDS = 2.0
"""After taking over, the counts of all gateways have come."""
_STEADY_SECONDS = 2.5
"""Two heartbeats of engines: where nothing was ordered yet, their number is believed once it has
not risen for so long. Entries come one by one after a start, and what is missing would be given
back."""
_MOST_UNANSWERED = 3


class Store(Protocol):
    """The calls to the platform's store that a keeper makes."""

    async def get(self, kind: str, name: str, stale: bool = False) -> StoredObject | None:
        """Return one object, None if there is none."""
        ...

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Make an object that is not there."""
        ...

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int | None = None
    ) -> StoredObject:
        """Replace an object at a revision."""
        ...


class Platform(Protocol):
    """The calls that the holder of the duties makes."""

    async def report_usage(
        self, window: int, counts: Mapping[str, int], signature: Signature
    ) -> CallEnd:
        """Report the requests of each team that began in a window."""
        ...

    async def order(self, order: EngineOrder, signature: Signature) -> CallEnd:
        """Order engines."""
        ...


@dataclass(frozen=True)
class FleetSight:
    """What the keeper sees of the fleet."""

    members: Callable[[], Iterable[MemberState]]
    """All live members, this one included."""
    reads_store: Callable[[], bool]
    """Whether the store serves this gateway, so that it may hold the duties."""
    rank: Callable[[], int]
    """Its place among all such gateways, 0 for the first."""
    services: Callable[[], Iterable[Service]]
    upstreams: UpstreamView
    pull: Callable[[WorkPull, str], None]
    """Sends a question for counts to an address."""
    own_pages: Callable[[int], Iterable[WorkPage]]
    """What this gateway counted since a window."""


class DutyKeeper:
    """One gateway's part in the duties."""

    def __init__(
        self,
        name: str,
        life: int,
        settings: DutySettings,
        store: Store,
        platform: Platform,
        sight: FleetSight,
        time: TrueTime,
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Serve as process `life` of the gateway `name`."""
        self._settings = settings
        self._store = store
        self._platform = platform
        self._sight = sight
        self._time = time
        self._log = log
        self._rng = rng
        self._clock = clock
        options = LeaseOptions(settings.lease_seconds, settings.fenced)
        self.lease = Lease(name, life, options, clock())
        self._seen: StoredObject | None = None
        self._record: DutyRecord | None = None
        """As it was last read or confirmed."""
        self._recorded: dict[int, dict[str, int]] = {}
        """Windows that are to be recorded with the next write."""
        self._reported: set[int] = set()
        """Windows whose reports the platform has taken."""
        self._orders: dict[str, StandingOrders] = {}
        self._bases: dict[str, int] = {}
        """How many engines of each service stood before anything was ordered."""
        self._sent: dict[tuple[str, bool], tuple[int, float]] = {}
        """What was ordered last for each place and kind, and when; it is taken for done."""
        self._ledger = UsageLedger()
        self._demand: dict[str, dict[str, int]] = {}
        self._sizings: dict[str, EngineSizing] = {}
        self._unanswered_since: float | None = None
        """When the first of the calls began that the platform has not answered lately."""
        self._unanswered = 0
        """How many these are."""
        self._standing: dict[str, tuple[int, float]] = {}
        """The most engines that were seen of each service, and since when."""

    async def run(self) -> None:
        """Do what falls to this gateway, for ever."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._own)
            group.start_soon(self._collect)
            group.start_soon(self._report)
            group.start_soon(self._order)

    async def hand_over(self) -> None:
        """Let another gateway take over at once, if this one holds the duties."""
        record = self._record
        if not self.lease.held or record is None or self._seen is None:
            return
        self.lease.lose(self._clock())
        self._log.note("duty.handed_over", why="stopping")
        await self._try_write(replace(record, holder="", beat=record.beat + 1))

    def receive(self, page: WorkPage) -> None:
        """Take in what a gateway counted."""
        self._time.compare(page.sender, page.wall)
        self._ledger.take(page, self._time.now())
        for told in page.demand:
            self._demand.setdefault(told.service, {})[page.sender] = told.running

    def status(self) -> dict[str, object]:
        """Return what operators ask of the duties."""
        record = self._record
        return {
            "holder": record.holder if record else None,
            "held_here": self.lease.held,
            "token": self.lease.token,
            "seconds": round(self._clock() - self.lease.since, 1),
            "settled_window": record.settled if record else None,
            "unreported": sorted(record.reports) if record else [],
            "orders": {
                place: {"ordinary": orders.ordinary, "reclaimable": orders.reclaimable}
                for place, orders in (record.orders if record else {}).items()
            },
        }

    # Ownership

    async def _own(self) -> None:
        lease_seconds = self._settings.lease_seconds
        while True:
            due = self._clock()
            recorded = True
            if self.lease.held:
                recorded = await self._renew()
                due += lease_seconds / _RENEWALS_A_LEASE
            elif self._sight.reads_store():
                await self._look()
                due += lease_seconds / _LOOKS_A_LEASE * (1 + min(2, self._sight.rank()))
            await anyio.sleep(_TICK_SECONDS)
            # What was settled is recorded at once, but for a store that does not take it.
            while self._clock() < due and not (recorded and self._has_unrecorded()):
                await anyio.sleep(_TICK_SECONDS)

    def _has_unrecorded(self) -> bool:
        settled = self._record.settled if self._record else -1
        return self.lease.held and any(window > settled for window in self._recorded)

    async def _look(self) -> None:
        """Read who holds the duties, and take them if nobody does."""
        try:
            # What is old costs a tenth, and is found out when it is written at its revision.
            found = await self._store.get(KIND, NAME, stale=True)
        except StoreError:
            return
        now = self._clock()
        self._take_in(found)
        self.lease.observe(found.revision if found else None, now)
        if found is None or self.lease.may_take(self._record, now, self._is_first()):
            await self._take(found)

    def _take_in(self, found: StoredObject | None) -> None:
        self._seen = found
        self._record = from_spec(found.spec) if found else None

    async def _take(self, found: StoredObject | None) -> None:
        former = self._record or DutyRecord("", 0, settled=self._newest_window() - 1)
        record = replace(former, holder=self.lease.name, life=self.lease.life, beat=former.beat + 1)
        sent_at = self._clock()
        if not await self._try_write(record) or self._seen is None:
            return
        self.lease.take(self._seen.revision, sent_at)
        self._begin_office(former)

    def _begin_office(self, former: DutyRecord) -> None:
        self._unanswered_since = None
        self._unanswered = 0
        self._recorded = {}
        self._reported = set()
        self._sent = {}
        self._sizings = {}
        self._orders = dict(former.orders)
        self._bases = dict(former.bases)
        self._ledger.go_on_from(former.checkpoint)
        self._log.note(
            "duty.taken", token=self.lease.token, former=former.holder, settled=former.settled
        )

    async def _renew(self) -> bool:
        """Confirm the ownership, and record with the same write what was settled meanwhile.

        Return whether the write is known to be in force.
        """
        record = self._record
        if record is None:
            self._lose("no record")
            return False
        if self._platform_is_silent():
            self._lose("platform does not answer")
            await self._try_write(replace(record, holder="", beat=record.beat + 1))
            return False
        sent_at = self._clock()
        written = await self._try_write(self._next_record(record))
        if written:
            self.lease.renew(sent_at)
        return written

    def _platform_is_silent(self) -> bool:
        since = self._unanswered_since
        failing = since is not None and self._clock() - since > _FAILING_SECONDS
        return failing and self._unanswered >= _MOST_UNANSWERED

    def _next_record(self, record: DutyRecord) -> DutyRecord:
        pending = {
            window: counts
            for window, counts in {**record.reports, **self._recorded}.items()
            if window not in self._reported
        }
        settled = max(record.settled, *self._recorded) if self._recorded else record.settled
        return replace(
            record,
            beat=record.beat + 1,
            settled=settled,
            reports=pending,
            checkpoint=self._ledger.checkpoint(settled, self._time.now()),
            orders=dict(self._orders),
            bases=dict(self._bases),
        )

    async def _try_write(self, record: DutyRecord) -> bool:
        """Write the record at the revision seen; return whether it is known to be in force."""
        spec = to_spec(record)
        try:
            if self._seen is None:
                written = await self._store.create(KIND, NAME, spec)
            else:
                written = await self._store.replace(KIND, NAME, spec, self._seen.revision)
        except RevisionConflictError:
            return await self._read_again()
        except StoreError as error:
            self._log.note("duty.not_recorded", error=repr(error))
            return False
        self._take_in(written)
        self.lease.observe(written.revision, self._clock())
        return True

    async def _read_again(self) -> bool:
        """See whether a write of this process came through without its answer."""
        try:
            found = await self._store.get(KIND, NAME)
        except StoreError:
            return False
        self._take_in(found)
        self.lease.observe(found.revision if found else None, self._clock())
        record = self._record
        if record is not None and record.is_of(self.lease.name, self.lease.life):
            return True
        if self.lease.held:
            self._lose("taken by another")
        return False

    def _lose(self, why: str) -> None:
        holder = self._record.holder if self._record else ""
        self._log.note("duty.lost", why=why, token=self.lease.token, holder=holder)
        self.lease.lose(self._clock())

    # Counts

    def _newest_window(self) -> int:
        return int(self._time.now() // self._settings.report_window_seconds)

    def _collects(self) -> bool:
        """Return whether this gateway holds the duties, or is the first that would take them.

        What a gateway counted that is lost together with the holder is then known to the next.
        """
        return self.lease.held or (self._sight.reads_store() and self._is_first())

    def _is_first(self) -> bool:
        return self._sight.rank() < _COLLECTORS

    async def _collect(self) -> None:
        while True:
            if not self._collects():
                await anyio.sleep(_PULL_SECONDS)
                continue
            members = list(self._sight.members())
            since = (self._record.settled if self._record else self._newest_window() - 3) + 1
            for page in self._sight.own_pages(since):
                self.receive(page)
            pull = WorkPull(self.lease.name, since, self._time.now())
            for member in members:
                if member.name != self.lease.name:
                    self._sight.pull(replace(pull, now=self._time.now()), member.address)
            self._settle(members)
            await anyio.sleep(self._until_next_pull(len(members)))

    def _until_next_pull(self, members: int) -> float:
        """Return the seconds until all are asked again: soon after a window has closed."""
        usual = max(_PULL_SECONDS, members / _PULLS_A_SECOND)
        seconds = self._settings.report_window_seconds
        into_window = self._time.now() % seconds
        after_close = (_AFTER_CLOSE_SECONDS - into_window) % seconds
        return min(usual, max(_TICK_SECONDS, after_close))

    def _settle(self, members: list[MemberState]) -> None:
        """Fix the counts of windows that closed long enough ago."""
        record = self._record
        if not self.lease.held or record is None or not self._settings.reports_usage:
            return
        self._ledger.forget(record.settled)
        seconds = self._settings.report_window_seconds
        now = self._time.now()
        first = max(record.settled, *self._recorded, record.settled) + 1
        for window in range(first, self._newest_window()):
            closed = (window + 1) * seconds
            silent = [item.name for item in members if not self._is_told(item.name, closed)]
            if silent and now - closed < _LONGEST_SETTLE_SECONDS:
                return
            counts = self._ledger.total(window)
            self._recorded[window] = counts
            self._log.note(
                "usage.settled",
                window=window,
                requests=sum(counts.values()),
                teams=len(counts),
                silent=silent[:5],
            )

    def _is_told(self, member: str, closed: float) -> bool:
        return self._ledger.heard_after(member, closed + _TICK_SECONDS)

    # Reports

    async def _report(self) -> None:
        while True:
            await anyio.sleep(_TICK_SECONDS)
            record = self._record
            if record is None or not self.lease.may_act(self._clock()):
                continue
            for window in sorted(record.reports.keys() - self._reported):
                if not await self._report_one(window, record.reports[window]):
                    break

    async def _report_one(self, window: int, counts: dict[str, int]) -> bool:
        token = self.lease.token
        if token is None or not self.lease.may_act(self._clock()):
            return False
        began = self._clock()
        end = await self._platform.report_usage(window, counts, Signature(self.lease.name, token))
        self._note_call(end, began)
        self._log.note("usage.reported", window=window, end=end.value, token=token)
        if end is CallEnd.DONE:
            self._reported.add(window)
            return True
        if end is CallEnd.REFUSED and self.lease.token == token:
            self._lose("a report was refused")
        await anyio.sleep(_RETRY_SECONDS)
        return False

    def _note_call(self, end: CallEnd, began: float) -> None:
        if end in (CallEnd.DONE, CallEnd.REFUSED):
            self._unanswered_since = None
            self._unanswered = 0
            return
        self._unanswered += 1
        if self._unanswered_since is None:
            self._unanswered_since = began

    # Orders

    async def _order(self) -> None:
        while True:
            await anyio.sleep(_ORDER_SECONDS)
            now = self._clock()
            if not self._settings.orders_engines or not self.lease.held:
                continue
            if now - self.lease.since < _FIRST_ORDER_SECONDS:
                continue
            wanted = [order for service in self._sight.services() for order in self._size(service)]
            due = [order for order in wanted if self._is_due(order, now)]
            async with anyio.create_task_group() as group:
                for order in due:
                    group.start_soon(self._order_one, order)

    def _size(self, service: Service) -> list[EngineOrder]:
        """Return what a service is to have, one order a hall and kind."""
        if service.scaling is None or service.engine is None:
            return []
        now = self._clock()
        halls = self._halls(service)
        sizing = self._sizing(service, halls)
        if sizing is None:
            return []
        live = {member.name for member in self._sight.members()}
        told = self._demand.get(service.name, {})
        sizing.note_demand(sum(told[name] for name in told.keys() & live), now)
        found = sizing.orders(service.scaling, service.engine.slots, halls, now)
        out = []
        for hall, orders in found.items():
            self._orders[_place(service.name, hall)] = orders
            out.append(EngineOrder(service.name, hall, orders.reclaimable, True))
            out.append(EngineOrder(service.name, hall, orders.ordinary, False))
        if service.scaling.reclaimable_price is None:
            return [order for order in out if not order.reclaimable]
        return out

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
        return self._sizings.setdefault(service.name, EngineSizing(base, now, ordered))

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

    def _is_due(self, order: EngineOrder, now: float) -> bool:
        sent = self._sent.get((_place(order.service, order.hall), order.reclaimable))
        return sent is None or sent[0] != order.engines or now - sent[1] >= _REPEAT_ORDER_SECONDS

    async def _order_one(self, order: EngineOrder) -> None:
        token = self.lease.token
        if token is None or not self.lease.may_act(self._clock()):
            return
        place = (_place(order.service, order.hall), order.reclaimable)
        former = self._sent.get(place)
        began = self._clock()
        self._sent[place] = (order.engines, began)
        end = await self._platform.order(order, Signature(self.lease.name, token))
        self._note_call(end, began)
        if former is None or former[0] != order.engines or end is not CallEnd.DONE:
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
        if end is CallEnd.REFUSED and order.reclaimable:
            self._sizings[order.service].note_dry(order.hall, self._clock())
            self._sent.pop(place, None)
        elif end is CallEnd.REFUSED and self.lease.token == token:
            self._lose("an order was refused")
        elif end is not CallEnd.DONE:
            self._sent.pop(place, None)


def _place(service: str, hall: str) -> str:
    return f"{service}/{hall}"
