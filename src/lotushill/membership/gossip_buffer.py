"""What a member still has to pass on of others."""

from __future__ import annotations

_REPEATS = 6
"""Times that each item is passed on."""
MAX_STATES_PER_PACKET = 12


class GossipBuffer:
    """Names of members whose states are news, the freshest first."""

    def __init__(self) -> None:
        self._left: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Note that a member's state changed."""
        self._left[name] = _REPEATS

    def next_batch(self) -> list[str]:
        """Return the names for one packet; each is returned a few times in all."""
        names = sorted(self._left, key=lambda name: -self._left[name])[:MAX_STATES_PER_PACKET]
        for name in names:
            self._left[name] -= 1
            if not self._left[name]:
                del self._left[name]
        return names
