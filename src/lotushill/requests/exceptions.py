"""Exceptions of the request path."""

from __future__ import annotations


class UpstreamError(Exception):
    """An attempt did not result in a complete answer."""


class NotSentError(UpstreamError):
    """No byte of the request was written, so it was not run."""


class BrokenAnswerError(UpstreamError):
    """The connection ended or violated the protocol after the request was written."""


class OversizedAnswerError(BrokenAnswerError):
    """A part of an answer is longer than any upstream in order sends it."""

    def __init__(self, part: str, limit: int) -> None:
        super().__init__(f"{part} of the answer is longer than {limit} bytes")


class InvalidStatusError(BrokenAnswerError):
    """An answer has a status that HTTP does not know."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status:03} of the answer is not one from 200 to 599")


class NoMemoryError(BrokenAnswerError):
    """Clients hold all memory that they may, so that an answer cannot be collected."""

    def __init__(self, size: int) -> None:
        super().__init__(f"no memory for {size} bytes of the answer")


class LostConnectionError(BrokenAnswerError):
    """The connection ended before the answer was complete."""


class TruncatedStreamError(LostConnectionError):
    """The connection of a stream ended in order, but the stream was not complete."""


class PartitionedError(BrokenAnswerError):
    """The upstream can only be reached through another gateway since the request was written."""


class SilentUpstreamError(UpstreamError):
    """The upstream sent nothing within the timeout."""
