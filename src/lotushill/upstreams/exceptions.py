"""Failures of a call to an upstream, told apart by whether it may have run."""

from __future__ import annotations


class UpstreamError(Exception):
    """Base of all failures of a call to an upstream."""


class NotSentError(UpstreamError):
    """No byte of the request reached the upstream."""


class RejectedError(UpstreamError):
    """The upstream refused the request before running it, and is known to mean that."""


class BrokenError(UpstreamError):
    """The request was sent and its answer did not come whole."""

    def __init__(self, detail: str, answered: bool) -> None:
        self.answered = answered
        """Whether any byte of an answer came."""
        super().__init__(detail)
