"""Errors of the request path."""

from __future__ import annotations


class BackendError(Exception):
    """An attempt that brought no whole answer."""


class NotSentError(BackendError):
    """No byte of the request was written, so that it was not run."""


class BrokenAnswerError(BackendError):
    """The connection ended or spoke nonsense after the request was written."""


class SilentBackendError(BackendError):
    """The backend showed no sign of life for longer than allowed."""


class MalformedViewError(Exception):
    """A view of a peer that cannot be read."""
