"""Updates between gateways on upstreams that have announced a shutdown in an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.availability.announcement_schedule import AnnouncementSchedule
from lotushill.links.messages import LeavingNews

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.views.upstream_view import UpstreamView


class LeavingGossip:
    """Passes on the announcements of leaving upstreams until their entries in the store show them.

    The entry of a leaving upstream is late during an outage of the store, and never shows it if the
    upstream does not mark itself as draining there. The gateways without an answer from it would
    then keep sending it requests until it has terminated.
    """

    def __init__(
        self,
        name: str,
        upstreams: UpstreamView,
        broadcast: Callable[[LeavingNews], None],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Send as the gateway `name`; `broadcast` sends to all other gateways."""
        self._name = name
        self._upstreams = upstreams
        self._broadcast = broadcast
        self._log = log
        self._clock = clock
        self._schedule = AnnouncementSchedule(rng)

    def note_answer(self, upstream_id: str) -> None:
        """Record that an upstream announced in an answer that it leaves."""
        self._merge(upstream_id, "answer")

    def receive(self, update: LeavingNews) -> None:
        """Merge the announcements that another gateway has recorded."""
        for upstream_id in update.upstreams:
            self._merge(upstream_id, update.sender)
        missing = set(self._upstreams.announced_leaving) - set(update.upstreams)
        lacks = update.complete and bool(missing)
        self._schedule.note_received(update.upstreams, update.complete, lacks, self._clock())

    def _merge(self, upstream_id: str, source: str) -> None:
        if self._upstreams.note_leaving(upstream_id):
            self._log.note("upstream.leaving", upstream=upstream_id, source=source)
            self._schedule.note(upstream_id, self._clock())

    def send_due(self) -> None:
        """Send an update to the other gateways if one is due."""
        leaving = self._upstreams.announced_leaving
        due = self._schedule.due_names(leaving, self._clock())
        if due:
            self._broadcast(LeavingNews(self._name, tuple(due), len(due) == len(leaving)))
