"""Loopback proxy whose open connections can be silenced, while new ones work.

A silenced connection stays open on both sides: bytes are accepted and dropped, and neither an end
nor a reset of one side reaches the other. Only a timeout of either side detects it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field

CONNECTED = b"+"
REFUSED = b"-"
_MAX_READ_BYTES = 65_536


@dataclass(eq=False)
class _Connection:
    """A pair of streams; whatever arrives on one is written to the other until it is silenced."""

    target: str
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    is_silent: bool = False


class SilencingProxy:
    """Forwards each connection to the address that its first line names (IP:PORT)."""

    def __init__(self) -> None:
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def silence(self) -> dict[str, int]:
        """Silence all open connections; return how many there were to each target."""
        counts: dict[str, int] = {}
        for connection in self._connections:
            if not connection.is_silent:
                connection.is_silent = True
                counts[connection.target] = counts.get(connection.target, 0) + 1
        return counts

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections:
            for writer in connection.writers:
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection("", [writer])
        self._connections.add(connection)
        try:
            connection.target = (await reader.readline()).decode().strip()
            host, _, port = connection.target.partition(":")
            try:
                target_reader, target_writer = await asyncio.open_connection(host, int(port))
            except OSError:
                writer.write(REFUSED)
                return
            connection.writers.append(target_writer)
            writer.write(CONNECTED)
            await asyncio.gather(
                _forward(connection, reader, target_writer),
                _forward(connection, target_reader, writer),
            )
        except (OSError, ValueError):
            # The process on the other side was killed while it connected.
            pass
        finally:
            self._connections.discard(connection)
            for each in connection.writers:
                each.close()


async def _forward(
    connection: _Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Forward bytes and the end of one direction, a reset included, until silenced."""
    while True:
        try:
            data = await reader.read(_MAX_READ_BYTES)
        except OSError:
            if not connection.is_silent:
                writer.transport.abort()
            return
        if connection.is_silent:
            if data:
                continue
            return
        if not data:
            writer.close()
            return
        writer.write(data)
        try:
            await writer.drain()
        except OSError:
            return
