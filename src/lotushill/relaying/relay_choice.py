"""Chooses the gateways through which a connection to an upstream is opened. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

MAX_RELAYS_ASKED = 3
"""Maximum number of gateways that are asked for one connection."""
_PROVEN_SECONDS = 10.0
"""Time for which a gateway counts as proven after it has opened a connection."""
_FAILED_SECONDS = 2.0
"""Time for which a gateway that could not serve is not asked."""
_MIN_PROVEN = 4
"""Number of proven gateways below which another one is tried, so that the load is spread."""


@dataclass(frozen=True)
class Peer:
    """A live gateway other than this one."""

    name: str
    address: str
    """Address for connections of other gateways (IP:PORT)."""
    hall: str


class RelayChoice:
    """What this gateway knows of its peers as relays."""

    def __init__(self, hall: str) -> None:
        """Prefer relays in `hall`, that of this gateway."""
        self._hall = hall
        self._proven_until: dict[str, float] = {}
        self._failed_until: dict[str, float] = {}

    def note_served(self, name: str, now: float) -> None:
        """Record that a gateway has opened a connection to an upstream."""
        self._proven_until[name] = now + _PROVEN_SECONDS
        self._failed_until.pop(name, None)

    def note_failed(self, name: str, now: float) -> None:
        """Record that a gateway cannot serve as a relay at present, whatever the upstream."""
        self._failed_until[name] = now + _FAILED_SECONDS
        self._proven_until.pop(name, None)

    def candidates(self, peers: Sequence[Peer], now: float, rng: random.Random) -> list[Peer]:
        """Return the gateways to ask, in this order; empty if all of them failed of late.

        Of the unproven, the first is of the own hall and the next of another one, since all
        gateways of a hall may be in the same trouble.
        """
        usable = [peer for peer in peers if now >= self._failed_until.get(peer.name, 0.0)]
        proven = [peer for peer in usable if now < self._proven_until.get(peer.name, 0.0)]
        others = [peer for peer in usable if peer not in proven]
        rng.shuffle(proven)
        rng.shuffle(others)
        near = [peer for peer in others if peer.hall == self._hall]
        far = [peer for peer in others if peer.hall != self._hall]
        unproven = near[:1] + far[:1] + near[1:] + far[1:]
        if len(proven) < _MIN_PROVEN:
            order = unproven[:1] + proven + unproven[1:]
        else:
            order = proven + unproven
        return order[:MAX_RELAYS_ASKED]

    def retain_only(self, known: set[str]) -> None:
        """Drop what is known of gateways that are not in `known`."""
        for times in (self._proven_until, self._failed_until):
            for name in times.keys() - known:
                del times[name]
