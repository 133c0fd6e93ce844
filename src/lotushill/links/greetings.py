"""Bounds the connections that have not shown yet that another gateway opened them.

Anyone who reaches the address for peers can open connections and send nothing, or no valid frame. A
gateway sends its first frame within a round trip, so the connection that has been without one for
longest gives way once there are many.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_GREETINGS = 64
"""Number of connections without a first frame at once."""
MAX_GREETING_BYTES = 4096
"""Longest first frame: it names its sender, or the upstream that is to be reached."""
_GREETING_TIMEOUT_SECONDS = 2.0


class Greetings:
    """The accepted connections whose first frame is awaited."""

    def __init__(self) -> None:
        self._scopes: dict[int, anyio.CancelScope] = {}
        """Cancel scopes by number, the oldest first."""
        self._accepted = 0

    @contextlib.contextmanager
    def limit(self) -> Iterator[anyio.CancelScope]:
        """Yield the scope in which a first frame is awaited, for a bounded time.

        It is cancelled as well if its connection gives way to a new one.
        """
        while len(self._scopes) >= MAX_GREETINGS:
            self._scopes.pop(next(iter(self._scopes))).cancel()
        self._accepted += 1
        number = self._accepted
        with anyio.move_on_after(_GREETING_TIMEOUT_SECONDS) as scope:
            self._scopes[number] = scope
            try:
                yield scope
            finally:
                self._scopes.pop(number, None)
