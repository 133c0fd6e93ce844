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
FRAME_HEADER_BYTES = _HEADER.size
_FRAME_NUMBER = struct.Struct("!Q")
_MAX_READ_BYTES = 65_536
_MAX_SEND_SECONDS = 10.0
"""Time for which a frame may be in transmission: a large one over a slow network."""


def seal_frame(seal: Seal, context: bytes, number: int, message: Message) -> bytes:
    """Return the frame of a message.

    `context` is the challenge of the receiver and then that of the sender, `number` that of the
    frame among those of its sender, from 0.
    """
    sealed = seal.sign(encode(message), context + _FRAME_NUMBER.pack(number))
    return _HEADER.pack(len(sealed)) + sealed


def read_frame_size(header: bytes, max_bytes: int = MAX_FRAME_BYTES) -> int:
    """Return the number of bytes that follow the header; raise FrameTooLargeError if too many."""
    size: int = _HEADER.unpack(header)[0]
    if not CODE_BYTES <= size <= max_bytes:
        raise FrameTooLargeError(size, max_bytes)
    return size


def open_frame(seal: Seal, context: bytes, number: int, sealed: bytes) -> Message:
    """Return the message of a frame without its header; raise a LinkError for an invalid one."""
    return decode(seal.open(sealed, context + _FRAME_NUMBER.pack(number)))


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
        self._quiet_since = anyio.current_time()
        """Time of the last received bytes, or of the first frame that was sent after them."""
        self._has_sent_since = False
        """Whether a frame was sent since the last received bytes."""
        self._sending_since: float | None = None

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
            is_first, self._has_sent_since = not self._has_sent_since, True
            self._sending_since = anyio.current_time()
            try:
                await self._stream.send(data)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                raise LinkClosedError from error
            finally:
                self._sending_since = None
                if is_first:
                    self._quiet_since = anyio.current_time()

    async def receive(self, max_bytes: int = MAX_FRAME_BYTES) -> Message:
        """Return the next message; raise a LinkError if the connection is no longer usable.

        A frame of more than `max_bytes` is not read.
        """
        size = read_frame_size(await self._read_exactly(FRAME_HEADER_BYTES), max_bytes)
        sealed = await self._read_exactly(size)
        number = self._received
        self._received += 1
        return open_frame(self._seal, self._in_context, number, sealed)

    async def wait_until_quiet(self, seconds: float) -> None:
        """Return once nothing has been received for some seconds.

        The time counts from the first frame that was sent since, so that a peer has the whole time
        for its answer, and so that repeated frames do not prolong the life of a dead connection.
        """
        while (remaining := self._quiet_at(seconds) - anyio.current_time()) > 0:
            await anyio.sleep(remaining)

    def _quiet_at(self, seconds: float) -> float:
        if self._sending_since is not None:
            return max(self._quiet_since + seconds, self._sending_since + _MAX_SEND_SECONDS)
        return self._quiet_since + seconds

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def _frame(self, message: Message) -> bytes:
        frame = seal_frame(self._seal, self._out_context, self._sent, message)
        self._sent += 1
        return frame

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
            self._quiet_since = anyio.current_time()
            self._has_sent_since = False
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data
