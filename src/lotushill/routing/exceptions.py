"""Exceptions of the routing package."""

from __future__ import annotations


class InvalidTableError(Exception):
    """The configuration is invalid; holds the path of the value at fault."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason
