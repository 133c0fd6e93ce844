"""A TCP connection between two processes that carries authenticated frames in both directions.

Each side first sends a random challenge. Every authentication code covers the challenge of the
other side and the frame's number, so frames cannot be replayed, reordered or reflected.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import anyio

from lotushill.links.codec import Message
from lotushill.links.codec import decode
from lotushill.links.codec import encode
from lotushill.links.exceptions import FrameTooLargeError
from lotushill.links.exceptions import LinkClosedError
from lotushill.links.seal import CODE_BYTES

if TYPE_CHECKING:
    from anyio.abc import ByteStream

    from lotushill.links.seal import Seal

CHALLENGE_BYTES = 16
MAX_FRAME_BYTES = 8 * 1024 * 1024
_HEADER = struct.Struct("!I")
_FRAME_NUMBER = struct.Struct("!Q")
_MAX_READ_BYTES = 65_536


class Channel:
    """One connection; frames are received in the order in which they were sent."""

    def __init__(
        self, stream: ByteStream, seal: Seal, own_challenge: bytes, peer_challenge: bytes
    ) -> None:
        self._stream = stream
        self._seal = seal
        self._out_context = peer_challenge + own_challenge
        self._in_context = own_challenge + peer_challenge
        self._sent = 0
        self._received = 0
        self._buffer = bytearray()
        self._lock = anyio.Lock()

    @classmethod
    async def open(cls, stream: ByteStream, seal: Seal, challenge: bytes) -> Channel:
        """Exchange challenges over a new connection; raise LinkClosedError if it is closed."""
        try:
            await stream.send(challenge)
            peer_challenge = b""
            while len(peer_challenge) < CHALLENGE_BYTES:
                peer_challenge += await stream.receive(CHALLENGE_BYTES - len(peer_challenge))
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise LinkClosedError from error
        return cls(stream, seal, challenge, peer_challenge)

    async def send(self, *messages: Message) -> None:
        """Send messages in one write; raise LinkClosedError if the connection is closed."""
        async with self._lock:
            data = b"".join(self._frame(message) for message in messages)
            try:
                await self._stream.send(data)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                raise LinkClosedError from error

    async def receive(self) -> Message:
        """Return the next message; raise a LinkError if the connection is no longer usable."""
        size = _HEADER.unpack(await self._read_exactly(_HEADER.size))[0]
        if not CODE_BYTES <= size <= MAX_FRAME_BYTES:
            raise FrameTooLargeError(size, MAX_FRAME_BYTES)
        sealed = await self._read_exactly(size)
        context = self._in_context + _FRAME_NUMBER.pack(self._received)
        self._received += 1
        return decode(self._seal.open(sealed, context))

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def _frame(self, message: Message) -> bytes:
        context = self._out_context + _FRAME_NUMBER.pack(self._sent)
        self._sent += 1
        sealed = self._seal.sign(encode(message), context)
        return _HEADER.pack(len(sealed)) + sealed

    async def _read_exactly(self, size: int) -> bytes:
        while len(self._buffer) < size:
            try:
                self._buffer += await self._stream.receive(_MAX_READ_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ) as error:
                raise LinkClosedError from error
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data
