"""What gateways tell each other of the limits that upstreams name in their answers."""

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

_WAY_SECONDS = 0.05
"""What news take on their way at most, as a rule. Taken for sent so much earlier, the word that
they bring is never held for later than one which it crossed."""


class LimitGossip:
    """Passes on the newest word of each limit, its end included, to all other gateways.

    An engine names its limit to the few gateways that it answers, and means all of them.
    """

    def __init__(
        self,
        name: str,
        limits: StatedLimits,
        tell: Callable[[LimitNews], None],
        on_change: Callable[[str], None],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Tell as the gateway `name`; `on_change` hears of each upstream with another limit."""
        self._name = name
        self._limits = limits
        self._tell = tell
        self._on_change = on_change
        self._log = log
        self._clock = clock
        self._telling = AnnouncementSchedule(rng)

    def note_answer(self, upstream_id: str, word: LimitReport) -> None:
        """Take in what an answer to a request of this gateway said."""
        self._take(upstream_id, word, "answer")

    def merge(self, state: LimitState, source: str) -> None:
        """Take in what another gateway was told."""
        now = self._clock()
        word = LimitReport(state.rate, now - state.asked_age - _WAY_SECONDS, now - state.heard_age)
        if word.rate > 0.0 and word.sent_at <= word.received_at <= now:
            self._take(state.upstream, word, source)

    def receive(self, news: LimitNews) -> None:
        """Take in news, and see whether their sender lacks any."""
        for state in news.limits:
            self.merge(state, news.sender)
        agrees = all(self._limits.rate(item.upstream) == item.rate for item in news.limits)
        lacks = news.complete and len(news.limits) < len(self._limits.reports())
        told = [item.upstream for item in news.limits]
        self._telling.note_received(told, news.complete, lacks or not agrees, self._clock())

    def state(self, upstream_id: str, word: LimitReport) -> LimitState:
        """Return a word as it is told."""
        now = self._clock()
        return LimitState(upstream_id, word.rate, now - word.sent_at, now - word.received_at)

    def send_due(self) -> None:
        """Tell the others, if that is due."""
        words = self._limits.reports()
        told = self._telling.due_names(words, self._clock())
        if told:
            states = tuple(self.state(name, words[name]) for name in told)
            self._tell(LimitNews(self._name, states, len(told) == len(words)))

    def _take(self, upstream_id: str, word: LimitReport, source: str) -> None:
        if not self._limits.merge(upstream_id, word):
            return
        rate = finite_or_none(word.rate)
        self._log.note("upstream.limits", upstream=upstream_id, rate=rate, source=source)
        self._on_change(upstream_id)
        self._telling.note(upstream_id, self._clock())
