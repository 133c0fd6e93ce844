"""Which shared prompt parts any upstream has used of late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.placement.prefix_cache_model import chain_parts

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.placement.prefix_cache_model import Chain
    from lotushill.routing.demand import PromptPart


class RecentParts:
    """When each part was last used anywhere; reading such a part again is wasted work."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        """How long a part counts as used of late."""
        self._used: dict[int, float] = {}

    def note(self, parts: Sequence[PromptPart], now: float) -> None:
        """Note that a prompt is being read; its last part is nobody else's."""
        for key, _ in chain_parts(parts[:-1]):
            self._used[key] = now

    def reread_tokens(self, parts: Sequence[PromptPart], matched: int, now: float) -> int:
        """Return the shared tokens behind the first `matched` that were read of late."""
        return self.reread_chain_tokens(tuple(chain_parts(parts[:-1])), matched, now)

    def reread_chain_tokens(self, shared: Chain, matched: int, now: float) -> int:
        """Return the same for the shared parts of a prompt, chained before."""
        position = 0
        total = 0
        for key, part in shared:
            position += part.tokens
            if position > matched and now - self._used.get(key, float("-inf")) < self.seconds:
                total += part.tokens
        return total

    def evict_old(self, now: float) -> None:
        """Drop parts that were not used of late."""
        self._used = {key: used for key, used in self._used.items() if now - used < self.seconds}
