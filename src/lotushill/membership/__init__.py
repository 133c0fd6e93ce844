"""Membership of the fleet: failure detection by heartbeats, and roles assigned by hashing."""

from __future__ import annotations
