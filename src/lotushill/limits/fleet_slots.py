"""A gateway's access to the slots of brittle upstreams, which all gateways share."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.availability.stated_limits import LimitReport
from lotushill.availability.stated_limits import StatedLimits
from lotushill.limits.limit_gossip import LimitGossip
from lotushill.limits.slot_holder import SlotHolder
from lotushill.limits.slot_owner import SlotOwner
from lotushill.links.slot_messages import SlotAnswer
from lotushill.links.slot_messages import SlotAsk
from lotushill.links.slot_messages import SlotEnd
from lotushill.links.slot_messages import SlotReport
from lotushill.links.slot_messages import SlotReportAck

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.limits.limit_owners import LimitOwners
    from lotushill.links.limit_messages import LimitNews
    from lotushill.links.messages import MemberState
    from lotushill.placement.brittle_services import BrittleServices
    from lotushill.routing.upstream import Upstream
    from lotushill.views.upstream_view import UpstreamView

    SlotMessage = SlotAsk | SlotAnswer | SlotReport | SlotReportAck

_RESEND_SECONDS = 0.1
"""Interval at which a request for a slot is repeated until it is answered."""
_ANSWER_TIMEOUT_SECONDS = 0.5
"""Time after which the owner counts as lost or unreachable. One on a busy host answers late, and a
request that gave up sooner would get no slot anywhere."""
_DENIED_SECONDS = 0.1
"""Time for which a request that was denied a slot of an upstream is sent elsewhere."""
_UPDATE_SECONDS = 0.25
"""Interval at which brittle services are recomputed while nothing new is stated."""


class FleetSlots:
    """What upstreams state about rejections, and the slots that this gateway holds or owns."""

    def __init__(
        self,
        upstreams: UpstreamView,
        owners: LimitOwners,
        services: BrittleServices,
        running_count: Callable[[str], int],
        send: Callable[[SlotMessage, str], None],
        broadcast: Callable[[LimitNews], None],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Create it; `send` sends a message to an address, `broadcast` gossip to all gateways.

        `running_count` returns the runs of an upstream in the load model.
        """
        self._upstreams = upstreams
        self._owners = owners
        self._services = services
        self._send = send
        self._clock = clock
        self.stated = StatedLimits()
        self.gossip = LimitGossip(
            owners.own_name,
            self.stated,
            broadcast,
            lambda _: self._update_services(),
            log,
            rng,
            clock,
            on_rejections=True,
        )
        self.owner = SlotOwner(upstreams, owners, services, running_count, log, rng)
        self.holder = SlotHolder(owners, self._send_report, rng)
        self._pending: dict[int, asyncio.Future[bool]] = {}
        self._denied_until: dict[str, float] = {}
        self._updated_at = float("-inf")
        self.unanswered = 0
        """Number of requests for a slot that timed out."""

    def note_answer(self, upstream_id: str, max_rejections: float | None, sent_at: float) -> None:
        """Record what an answer to a request sent at `sent_at` states about rejections."""
        rate = NO_LIMIT if max_rejections is None else max_rejections
        self.gossip.note_answer(upstream_id, LimitReport(rate, sent_at, self._clock()))

    def is_brittle(self, upstream: Upstream) -> bool:
        """Return whether an attempt at an upstream needs a slot permit."""
        return self._services.is_brittle(upstream.service)

    def is_denied(self, upstream_id: str, now: float) -> bool:
        """Return whether a slot of an upstream was denied a moment ago."""
        return now < self._denied_until.get(upstream_id, 0.0)

    async def begin(self, upstream: Upstream, tier: int, ends: float) -> int | None:
        """Return the number of an attempt that ends by `ends`, None if there is no slot for it."""
        number = self.holder.new_number()
        if not self.is_brittle(upstream):
            self.holder.begin(number, upstream, ends)
            return number
        owner = self._owners.owner_of(upstream)
        max_rejections = self._services.max_rejections(upstream.service) or 0.0
        seconds = max(0.0, ends - self._clock())
        name = self._owners.own_name
        ask = SlotAsk(name, number, upstream.id, max_rejections, tier, seconds)
        if not await self._request(ask, owner):
            self._denied_until[upstream.id] = self._clock() + _DENIED_SECONDS
            return None
        self.holder.begin(number, upstream, ends, owner.name)
        return number

    def end(self, number: int, how: SlotEnd) -> None:
        """Record the end of an attempt."""
        self.holder.end(number, how, self._clock())

    def receive(self, message: SlotMessage, address: str) -> None:
        """Handle a message that a gateway sent from an address."""
        now = self._clock()
        if isinstance(message, SlotAsk):
            self.owner.ask(message, lambda answer: self._send(answer, address), now)
        elif isinstance(message, SlotAnswer):
            self._receive_answer(message)
        elif isinstance(message, SlotReport):
            self.owner.receive(message, now)
            self._send(SlotReportAck(message.sequence), address)
        else:
            self.holder.acknowledge(message.sequence)

    def process_due(self) -> None:
        """Send what is due, and answer requests for slots; called about twenty times a second."""
        self.gossip.send_due()
        now = self._clock()
        if now - self._updated_at >= _UPDATE_SECONDS:
            self._update_services()
        if services := self._services.services():
            self.holder.report_new(services, now)
        self.holder.repeat_due(now)
        self.owner.process_due(now)

    def drop_gateway(self, name: str) -> None:
        """Drop the permits of a gateway that is gone."""
        self.owner.drop_holder(name)

    def retain_only(self, known: set[str]) -> None:
        """Drop obsolete state; `known` holds the ids of all known upstreams."""
        now = self._clock()
        self.stated.retain_only(known, now)
        self.owner.retain_only(known)
        self._denied_until = {
            name: until for name, until in self._denied_until.items() if until > now
        }

    def _update_services(self) -> None:
        self._updated_at = self._clock()
        self._services.update(self.stated.reports(), self._upstreams.find, self._updated_at)

    async def _request(self, ask: SlotAsk, owner: MemberState) -> bool:
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending[ask.number] = future
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_SECONDS):
                while not future.done():
                    self._send_ask(ask, owner, future)
                    await asyncio.wait((future,), timeout=_RESEND_SECONDS)
            return future.result()
        except TimeoutError:
            self.unanswered += 1
            self._give_back(ask, owner)
            return False
        except asyncio.CancelledError:
            self._give_back(ask, owner)
            raise
        finally:
            del self._pending[ask.number]

    def _send_ask(self, ask: SlotAsk, owner: MemberState, future: asyncio.Future[bool]) -> None:
        if owner.name == self._owners.own_name:
            self.owner.ask(ask, lambda answer: _resolve(future, answer), self._clock())
        else:
            self._send(ask, owner.address)

    def _give_back(self, ask: SlotAsk, owner: MemberState) -> None:
        """Give back a slot that may have been granted in an answer that was lost or late."""
        now = self._clock()
        self.holder.report_end(ask.number, ask.upstream, owner.name, SlotEnd.UNSENT, now)

    def _receive_answer(self, answer: SlotAnswer) -> None:
        future = self._pending.get(answer.number)
        if future is not None:
            _resolve(future, answer)

    def _send_report(self, report: SlotReport, owner: MemberState) -> None:
        if owner.name == self._owners.own_name:
            self.owner.receive(report, self._clock())
        else:
            self._send(report, owner.address)


def _resolve(future: asyncio.Future[bool], answer: SlotAnswer) -> None:
    if not future.done():
        future.set_result(answer.granted)
