"""Compresses long texts, as views are large relative to the bandwidth of the links.

The configuration of a thousand routes is about 300 KB of JSON. One reader of a hall sends it to all
other gateways of the hall within the few seconds in which it has to be in force.
"""

from __future__ import annotations

import zlib

from lotushill.links.exceptions import MalformedFrameError

_COMPRESSION_LEVEL = 1
"""Fastest compression level: it reduces JSON of many similar objects to a sixth."""
_MAX_TEXT_BYTES = 16 * 1024 * 1024
"""Maximum decompressed size, so that a small message cannot exhaust the memory."""


def compress_text(text: str) -> bytes:
    """Return the compressed text."""
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def decompress_text(data: bytes) -> str:
    """Return the text of compressed bytes; raise MalformedFrameError for anything else."""
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, _MAX_TEXT_BYTES)
        if not decompressor.eof:
            raise MalformedFrameError("compressed text is truncated or longer than allowed")
        return text.decode()
    except (zlib.error, UnicodeDecodeError) as error:
        raise MalformedFrameError(str(error)) from error
