"""Plans copies of cached prompt parts between upstreams, in place of another prefill.

Copying a part of some thousand tokens takes a third of the time of its prefill, does not delay
other requests, and costs a small fraction of a prefill. Performs no I/O.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lotushill.routing.service import EngineProfile
    from lotushill.routing.upstream import Upstream

_SETUP_SECONDS = 0.005
_OTHER_HALL_FACTOR = 2.0
_MIN_TOKENS = 256
"""Minimum number of tokens to copy; fewer are processed as quickly as they are copied."""
_MAX_TIME_FRACTION = 0.8
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
        self,
        engine: EngineProfile,
        cached_tokens: Mapping[str, int],
        upstreams: Mapping[str, Upstream],
    ) -> None:
        """Prepare copies between upstreams of one software version.

        `cached_tokens` maps each healthy upstream to the number of leading prompt tokens that it
        caches.
        """
        self._engine = engine
        by_version: dict[str, dict[str, int]] = defaultdict(dict)
        for name, tokens in cached_tokens.items():
            by_version[upstreams[name].version][name] = tokens
        self._sources = {
            version: _Sources(tokens, upstreams) for version, tokens in by_version.items()
        }

    def plan(self, target: Upstream, own_tokens: int, prefill_rate: float) -> Fetch | None:
        """Return the copy that saves `target` the most tokens, None if no copy is worthwhile.

        The target itself caches `own_tokens`. `prefill_rate` is in tokens per second.
        """
        sources = self._sources.get(target.version)
        if sources is None or not self._engine.link_rate:
            return None
        tokens = sources.cached_tokens - own_tokens
        if tokens < _MIN_TOKENS:
            return None
        source = sources.nearest(target)
        seconds = self._copy_seconds(tokens, source.hall == target.hall)
        if seconds > _MAX_TIME_FRACTION * tokens / prefill_rate:
            return None
        return Fetch(source, tokens, seconds)

    def _copy_seconds(self, tokens: int, same_hall: bool) -> float:
        factor = 1.0 if same_hall else _OTHER_HALL_FACTOR
        return _SETUP_SECONDS + factor * tokens * self._engine.token_bytes / self._engine.link_rate


class _Sources:
    """The upstreams of one version that cache the most tokens of the prompt."""

    def __init__(self, cached_tokens: Mapping[str, int], upstreams: Mapping[str, Upstream]) -> None:
        self.cached_tokens = max(cached_tokens.values())
        sources = [
            upstreams[name]
            for name, tokens in cached_tokens.items()
            if tokens == self.cached_tokens
        ]
        sources.sort(key=lambda item: item.id)
        self._first = sources[0]
        self._by_hall = {item.hall: item for item in reversed(sources)}

    def nearest(self, target: Upstream) -> Upstream:
        """Return a source in the target's hall, or the first one of all."""
        return self._by_hall.get(target.hall, self._first)
