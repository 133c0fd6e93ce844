"""Retry promises: the retry times given to refused callers, and their priority on return."""

from __future__ import annotations
