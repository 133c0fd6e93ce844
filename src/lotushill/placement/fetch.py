"""Plans copies of cached prompt parts between upstreams, in place of another prefill.

Copying a part of some thousand tokens takes a third of the time of its prefill, does not delay
other requests, and costs a small fraction of a prefill. Performs no I/O.
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
"""Minimum number of tokens to copy; fewer are processed as quickly as they are copied."""
_LARGEST_SHARE = 0.8
"""Maximum time of a copy as a fraction of the prefill time; a copy that saves less is not worth its
price."""


@dataclass(frozen=True)
class Fetch:
    """A copy of prompt parts from one upstream to another."""

    source: Upstream
    tokens: int
    seconds: float
    """Predicted time of the copy."""


class FetchPlanner:
    """Finds the best source for each upstream that may run one request."""

    def __init__(
        self, engine: EngineProfile, kept: Mapping[str, int], upstreams: Mapping[str, Upstream]
    ) -> None:
        """Prepare copies between upstreams.

        `kept` maps each healthy upstream to the number of leading prompt tokens that it caches.
        """
        self._engine = engine
        self._best = max(kept.values(), default=0)
        sources = [upstreams[name] for name, held in kept.items() if held == self._best]
        sources.sort(key=lambda item: item.id)
        self._source = sources[0] if sources else None
        self._near = {item.hall: item for item in reversed(sources)}

    def plan(self, target: Upstream, own: int, read_rate: float) -> Fetch | None:
        """Return the copy that saves `target` the most tokens, None if no copy is worthwhile.

        The target itself caches `own` tokens. `read_rate` is in tokens per second.
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
