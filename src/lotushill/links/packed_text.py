"""Long texts as few bytes: a view goes over links that are narrow beside it.

The configuration of a thousand routes is some 300 KB of JSON. One reader of a hall hands it to all
others of the hall within the seconds in which it has to be in force.
"""

from __future__ import annotations

import zlib

from lotushill.links.exceptions import MalformedFrameError

_LEVEL = 1
"""The fastest: JSON of many alike objects shrinks to a sixth with it."""
_MOST_BYTES = 16 * 1024 * 1024
"""Of a text that is taken, so that few bytes cannot fill the memory."""


def compress_text(text: str) -> bytes:
    """Return a text compressed."""
    return zlib.compress(text.encode(), _LEVEL)


def decompress_text(data: bytes) -> str:
    """Return the text of packed bytes; raise MalformedFrameError for anything else."""
    reader = zlib.decompressobj()
    try:
        text = reader.decompress(data, _MOST_BYTES)
        if not reader.eof:
            raise MalformedFrameError("a packed text is cut off or too long")
        return text.decode()
    except (zlib.error, UnicodeDecodeError) as error:
        raise MalformedFrameError(str(error)) from error
