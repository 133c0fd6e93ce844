"""What prefixes an engine is likely to hold, from what was sent there."""

from __future__ import annotations

from collections import OrderedDict

import xxhash

BLOCK_CHARS = 256
"""Characters of prompt in one block, some 64 tokens."""
TOKENS_PER_BLOCK = 64
MAX_BLOCKS = 32
"""Blocks hashed of one prompt; the rest of a long prompt is taken as not shared."""
_DEFAULT_CAPACITY = 4096


def hash_blocks(prompt: str) -> tuple[int, ...]:
    """Return the hash of each whole leading block, each covering all blocks before it."""
    digest = xxhash.xxh64()
    hashes: list[int] = []
    whole = min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)
    for index in range(whole):
        block = prompt[index * BLOCK_CHARS : (index + 1) * BLOCK_CHARS]
        # JSON may hold half of a surrogate pair, which has no plain encoding.
        digest.update(block.encode("utf-8", "surrogatepass"))
        hashes.append(digest.intdigest())
    return tuple(hashes)


class PrefixMemory:
    """The blocks one engine was sent most recently, as many as its cache may hold."""

    def __init__(self, capacity: int = _DEFAULT_CAPACITY) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def matched_tokens(self, prefix: tuple[int, ...]) -> int:
        """Return how many leading prompt tokens the engine likely holds."""
        matched = 0
        for block in prefix:
            if block not in self._blocks:
                break
            matched += TOKENS_PER_BLOCK
        return matched

    def add(self, prefix: tuple[int, ...]) -> None:
        """Note that a prompt with this prefix was sent to the engine."""
        for block in prefix:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    def evict(self, blocks: tuple[int, ...]) -> None:
        """Amend by a cache event: the engine dropped these blocks."""
        for block in blocks:
            self._blocks.pop(block, None)

    def clear(self) -> None:
        """Forget everything: the engine restarted."""
        self._blocks.clear()
