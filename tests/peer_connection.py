"""A connection to the address for peers of a gateway that runs as a process of its own."""

from __future__ import annotations

import hashlib
import secrets
import struct

import anyio

from lotushill.links.address import split_address
from lotushill.links.channel import CHALLENGE_BYTES
from lotushill.links.channel import MAX_FRAME_BYTES
from lotushill.links.channel import Channel
from lotushill.links.messages import Ping
from lotushill.links.seal import CODE_BYTES
from lotushill.links.seal import Seal

WRONG_CODE = struct.pack("!I", CODE_BYTES) + bytes(CODE_BYTES)
"""A frame whose code matches no key."""
TOO_LONG = struct.pack("!I", MAX_FRAME_BYTES + 1)
"""Header of a frame that is longer than frames may be."""


class PeerConnection:
    """A connection to a gateway, opened as another gateway opens one."""

    def __init__(self, stream: anyio.abc.SocketStream, channel: Channel) -> None:
        self.stream = stream
        self.channel = channel

    @classmethod
    async def open(cls, address: str, store: str) -> PeerConnection:
        """Connect to the gateway at `address`, which uses the store at the address `store`."""
        digest = hashlib.blake2b(store.encode(), digest_size=16).digest()
        stream = await anyio.connect_tcp(*split_address(address))
        challenge = secrets.token_bytes(CHALLENGE_BYTES)
        channel = await Channel.open(stream, Seal((digest,)), challenge)
        await channel.send(Ping("gw-9", 0, "", ()))
        return cls(stream, channel)

    async def send_payload(self, payload: bytes) -> None:
        """Send a frame with a valid code around bytes that are no message."""
        channel = self.channel
        context = channel._out_context + struct.pack("!Q", channel._sent)
        sealed = channel._seal.sign(payload, context)
        channel._sent += 1
        await self.stream.send(struct.pack("!I", len(sealed)) + sealed)

    async def wait_closed(self) -> None:
        """Wait until the gateway has closed the connection."""
        try:
            while True:
                await self.stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            await self.stream.aclose()
