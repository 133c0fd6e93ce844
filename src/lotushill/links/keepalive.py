"""Socket options by which connections between gateways end when the other side is gone."""

from __future__ import annotations

import socket

_IDLE_SECONDS = 1
"""Time without received bytes after which the kernel probes a connection."""
_PROBE_INTERVAL_SECONDS = 1
_MAX_UNANSWERED_PROBES = 2
_UNACKNOWLEDGED_TIMEOUT_MS = 3000
"""Time without acknowledgement of sent data or of probes after which the kernel closes the
connection."""


def close_when_peer_is_gone(sock: socket.socket) -> None:
    """Let the kernel close a connection a few seconds after the other side has gone silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MAX_UNANSWERED_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_TIMEOUT_MS)
