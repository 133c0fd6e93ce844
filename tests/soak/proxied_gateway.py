"""Runs `lotushill-gateway` with every outgoing TCP connection led through a silencing proxy.

The program itself is unchanged: its event loop connects to the proxy, names the target and itself
in a first line, and reports a refused connection as one.
"""

from __future__ import annotations

import os
import socket
from typing import Any

import uvloop

from lotushill.console.gateway import main
from tests.soak.silencing_proxy import CONNECTED

PROXY_VARIABLE = "LOTUSHILL_TEST_PROXY"
"""Environment variable that names the proxy's address (IP:PORT)."""
NAME_VARIABLE = "LOTUSHILL_TEST_GATEWAY"
"""Environment variable with the name by which the proxy knows the gateway."""


class _ProxiedLoop(uvloop.Loop):
    """Event loop whose connections are opened through the proxy."""

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """Connect to `host` and `port` through the proxy."""
        if host is None:
            return await super().create_connection(protocol_factory, **options)
        proxy_host, _, proxy_port = os.environ[PROXY_VARIABLE].partition(":")
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await self.sock_connect(sock, (proxy_host, int(proxy_port)))
            await self.sock_sendall(sock, f"{host}:{port} {os.environ[NAME_VARIABLE]}\n".encode())
            if await self.sock_recv(sock, 1) != CONNECTED:
                raise ConnectionRefusedError
        except BaseException:
            sock.close()
            raise
        return await super().create_connection(protocol_factory, sock=sock)


if __name__ == "__main__":
    uvloop.new_event_loop = _ProxiedLoop
    main()
