"""Which prompt parts an upstream still keeps, told by what was sent there."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from lotushill.routing.demand import PromptPart

    Chain = tuple[tuple[int, PromptPart], ...]
    """Parts in order, each with a key that covers all parts before it as well."""

_SEED = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1


class PrefixCacheModel:
    """Parts by their whole chain, the longest unused first to give way."""

    def __init__(self) -> None:
        self._tokens: OrderedDict[int, int] = OrderedDict()
        self._held = 0

    def matched_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Return how many leading tokens of a prompt are likely kept."""
        return self.matched_chain_tokens(tuple(chain_parts(parts)))

    def matched_chain_tokens(self, chain: Chain) -> int:
        """Return the same for parts that were chained before, as for many upstreams at once."""
        total = 0
        for key, part in chain:
            if key not in self._tokens:
                return total
            total += part.tokens
        return total

    def touch(self, parts: Iterable[PromptPart], room: int) -> None:
        """Note that a prompt was read, where parts of `room` tokens in all can be kept."""
        for key, part in chain_parts(parts):
            if key in self._tokens:
                self._tokens.move_to_end(key)
                continue
            self._tokens[key] = part.tokens
            self._held += part.tokens
        while self._tokens and self._held > room:
            _, tokens = self._tokens.popitem(last=False)
            self._held -= tokens


def chain_parts(parts: Iterable[PromptPart]) -> Iterator[tuple[int, PromptPart]]:
    """Yield each part with a key that covers all parts before it as well."""
    key = _SEED
    for part in parts:
        key = ((key ^ part.id) * _SEED + part.tokens) & _MASK
        yield key, part
