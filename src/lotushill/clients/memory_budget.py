"""Bounds the memory that one process holds for all of its clients together.

The target load is a crowd of clients that each stay inside the limits of one request, or send what
is no request, and together hold more than the host has: bodies that stop just short of their end,
heads of many short lines, requests sent ahead, answers that are not taken. Memory is held before it
is filled. Once it is used up, the client that has held most for longest is given up if it has had
its time, and otherwise the one that asks for more is refused. Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

SMALL_BYTES = 64 * 1024
"""Memory of one client up to which it counts as small."""
_LARGE_FRACTION = 0.75
"""Fraction of the budget that large clients may use up, so that small ones always find some."""
MIN_SHED_SECONDS = 1.0
"""Time for which a client keeps its memory, although others lack it: sending the longest body takes
some tens of milliseconds, and taking an answer no longer."""


class HeldMemory:
    """Memory that is held for one client."""

    def __init__(self, budget: MemoryBudget, shed: Callable[[], None]) -> None:
        self._budget = budget
        self.size = 0
        """Bytes that are held."""
        self.shed = shed
        """Gives up what the client sends or does not take; releases its memory."""

    def hold(self, size: int) -> bool:
        """Hold `size` more bytes; return False, and hold nothing, if there is no memory for them.

        Other clients may be given up for it.
        """
        return self._budget.hold(self, size)

    def hold_unchecked(self, size: int) -> None:
        """Hold bytes that are in use already, also beyond the budget; give up others for them."""
        self._budget.hold_unchecked(self, size)

    def release(self, size: int) -> None:
        """Release some of the bytes that are held."""
        self._budget.release(self, min(size, self.size))

    def release_above(self, size: int) -> None:
        """Release all but `size` bytes."""
        self.release(self.size - size)

    def set_sheddable(self, since: float | None) -> None:
        """Let the memory be given up from some time after `since` on, or not, with None."""
        self._budget.set_sheddable(self, since)

    def close(self) -> None:
        """Release everything; called when the client's connection has ended."""
        self.release(self.size)
        self.set_sheddable(None)


class MemoryBudget:
    """Memory for all clients of one process, in bytes."""

    def __init__(self, limit: int, clock: Callable[[], float]) -> None:
        """Create the budget; `clock` returns seconds."""
        self.limit = limit
        self.used = 0
        self.peak = 0
        """Most bytes that were held at once."""
        self.shed_count = 0
        """Number of clients that were given up for others."""
        self._clock = clock
        self._sheddable: dict[HeldMemory, float] = {}
        """Clients that may be given up, with the time since when each holds its memory so."""

    def open(self, shed: Callable[[], None]) -> HeldMemory:
        """Return the memory of a new client, of which nothing is held."""
        return HeldMemory(self, shed)

    def hold(self, memory: HeldMemory, size: int) -> bool:
        """Hold more bytes for a client; return whether there is memory for them."""
        is_small = memory.size + size <= SMALL_BYTES
        limit = self.limit if is_small else int(self.limit * _LARGE_FRACTION)
        while self.used + size > limit:
            if not self.shed_one(memory):
                return False
        self._add(memory, size)
        return True

    def hold_unchecked(self, memory: HeldMemory, size: int) -> None:
        """Hold bytes beyond the budget if need be."""
        self._add(memory, size)
        while self.used > self.limit and self.shed_one(memory):
            pass

    def release(self, memory: HeldMemory, size: int) -> None:
        """Release some bytes of a client."""
        if size > 0:
            memory.size -= size
            self.used -= size

    def set_sheddable(self, memory: HeldMemory, since: float | None) -> None:
        """Enter a client among those that may be given up, or remove it."""
        if since is None:
            self._sheddable.pop(memory, None)
        else:
            self._sheddable[memory] = since

    def shed_one(self, asking: HeldMemory | None = None) -> bool:
        """Give up the client that has held most for longest, but not `asking`.

        Return whether there was one.
        """
        now = self._clock()
        costs = {
            memory: memory.size * (now - since)
            for memory, since in self._sheddable.items()
            if memory is not asking and now - since >= MIN_SHED_SECONDS
        }
        if not costs:
            return False
        victim = max(costs, key=lambda memory: costs[memory])
        self.set_sheddable(victim, None)
        self.shed_count += 1
        victim.shed()
        return True

    def _add(self, memory: HeldMemory, size: int) -> None:
        memory.size += size
        self.used += size
        self.peak = max(self.peak, self.used)
