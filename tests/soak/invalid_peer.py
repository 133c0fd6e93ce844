"""A program of another version, or of no version, that connects to gateways as a peer does."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lotushill.links.exceptions import LinkError
from tests.peer_connection import TOO_LONG
from tests.peer_connection import WRONG_CODE
from tests.peer_connection import PeerConnection

if TYPE_CHECKING:
    import random

_INTERVAL_SECONDS = 0.2
_TIMEOUT_SECONDS = 3.0


async def send_invalid_frames(addresses: list[str], store: str, rng: random.Random) -> None:
    """Send gateways, at random, frames that they cannot read; each costs only its connection."""
    while True:
        await asyncio.sleep(_INTERVAL_SECONDS * rng.uniform(0.5, 1.5))
        address, frame = rng.choice(addresses), rng.choice((WRONG_CODE, TOO_LONG, b""))
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                peer = await PeerConnection.open(address, store)
                await (peer.stream.send(frame) if frame else peer.send_payload(rng.randbytes(40)))
                await peer.stream.aclose()
        except (OSError, LinkError):
            # The gateway is down or frozen.
            continue
