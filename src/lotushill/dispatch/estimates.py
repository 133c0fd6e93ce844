"""How long answers take: learned lengths by class, and the pace of the upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.dispatch.placement import usual_gap
from lotushill.dispatch.throughput import Throughput
from lotushill.upstreams.length_estimate import LengthEstimate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.dispatch.messages import Ask
    from lotushill.dispatch.upstream_state import UpstreamState


class Estimates:
    """What one cell has learned from whole answers."""

    def __init__(self, finish_quantile: float) -> None:
        self._finish_quantile = finish_quantile
        self._lengths: dict[tuple[str, str], LengthEstimate] = {}
        """By service and class."""
        self.ends = Throughput()
        self.gap = 0.0
        """Usual seconds between tokens, 0 while unknown."""
        self._slowest = 0.0
        """Seconds between tokens on the slowest upstream, 0 while unknown."""

    def learn(
        self, ask: Ask, output_tokens: int, upstreams: Iterable[UpstreamState], now: float
    ) -> None:
        """Learn from one whole answer."""
        known = list(upstreams)
        self.ends.add(now)
        self.gap = usual_gap(known)
        self._slowest = max(item.health.gap for item in known)
        self._length(ask).add(output_tokens + ask.resumed_tokens)

    def remaining_tokens(self, ask: Ask) -> float:
        """Return the output tokens that are expected to come, at least one."""
        return max(1.0, self._length(ask).mean(ask.output_limit) - ask.resumed_tokens)

    def mean_seconds(self, ask: Ask) -> float:
        """Return the seconds that an answer of the class takes on average, 0 while unknown."""
        return self.remaining_tokens(ask) * self.gap

    def most_seconds(self, ask: Ask) -> float:
        """Return the seconds within which most answers are whole, 0 while unknown."""
        length = self._length(ask)
        if not length.known():
            return 0.0
        tokens = length.quantile(self._finish_quantile, ask.output_limit)
        return max(0, tokens - ask.resumed_tokens) * self._slowest

    def _length(self, ask: Ask) -> LengthEstimate:
        # Teams share what is known of a class: a few long answers of one team must not make its
        # requests look hopeless.
        key = (ask.service, ask.klass)
        found = self._lengths.get(key)
        if found is None:
            found = self._lengths[key] = LengthEstimate()
        return found
