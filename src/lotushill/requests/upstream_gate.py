"""The last checks before a request is written to an upstream: whether that wants any now."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import LimitReport
from lotushill.limits.permit_request import permit_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.availability.cooldowns import Cooldowns
    from lotushill.availability.statement import Statement
    from lotushill.event_log import EventLog
    from lotushill.limits.fleet_limits import FleetLimits
    from lotushill.placement.need import Need
    from lotushill.routing.upstream import Upstream
    from lotushill.views.upstream_view import UpstreamView


@dataclass(frozen=True)
class Permit:
    """Lets one request be written to one upstream: without it none is."""

    upstream_id: str
    returns_to_source: bool = False
    """Whether a run goes back to the upstream that stopped it, which may be leaving."""


class UpstreamGate:
    """Hears what upstreams say of themselves and keeps requests from those that want none.

    Requests come to an upstream on several ways: chosen here, by a scheduler, among a few when no
    scheduler answers, as a run that goes on from its copy, or after waiting for a connection or
    through a suspension. Those who choose look at the same facts; this holds for all of them.
    """

    def __init__(
        self,
        upstreams: UpstreamView,
        rests: Cooldowns,
        limits: FleetLimits,
        on_leaving: Callable[[str], None],
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        """Tell `on_leaving` of each upstream that says that it leaves."""
        self._upstreams = upstreams
        self._rests = rests
        self._limits = limits
        self._on_leaving = on_leaving
        self._log = log
        self._clock = clock
        self.blocked_sends = 0
        """Sends that were kept back so far, after the upstream had been chosen."""
        self.unreadable_cooldowns = 0
        """Wishes for rest that could not be read so far."""
        self.requests_without_permit = 0
        """Requests for which there was no permit at the upstream that was chosen, so far."""
        self.unreadable_limits = 0
        """Limits that could not be read so far."""

    def record_statement(self, upstream_id: str, said: Statement, asked: float) -> None:
        """Take in what the answer to a request that was sent at `asked` says of its upstream."""
        now = self._clock()
        if said.unreadable_cooldown:
            self.unreadable_cooldowns += 1
        if said.cooldown:
            self._rests.note_requested(upstream_id, said.cooldown, now)
            self._log.note("upstream.rests", upstream=upstream_id, seconds=said.cooldown)
        else:
            self._rests.note_accepted(upstream_id, now)
        if said.leaving:
            self._on_leaving(upstream_id)
        if said.unreadable_limit:
            self.unreadable_limits += 1
            self._log.note(
                "upstream.limit_unreadable", upstream=upstream_id, value=said.unreadable_limit
            )
        if said.limit is not None:
            self._limits.gossip.note_answer(upstream_id, LimitReport(said.limit, asked, now))

    def accepts_requests(self, upstream_id: str) -> bool:
        """Return whether an upstream takes new requests of this gateway now, as far as is known."""
        known = self._upstreams.find(upstream_id)
        if known is None or known.draining:
            return False
        return not self._rests.is_barred(upstream_id, self._clock())

    async def admit(self, upstream: Upstream, need: Need) -> Permit | None:
        """Return the permit for one request, None if it has to go elsewhere.

        Asked before a connection is opened, a run counted or a repeat spent: what is not admitted
        has cost nothing.
        """
        if not self._limits.is_limited(upstream.id):
            return Permit(upstream.id)
        if await self._limits.admit(permit_request(upstream, need)):
            return Permit(upstream.id)
        self.requests_without_permit += 1
        return None

    def authorize_send(self, permit: Permit) -> bool:
        """Return whether a request may be written now, and count it if so."""
        if not permit.returns_to_source and not self.accepts_requests(permit.upstream_id):
            self.blocked_sends += 1
            return False
        self._rests.note_sent(permit.upstream_id, self._clock())
        return True
