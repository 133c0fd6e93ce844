"""Datagrams between gateways: one byte for the kind, then the message.

Load updates arrive hundreds of times a second and consist of records already, so they are sent
without a frame: decoding a packed frame around them would cost a scheduler as much as processing
the updates themselves.
"""

from __future__ import annotations

from lotushill.links.codec import Message
from lotushill.links.codec import decode
from lotushill.links.codec import encode
from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.messages import LoadBatch
from lotushill.links.messages import LoadNews

Datagram = Message | LoadNews | LoadBatch

_FRAME_KIND = b"\x00"
_LOAD_KIND = b"\x01"
_LOAD_BATCH_KIND = b"\x02"
_MAX_NAME_BYTES = 255


def to_datagram(message: Datagram) -> bytes:
    """Return the datagram of a message."""
    if isinstance(message, LoadNews):
        return _LOAD_KIND + message.records
    if isinstance(message, LoadBatch):
        sender = message.sender.encode()[:_MAX_NAME_BYTES]
        return _LOAD_BATCH_KIND + bytes((len(sender),)) + sender + message.records
    return _FRAME_KIND + encode(message)


def from_datagram(data: bytes) -> Datagram:
    """Return the message of a datagram; raise MalformedFrameError for anything else."""
    kind, rest = data[:1], data[1:]
    if kind == _FRAME_KIND:
        return decode(rest)
    if kind == _LOAD_KIND:
        return LoadNews(rest)
    if kind != _LOAD_BATCH_KIND or not rest or len(rest) <= rest[0]:
        raise MalformedFrameError("datagram is truncated or its kind is unknown")
    try:
        return LoadBatch(rest[1 : 1 + rest[0]].decode(), rest[1 + rest[0] :])
    except UnicodeDecodeError as error:
        raise MalformedFrameError(str(error)) from error
