"""Limits on the requests of clients."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ClientLimits:
    """Limits in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
