"""Errors of the links between processes."""

from __future__ import annotations


class LinkError(Exception):
    """Base of all errors of a link."""


class MalformedFrameError(LinkError):
    """The received bytes are not a valid frame of this protocol."""


class ForgedFrameError(LinkError):
    """The authentication code of a frame matches none of the keys."""


class FrameTooLargeError(LinkError):
    """The frame is longer than the protocol allows."""

    def __init__(self, size: int, limit: int) -> None:
        self.size = size
        self.limit = limit
        super().__init__(f"frame length of {size} bytes is out of range; the limit is {limit}")


class LinkClosedError(LinkError):
    """The peer has closed the connection."""


class NoAnswerError(Exception):
    """A call got no answer, or one that cannot be parsed; it may have been executed."""


class SilentConnectionError(NoAnswerError):
    """A call on an open connection was not answered in time; the connection may be dead."""
