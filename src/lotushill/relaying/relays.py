"""Access to the gateways through which upstreams may be reached."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from lotushill.links.seal import Seal
    from lotushill.relaying.relay_choice import Peer


@dataclass(frozen=True)
class Relays:
    """The other gateways, and what is needed to use them."""

    own_name: str
    hall: str
    """Hall of this gateway."""
    peers: Callable[[], Sequence[Peer]]
    """Returns the other gateways that are alive."""
    seal: Seal
    rng: random.Random
