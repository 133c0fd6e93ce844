"""Keyed message authentication codes for messages between the processes of this system."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass

from lotushill.links.exceptions import ForgedFrameError

CODE_BYTES = 16


@dataclass(frozen=True)
class Seal:
    """The peer keys: the first one signs, all of them are accepted, so that keys can rotate."""

    keys: tuple[bytes, ...]

    def sign(self, data: bytes, context: bytes = b"") -> bytes:
        """Return the data prefixed with its authentication code."""
        return _code(self.keys[0], data, context) + data

    def open(self, sealed: bytes, context: bytes = b"") -> bytes:
        """Return the data after a valid code; raise ForgedFrameError if the code is invalid."""
        code, data = sealed[:CODE_BYTES], sealed[CODE_BYTES:]
        for key in self.keys:
            if hmac.compare_digest(code, _code(key, data, context)):
                return data
        raise ForgedFrameError("authentication code matches none of the peer keys")


def _code(key: bytes, data: bytes, context: bytes) -> bytes:
    digest = hashlib.blake2b(context, key=key, digest_size=CODE_BYTES)
    digest.update(data)
    return digest.digest()
