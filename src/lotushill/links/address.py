"""Addresses as written in settings: an IP address and a port."""

from __future__ import annotations

import ipaddress
from functools import lru_cache

_MAX_PORT = 65_535


@lru_cache(maxsize=4096)
def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of `IP:PORT`; raise ValueError for anything else."""
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError(f"invalid address: expected IP:PORT, got {address!r}")
    ipaddress.ip_address(host.strip("[]"))
    return host.strip("[]"), int(port)
