"""Hosts of the system: membership, heartbeats, the host list and drain."""

from __future__ import annotations
