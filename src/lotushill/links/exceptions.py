"""Failures of the links between processes."""

from __future__ import annotations


class LinkError(Exception):
    """Base of all failures of a link."""


class MalformedFrameError(LinkError):
    """Bytes that are no frame of this protocol."""


class ForgedFrameError(LinkError):
    """A frame whose authentication code fits none of the keys."""


class FrameTooLargeError(LinkError):
    """A frame longer than the protocol allows."""

    def __init__(self, size: int, limit: int) -> None:
        self.size = size
        self.limit = limit
        super().__init__(f"frame of {size} bytes, limit is {limit}")


class LinkClosedError(LinkError):
    """The other end has gone."""


class NoAnswerError(Exception):
    """A call that brought no answer that can be read; it may have been done."""
