"""Gossip between gateways about the limits that upstreams state in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.availability.announcement_schedule import AnnouncementSchedule
from lotushill.availability.stated_limits import LimitReport
from lotushill.availability.stated_limits import finite_or_none
from lotushill.links.limit_messages import LimitNews
from lotushill.links.limit_messages import LimitState

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.availability.stated_limits import StatedLimits
    from lotushill.event_log import EventLog

_GOSSIP_DELAY_SECONDS = 0.05
"""Usual upper bound of the delay of gossip. The sending time of a received report is dated back by
it, so that the report is never taken to be later than one that it crossed on the way."""


class LimitGossip:
    """Sends the newest report of each limit, including its end, to all other gateways.

    An engine states its limit only to the few gateways that it answers, but it applies to all.
    """

    def __init__(
        self,
        name: str,
        limits: StatedLimits,
        broadcast: Callable[[LimitNews], None],
        on_change: Callable[[str], None],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
        on_rejections: bool = False,
    ) -> None:
        """Create it for the gateway `name`; `on_change` gets each upstream whose limit changed.

        `on_rejections` states whether the limits are on the requests that upstreams reject.
        """
        self._name = name
        self._limits = limits
        self._broadcast = broadcast
        self._on_change = on_change
        self._log = log
        self._clock = clock
        self._on_rejections = on_rejections
        self._schedule = AnnouncementSchedule(rng)

    def note_answer(self, upstream_id: str, report: LimitReport) -> None:
        """Merge the limit stated in an answer to a request of this gateway."""
        self._merge(upstream_id, report, "answer")

    def merge(self, state: LimitState, source: str) -> None:
        """Merge a limit that another gateway received."""
        now = self._clock()
        report = LimitReport(
            state.rate, now - state.asked_age - _GOSSIP_DELAY_SECONDS, now - state.heard_age
        )
        if report.rate >= 0.0 and report.sent_at <= report.received_at <= now:
            self._merge(state.upstream, report, source)

    def receive(self, update: LimitNews) -> None:
        """Merge gossip, and record whether its sender lacks limits known here."""
        for state in update.limits:
            self.merge(state, update.sender)
        agrees = all(self._limits.rate(item.upstream) == item.rate for item in update.limits)
        sender_lacks_limits = update.complete and len(update.limits) < len(self._limits.reports())
        names = [item.upstream for item in update.limits]
        self._schedule.note_received(
            names, update.complete, sender_lacks_limits or not agrees, self._clock()
        )

    def state(self, upstream_id: str, report: LimitReport) -> LimitState:
        """Return a report in the form in which it is sent."""
        now = self._clock()
        return LimitState(upstream_id, report.rate, now - report.sent_at, now - report.received_at)

    def send_due(self) -> None:
        """Send reports to the other gateways if an announcement is due."""
        reports = self._limits.reports()
        names = self._schedule.due_names(reports, self._clock())
        if names:
            states = tuple(self.state(name, reports[name]) for name in names)
            complete = len(names) == len(reports)
            self._broadcast(LimitNews(self._name, states, complete, self._on_rejections))

    def _merge(self, upstream_id: str, report: LimitReport, source: str) -> None:
        if not self._limits.merge(upstream_id, report):
            return
        rate = finite_or_none(report.rate)
        event = "upstream.brittle" if self._on_rejections else "upstream.limits"
        self._log.note(event, upstream=upstream_id, rate=rate, source=source)
        self._on_change(upstream_id)
        self._schedule.note(upstream_id, self._clock())
