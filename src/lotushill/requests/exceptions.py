"""Errors of the request path."""

from __future__ import annotations


class UpstreamError(Exception):
    """An attempt that brought no whole answer."""


class NotSentError(UpstreamError):
    """No byte of the request was written, so that it was not run."""


class BrokenAnswerError(UpstreamError):
    """The connection ended or spoke nonsense after the request was written."""


class LostConnectionError(BrokenAnswerError):
    """The connection ended before the answer was whole."""


class SilentUpstreamError(UpstreamError):
    """The upstream showed no sign of life for longer than allowed."""
