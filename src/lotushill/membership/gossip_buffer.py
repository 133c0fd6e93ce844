"""Buffer of member changes that are still to be passed on by gossip."""

from __future__ import annotations

_SENDS_PER_CHANGE = 6
"""Number of packets that carry each change."""
MAX_STATES_PER_PACKET = 12


class GossipBuffer:
    """Names of members whose states changed; the most recent and least sent come first."""

    def __init__(self) -> None:
        self._sends_left: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Add a member whose state changed."""
        self._sends_left[name] = _SENDS_PER_CHANGE

    def next_batch(self) -> list[str]:
        """Return the names for one packet; each name is returned a few times in total."""
        names = sorted(self._sends_left, key=lambda name: -self._sends_left[name])[
            :MAX_STATES_PER_PACKET
        ]
        for name in names:
            self._sends_left[name] -= 1
            if not self._sends_left[name]:
                del self._sends_left[name]
        return names
