"""Loopback addresses for programs that are started side by side on one host."""

from __future__ import annotations

import random
import socket

_FIRST_PORT = 10_240
_END_PORT = 32_768
"""First port of the usual range for outgoing connections, whose ports may be taken at any time."""
_RNG = random.Random()
_reserved: list[socket.socket] = []


def free_address() -> str:
    """Return an address as IP:PORT that no other process gets from this function meanwhile.

    The port lies below the range for outgoing connections, one of which might take it before the
    intended program listens. It stays bound at a second address until this process ends, so that
    it is not free for others while its program is down for a moment.
    """
    while True:
        port = _RNG.randrange(_FIRST_PORT, _END_PORT)
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.2", port))
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
        except OSError:
            reservation.close()
            continue
        _reserved.append(reservation)
        return f"127.0.0.1:{port}"
