"""What gateways tell each other of upstreams that said that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.availability.newest_first import NewestFirst
from lotushill.availability.trickle import Trickle
from lotushill.links.messages import LeavingNews

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.views.upstream_view import UpstreamView


class LeavingKeeper:
    """Passes on what upstreams say in answers, for as long as their entries do not say it.

    The entry of an upstream that leaves is late in an outage of the store, and silent where the
    upstream never says there that it drains: the gateways that it did not answer would go on
    sending it requests until it has ended.
    """

    def __init__(
        self,
        name: str,
        upstreams: UpstreamView,
        tell: Callable[[LeavingNews], None],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Tell as the gateway `name`; `tell` sends to all other gateways."""
        self._name = name
        self._upstreams = upstreams
        self._tell = tell
        self._log = log
        self._clock = clock
        self._timer = Trickle(rng)
        self._order = NewestFirst(rng)

    def note(self, upstream_id: str) -> None:
        """Note that an upstream has said in an answer that it leaves."""
        self._take(upstream_id, "answer")

    def receive(self, news: LeavingNews) -> None:
        """Take what another gateway was told."""
        for upstream_id in news.upstreams:
            self._take(upstream_id, news.sender)
        missing = set(self._upstreams.leaving_by_word) - set(news.upstreams)
        if news.complete and missing:
            self._timer.reset(self._clock())
        elif not missing or self._order.is_told(news.upstreams):
            self._timer.hear()

    def _take(self, upstream_id: str, source: str) -> None:
        if self._upstreams.note_leaving(upstream_id):
            self._log.note("upstream.leaving", upstream=upstream_id, source=source)
            self._order.note(upstream_id, self._clock())
            self._timer.reset(self._clock())

    def tell_due(self) -> None:
        """Tell the others, if that is due."""
        leaving = self._upstreams.leaving_by_word
        if not leaving:
            self._timer.stop()
            return
        now = self._clock()
        if not self._timer.running:
            self._timer.reset(now)
        if self._timer.is_due(now):
            told = self._order.choose(leaving)
            self._tell(LeavingNews(self._name, tuple(told), len(told) == len(leaving)))
