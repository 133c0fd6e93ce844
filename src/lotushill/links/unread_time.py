"""For how long the first bytes of a connection have waited before the process reads them."""

from __future__ import annotations

import socket
import struct
from typing import Any

_LAST_DATA_RECEIVED_OFFSET = 52
"""Position in Linux's `struct tcp_info` of the milliseconds since data last arrived.

On a connection without data it is the time since its handshake.
"""
_INFO_BYTES = 104
_MS = 1000.0


def unread_seconds(sock: Any) -> float:
    """Return the seconds since data last arrived on a connection, 0 if the system cannot tell.

    For a connection that was just accepted this is the time that its request has waited: the
    system accepts it and stores its bytes while the process has no time for it.
    """
    if sock is None or not hasattr(socket, "TCP_INFO"):
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    except OSError:
        # Not a TCP connection, or one that has ended, of which the protocol is told anyway.
        return 0.0
    if len(info) < _LAST_DATA_RECEIVED_OFFSET + 4:
        return 0.0
    (milliseconds,) = struct.unpack_from("=I", info, _LAST_DATA_RECEIVED_OFFSET)
    return float(milliseconds) / _MS
