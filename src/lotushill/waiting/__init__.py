"""Requests that wait for an engine to have room, where they can still be reordered."""

from __future__ import annotations
