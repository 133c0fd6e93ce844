"""The bounds for clients that follow from what the host allows the process."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

from lotushill import clock as clocks
from lotushill.clients.bounds import ClientBounds
from lotushill.clients.bounds import client_memory_bytes

if TYPE_CHECKING:
    from lotushill.process.settings import GatewaySettings

_STATUS_FRACTION = 1 / 16
"""Fraction of what clients may hold that callers of the readiness address may hold in addition."""


def client_bounds(settings: GatewaySettings) -> ClientBounds:
    """Return the bounds of the connections on which clients send requests."""
    return ClientBounds(client_memory_bytes(settings.memory_mb), _descriptors(settings), clocks.now)


def status_bounds(settings: GatewaySettings) -> ClientBounds:
    """Return the bounds of the connections for readiness, status and metrics."""
    return ClientBounds(
        int(client_memory_bytes(settings.memory_mb) * _STATUS_FRACTION),
        int(_descriptors(settings) * _STATUS_FRACTION),
        clocks.now,
    )


def _descriptors(settings: GatewaySettings) -> int:
    """Return how many descriptors the process can open."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    stated = int(settings.descriptors) or allowed
    return stated if allowed == resource.RLIM_INFINITY else min(stated, allowed)
