"""Promised returns: the Retry-After times of refused callers, and their priority on return."""

from __future__ import annotations
