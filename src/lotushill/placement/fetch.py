"""Prompt parts taken from another upstream's memory in place of reading them again.

A part of some thousand tokens is copied in a third of the time that reading it takes, keeps nobody
else waiting, and is priced at a small part of reading it. Pure.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lotushill.routing.service import EngineProfile
    from lotushill.routing.upstream import Upstream

_SETUP_SECONDS = 0.005
_OTHER_HALL_FACTOR = 2.0
_LEAST_TOKENS = 256
"""Fewer are read as quickly as they are fetched."""
_LARGEST_SHARE = 0.8
"""Of the time that reading takes; a copy that saves less is not worth its price."""


@dataclass(frozen=True)
class Fetch:
    """A copy of prompt parts from one upstream to another."""

    source: Upstream
    tokens: int
    seconds: float
    """Predicted."""


class FetchPlanner:
    """Finds the best source for each upstream that may run one request."""

    def __init__(
        self, engine: EngineProfile, kept: Mapping[str, int], upstreams: Mapping[str, Upstream]
    ) -> None:
        """Plan copies; `kept` tells the leading prompt tokens that each sound upstream keeps."""
        self._engine = engine
        self._best = max(kept.values(), default=0)
        sources = [upstreams[name] for name, held in kept.items() if held == self._best]
        sources.sort(key=lambda item: item.id)
        self._source = sources[0] if sources else None
        self._near = {item.hall: item for item in reversed(sources)}

    def plan(self, target: Upstream, own: int, read_rate: float) -> Fetch | None:
        """Return the copy that saves `target` most, which itself keeps `own` tokens.

        `read_rate` is in tokens a second.
        """
        tokens = self._best - own
        source = self._near.get(target.hall, self._source)
        if source is None or not self._engine.link_rate or tokens < _LEAST_TOKENS:
            return None
        seconds = self._seconds(tokens, source.hall == target.hall)
        if seconds > _LARGEST_SHARE * tokens / read_rate:
            return None
        return Fetch(source, tokens, seconds)

    def _seconds(self, tokens: int, near: bool) -> float:
        factor = 1.0 if near else _OTHER_HALL_FACTOR
        return _SETUP_SECONDS + factor * tokens * self._engine.token_bytes / self._engine.link_rate
