"""What gateways tell each other of upstreams that said that they leave."""

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
    """Passes on what upstreams say in answers, for as long as their entries do not say it.

    The entry of an upstream that leaves is late in an outage of the store, and silent where the
    upstream never says there that it drains: the gateways that it did not answer would go on
    sending it requests until it has ended.
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
        """Tell as the gateway `name`; `tell` sends to all other gateways."""
        self._name = name
        self._upstreams = upstreams
        self._tell = broadcast
        self._log = log
        self._clock = clock
        self._telling = AnnouncementSchedule(rng)

    def note_answer(self, upstream_id: str) -> None:
        """Note that an upstream has said in an answer that it leaves."""
        self._take(upstream_id, "answer")

    def receive(self, news: LeavingNews) -> None:
        """Take what another gateway was told."""
        for upstream_id in news.upstreams:
            self._take(upstream_id, news.sender)
        missing = set(self._upstreams.announced_leaving) - set(news.upstreams)
        lacks = news.complete and bool(missing)
        self._telling.note_received(news.upstreams, news.complete, lacks, self._clock())

    def _take(self, upstream_id: str, source: str) -> None:
        if self._upstreams.note_leaving(upstream_id):
            self._log.note("upstream.leaving", upstream=upstream_id, source=source)
            self._telling.note(upstream_id, self._clock())

    def send_due(self) -> None:
        """Tell the others, if that is due."""
        leaving = self._upstreams.announced_leaving
        told = self._telling.due_names(leaving, self._clock())
        if told:
            self._tell(LeavingNews(self._name, tuple(told), len(told) == len(leaving)))
