"""Model of an upstream's prefix cache, derived from the prompts that were sent there."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from lotushill.routing.demand import PromptPart

    Chain = tuple[tuple[int, PromptPart], ...]
    """Prompt parts in order, each with a key that also covers all parts before it."""

_SEED = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1
_MAX_PARTS = 8192
"""Number of parts that the model of one upstream keeps: callers state parts of any size, also of
none, and the parts of usual prompts fill the memory of an engine before there are as many."""


class PrefixCacheModel:
    """LRU cache of prompt parts, each identified by its whole chain of parts."""

    def __init__(self) -> None:
        self._tokens: OrderedDict[int, int] = OrderedDict()
        self._cached_tokens = 0

    def __len__(self) -> int:
        """Return the number of parts that are kept."""
        return len(self._tokens)

    def matched_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Return how many leading tokens of a prompt are probably cached."""
        return self.matched_chain_tokens(tuple(chain_parts(parts)))

    def matched_chain_tokens(self, chain: Chain) -> int:
        """Return the same for parts that are already chained.

        The chain is computed once for many upstreams.
        """
        total = 0
        for key, part in chain:
            if key not in self._tokens:
                return total
            total += part.tokens
        return total

    def touch(self, parts: Iterable[PromptPart], capacity: int) -> None:
        """Record that a prompt was processed, with a cache capacity of `capacity` tokens."""
        for key, part in chain_parts(parts):
            if key in self._tokens:
                self._tokens.move_to_end(key)
                continue
            self._tokens[key] = part.tokens
            self._cached_tokens += part.tokens
        while self._tokens and (self._cached_tokens > capacity or len(self._tokens) > _MAX_PARTS):
            _, tokens = self._tokens.popitem(last=False)
            self._cached_tokens -= tokens


def chain_parts(parts: Iterable[PromptPart]) -> Iterator[tuple[int, PromptPart]]:
    """Yield each part with a key that also covers all parts before it."""
    key = _SEED
    for part in parts:
        key = ((key ^ part.id) * _SEED + part.tokens) & _MASK
        yield key, part
