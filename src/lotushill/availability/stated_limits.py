"""The rates at which upstreams take requests from all gateways together, by their newest words."""

from __future__ import annotations

import math
from dataclasses import dataclass

NO_LIMIT = math.inf
_KEPT_SECONDS = 30.0
"""How long an end of a limit is remembered, and a limit of an upstream that no view knows: longer
than news are under way, and than an entry lapses for."""


@dataclass(frozen=True)
class LimitReport:
    """What one answer said of an upstream's limit; it was said between two moments."""

    rate: float
    """Requests a second from all gateways together, `NO_LIMIT` where it named none."""
    sent_at: float
    """When the request was sent."""
    received_at: float
    """When its answer came."""


class StatedLimits:
    """The newest word of each upstream's life. Pure, with the clock's times passed in.

    An upstream counts its words for nobody, so that their order is known only as far as their
    times do not overlap. Of two that do the lower rate holds: a later answer settles it.
    """

    def __init__(self) -> None:
        self._words: dict[str, LimitReport] = {}

    def merge(self, upstream_id: str, word: LimitReport) -> bool:
        """Take in a word of an own answer or of another gateway's; return whether it is news.

        Nothing is kept for an upstream that never named a limit.
        """
        known = self._words.get(upstream_id)
        if known is None:
            if word.rate < NO_LIMIT:
                self._words[upstream_id] = word
                return True
            return False
        if not _replaces(word, known):
            return False
        self._words[upstream_id] = word
        return word.rate != known.rate

    def rate(self, upstream_id: str) -> float:
        """Return the requests a second that an upstream takes, `NO_LIMIT` without a limit."""
        known = self._words.get(upstream_id)
        return known.rate if known is not None else NO_LIMIT

    def report(self, upstream_id: str) -> LimitReport | None:
        """Return the newest word of an upstream that ever named a limit."""
        return self._words.get(upstream_id)

    def reports(self) -> dict[str, LimitReport]:
        """Return all words that are kept, the ends of limits among them."""
        return dict(self._words)

    def limited_rates(self) -> dict[str, float]:
        """Return the rates of all upstreams that have a limit."""
        return {name: word.rate for name, word in self._words.items() if word.rate < NO_LIMIT}

    @property
    def empty(self) -> bool:
        """Return whether nothing is kept."""
        return not self._words

    def forget(self, known: set[str], now: float) -> None:
        """Drop ends of limits, and limits of upstreams that no view knows, once they are old."""
        for upstream_id, word in list(self._words.items()):
            over = word.rate == NO_LIMIT or upstream_id not in known
            if over and now - word.received_at > _KEPT_SECONDS:
                del self._words[upstream_id]


def finite_or_none(rate: float | None) -> float | None:
    """Return a rate as a log line can hold it, None without a limit."""
    return rate if rate is not None and rate < NO_LIMIT else None


def _replaces(word: LimitReport, known: LimitReport) -> bool:
    """Return whether a word is to be believed in place of the one that is known."""
    if word.rate == known.rate:
        return word.received_at > known.received_at
    if word.sent_at >= known.received_at:
        return True
    overlap = known.sent_at < word.received_at
    return overlap and word.rate < known.rate
