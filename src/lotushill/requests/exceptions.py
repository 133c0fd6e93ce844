"""Exceptions of the request path."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.requests.tracked_attempt import TrackedAttempt


class UpstreamError(Exception):
    """An attempt did not result in a complete answer."""


class NotSentError(UpstreamError):
    """No byte of the request was written, so it was not run."""


class BrokenAnswerError(UpstreamError):
    """The connection ended or violated the protocol after the request was written."""


class LostConnectionError(BrokenAnswerError):
    """The connection ended before the answer was complete."""


class SilentUpstreamError(UpstreamError):
    """The upstream sent nothing within the timeout."""


class ReplacedError(UpstreamError):
    """Another upstream has received the request, and continues its answer."""

    def __init__(self, cause: UpstreamError, successor: TrackedAttempt) -> None:
        """Replace an attempt that ended with `cause` by `successor`."""
        super().__init__(repr(cause))
        self.cause = cause
        self.successor = successor
