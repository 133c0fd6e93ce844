"""Frames in which a relay passes on the bytes of an upstream.

An answer without a length ends with its connection. The frames tell that end from the end of the
relay itself, whose connection the kernel closes in the same way.
"""

from __future__ import annotations

import struct

_LENGTH = struct.Struct("!I")
END_FRAME = _LENGTH.pack(0)
"""Frame that states that the upstream has ended its data."""
MAX_FRAME_BYTES = 1024 * 1024


class FrameTooLongError(ValueError):
    """A relay announced a frame longer than relays send."""


def data_frame(data: bytes) -> bytes:
    """Return the frame of some bytes, of which there must be at least one."""
    return _LENGTH.pack(len(data)) + data


class FrameReader:
    """Recovers the bytes of the upstream from those of the relay, in pieces of any size."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._left = 0
        """Bytes of the current frame that have not arrived."""
        self.has_ended = False
        """Whether the upstream has ended its data."""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the upstream in `data`; raise FrameTooLongError for a long frame."""
        self._buffer += data
        pieces = []
        while self._buffer and not self.has_ended:
            if not self._left:
                if len(self._buffer) < _LENGTH.size:
                    break
                self._left = _LENGTH.unpack_from(self._buffer)[0]
                del self._buffer[: _LENGTH.size]
                if self._left > MAX_FRAME_BYTES:
                    raise FrameTooLongError(
                        f"frame of {self._left} bytes, expected at most {MAX_FRAME_BYTES}"
                    )
                self.has_ended = not self._left
                continue
            piece = bytes(self._buffer[: self._left])
            del self._buffer[: len(piece)]
            self._left -= len(piece)
            pieces.append(piece)
        return b"".join(pieces)
