"""Queues, shares, limits and grants: who runs where, who waits, who is refused."""

from __future__ import annotations
