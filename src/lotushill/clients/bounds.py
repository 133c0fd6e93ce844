"""The bounds that all client connections of one listener share, and what was done to keep them."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from lotushill.clients.connection_limit import ConnectionLimit
from lotushill.clients.connection_limit import max_connections
from lotushill.clients.memory_budget import MemoryBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.routing.limits import ClientLimits

_BYTES_PER_MB = 1_000_000
_CLIENT_MEMORY_FRACTION = 1 / 3
"""Fraction of the memory of the process that is held for clients at most.

The process itself, what it knows of the fleet, and what the allocator cannot reuse need the rest.
"""
_MIN_LARGEST_REQUESTS = 3
"""Number of requests of the largest legal size for which there is memory in any case."""
HEAD_ITEM_BYTES = 256
"""Memory for one header line, or for one item of a list in it, as objects."""
HEAD_BYTE_FACTOR = 4
"""Memory for each byte of a head: as received, as parsed, as text and as forwarded."""
MAX_WAITING_FOR_MEMORY = 64
"""Number of connections that wait for memory at once, each with what it has sent already."""


class Bound(Enum):
    """What a client met; the values are those of the metric's label and of the log line."""

    HEAD = "head"
    """A head is longer than the limit."""
    EMPTY_LINES = "empty_lines"
    """Too many empty lines came in place of a request."""
    FRAMING = "framing"
    """Too many bytes of chunk sizes or trailers came without a part of a body."""
    MEMORY = "memory"
    """There was no memory for a request, which was refused."""
    SHED = "shed"
    """A client had held memory for long that others needed."""
    SENT_AHEAD = "sent_ahead"
    """There was no memory for what was sent ahead of the answer, which is dropped."""
    BODY_AFTER_ANSWER = "body_after_answer"
    """The rest of a body that is not needed any more did not end."""
    UNREAD = "unread"
    """A client took nothing of its answer for the idle timeout."""
    IDLE_CONNECTION = "idle_connection"
    """A connection without a request was closed for a new one."""
    CONNECTION = "connection"
    """A new connection was closed as there are as many as there may be."""


class ClientBounds:
    """Memory and connections of all clients of one listener."""

    def __init__(self, memory_bytes: int, descriptors: int, clock: Callable[[], float]) -> None:
        """Create the bounds for a share of the memory and of the descriptors of the process.

        `clock` returns seconds.
        """
        self.clock = clock
        self.memory = MemoryBudget(memory_bytes, clock)
        self.connections = ConnectionLimit(max_connections(descriptors))
        self.reached: Counter[Bound] = Counter()
        """How often each bound was reached."""
        self.waiting_for_memory = 0
        """Number of connections that wait for memory."""
        self._reported: Counter[Bound] = Counter()
        self._memory_share = memory_bytes

    def adapt(self, limits: ClientLimits) -> None:
        """Make sure that requests of the largest legal size find memory."""
        largest = limits.body_bytes + head_memory_bytes(limits.header_bytes, limits.header_bytes)
        self.memory.limit = max(self._memory_share, _MIN_LARGEST_REQUESTS * largest)

    def note(self, bound: Bound) -> None:
        """Count that a client met a bound."""
        self.reached[bound] += 1

    def take_unreported(self) -> dict[str, int]:
        """Return how often each bound was reached since the last call, without those that were not.

        Used for the log, which has one line for many clients.
        """
        new = self.reached - self._reported
        self._reported = Counter(self.reached)
        return {bound.value: count for bound, count in new.items()}


def client_memory_bytes(memory_mb: float) -> int:
    """Return the bytes that clients may hold in a process that may use `memory_mb`."""
    return int(memory_mb * _BYTES_PER_MB * _CLIENT_MEMORY_FRACTION)


def head_memory_bytes(size: int, items: int) -> int:
    """Return the memory for `size` bytes of a head with some lines and items of lists."""
    return HEAD_BYTE_FACTOR * size + HEAD_ITEM_BYTES * items


def piece_memory_bytes(piece: bytes) -> int:
    """Return the memory for a piece of a head."""
    return head_memory_bytes(len(piece), piece.count(b"\n") + piece.count(b","))
