"""Last checks before a request is written: whether its upstream accepts requests now."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import LimitReport
from lotushill.limits.permit_request import permit_request
from lotushill.links.slot_messages import SlotEnd

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.availability.cooldowns import Cooldowns
    from lotushill.availability.statement import Statement
    from lotushill.event_log import EventLog
    from lotushill.limits.fleet_limits import FleetLimits
    from lotushill.limits.fleet_slots import FleetSlots
    from lotushill.placement.need import Need
    from lotushill.routing.upstream import Upstream
    from lotushill.views.upstream_view import UpstreamView


@dataclass(frozen=True)
class Permit:
    """Permission to write one request to one upstream; none is written without it."""

    upstream_id: str
    number: int
    """Number of the attempt among those that hold slots of upstreams."""
    takes_memory_until: float = 0.0
    """Time until which the upstream takes a run whose memory it holds, even if it is leaving."""


class UpstreamGate:
    """Records what upstreams state about themselves and blocks requests to those that accept none.

    A request reaches an upstream in several ways: chosen by this gateway, by a scheduler, or among
    a few upstreams when no scheduler answers; as a run that continues from its copy; or after a
    wait for a connection or a suspension. Each placement considers the same facts, but this check
    applies to all of these ways.
    """

    def __init__(
        self,
        upstreams: UpstreamView,
        cooldowns: Cooldowns,
        limits: FleetLimits,
        on_leaving: Callable[[str], None],
        log: EventLog,
        clock: Callable[[], float],
        slots: FleetSlots,
    ) -> None:
        """Create the gate; `on_leaving` is called for each upstream that states that it leaves."""
        self._upstreams = upstreams
        self._cooldowns = cooldowns
        self._limits = limits
        self._on_leaving = on_leaving
        self._log = log
        self._clock = clock
        self._slots = slots
        self.blocked_sends = 0
        """Number of sends blocked so far after the upstream had been chosen."""
        self.unreadable_cooldowns = 0
        """Number of cooldowns stated by upstreams that could not be parsed so far."""
        self.requests_without_permit = 0
        """Number of requests so far without a permit for the chosen upstream."""
        self.unreadable_limits = 0
        """Number of limits that could not be parsed so far."""

    def record_statement(self, upstream_id: str, statement: Statement, sent_at: float) -> None:
        """Record what the answer to a request sent at `sent_at` states about its upstream."""
        now = self._clock()
        if statement.unreadable_cooldown:
            self.unreadable_cooldowns += 1
        if statement.cooldown:
            self._cooldowns.note_requested(upstream_id, statement.cooldown, now)
            self._log.note("upstream.rests", upstream=upstream_id, seconds=statement.cooldown)
        else:
            self._cooldowns.note_accepted(upstream_id, now)
        if statement.leaving:
            self._on_leaving(upstream_id)
        self._slots.note_answer(upstream_id, statement.max_rejections, sent_at)
        if statement.unreadable_limit:
            self.unreadable_limits += 1
            self._log.note(
                "upstream.limit_unreadable", upstream=upstream_id, value=statement.unreadable_limit
            )
        if statement.limit is not None:
            self._limits.gossip.note_answer(upstream_id, LimitReport(statement.limit, sent_at, now))

    def accepts_requests(self, upstream_id: str) -> bool:
        """Return whether an upstream accepts new requests of this gateway, as far as known."""
        known = self._upstreams.find(upstream_id)
        if known is None or known.draining:
            return False
        return not self.is_in_cooldown(upstream_id)

    def is_in_cooldown(self, upstream_id: str) -> bool:
        """Return whether an upstream has asked for a cooldown that still lasts."""
        return self._cooldowns.is_barred(upstream_id, self._clock())

    async def admit(self, upstream: Upstream, need: Need, ends: float) -> Permit | None:
        """Return the permit for one request that ends by `ends`; None if it must be sent elsewhere.

        Call this before a connection is opened, a run counted or a retry spent, so that a request
        that is not admitted costs nothing. The permit has to be given back by `release`.
        """
        number = await self._slots.begin(upstream, need.tier, ends)
        if number is None:
            self.requests_without_permit += 1
            return None
        is_admitted = False
        try:
            is_admitted = not self._limits.is_limited(upstream.id) or await self._limits.admit(
                permit_request(upstream, need)
            )
        finally:
            if not is_admitted:
                self._slots.end(number, SlotEnd.UNSENT)
        if is_admitted:
            return Permit(upstream.id, number)
        self.requests_without_permit += 1
        return None

    def release(self, permit: Permit, how: SlotEnd) -> None:
        """Record that the attempt of a permit has ended; repetitions have no effect."""
        self._slots.end(permit.number, how)

    def is_denied_slot(self, upstream_id: str) -> bool:
        """Return whether an upstream had no slot a moment ago."""
        return self._slots.is_denied(upstream_id, self._clock())

    def authorize_send(self, permit: Permit) -> bool:
        """Return whether a request may be written now, and record it as sent if so."""
        takes_memory = self._clock() < permit.takes_memory_until
        if not takes_memory and not self.accepts_requests(permit.upstream_id):
            self.blocked_sends += 1
            return False
        self._cooldowns.note_sent(permit.upstream_id, self._clock())
        return True
