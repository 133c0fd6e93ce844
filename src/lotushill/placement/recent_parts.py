"""Tracks which shared prompt parts any upstream has used recently."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.placement.prefix_cache_model import chain_parts

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.placement.prefix_cache_model import Chain
    from lotushill.routing.demand import PromptPart


_MAX_PARTS = 131_072
"""Number of parts that are kept, some 15 MB; ten seconds of 3,000 requests a second with four
shared parts each, if no two of them share any."""


class RecentParts:
    """Times of the last use of each part on any upstream.

    Processing a recently used part again is wasted work.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        """Seconds for which a part counts as recently used."""
        self._used_at: dict[int, float] = {}
        """Time of the last use by key, the one used longest ago first."""

    def __len__(self) -> int:
        """Return the number of parts that are kept."""
        return len(self._used_at)

    def note(self, parts: Sequence[PromptPart], now: float) -> None:
        """Record that a prompt is being processed; its last part is not shared."""
        for key, _ in chain_parts(parts[:-1]):
            self._used_at.pop(key, None)
            self._used_at[key] = now
        while len(self._used_at) > _MAX_PARTS:
            del self._used_at[next(iter(self._used_at))]

    def reread_tokens(self, parts: Sequence[PromptPart], matched_tokens: int, now: float) -> int:
        """Return the recently used shared tokens after the first `matched_tokens`."""
        return self.reread_chain_tokens(tuple(chain_parts(parts[:-1])), matched_tokens, now)

    def reread_chain_tokens(self, shared: Chain, matched_tokens: int, now: float) -> int:
        """Return the same for the shared parts of a prompt that are already chained."""
        position = 0
        total = 0
        for key, part in shared:
            position += part.tokens
            if (
                position > matched_tokens
                and now - self._used_at.get(key, float("-inf")) < self.seconds
            ):
                total += part.tokens
        return total

    def evict_old(self, now: float) -> None:
        """Remove parts that were not used recently."""
        self._used_at = {
            key: used for key, used in self._used_at.items() if now - used < self.seconds
        }
