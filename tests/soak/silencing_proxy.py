"""Loopback proxy whose open connections can be silenced, delayed or reset, while new ones work.

A silenced connection stays open on both sides: bytes are accepted and dropped, and neither an end
nor a reset of one side reaches the other. Only a timeout of either side detects it.
"""

from __future__ import annotations

import asyncio
import enum
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

CONNECTED = b"+"
REFUSED = b"-"
_MAX_READ_BYTES = 65_536
_DELAY_SECONDS = 0.3


class ConnectionFault(enum.Enum):
    """What happens to an open connection."""

    SILENCE = "silent in both directions"
    SILENCE_TO_TARGET = "silent towards the target"
    SILENCE_FROM_TARGET = "silent towards the gateway"
    RESET = "reset"


@dataclass(eq=False)
class _Connection:
    """A pair of streams; whatever arrives on one is written to the other until it is silenced."""

    target: str
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    is_silent_to_target: bool = False
    is_silent_from_target: bool = False

    def disturb(self, fault: ConnectionFault) -> None:
        if fault is ConnectionFault.RESET:
            for writer in self.writers:
                writer.transport.abort()
        if fault is not ConnectionFault.SILENCE_FROM_TARGET:
            self.is_silent_to_target = True
        if fault is not ConnectionFault.SILENCE_TO_TARGET:
            self.is_silent_from_target = True


class SilencingProxy:
    """Forwards each connection to the address that its first line names (IP:PORT)."""

    def __init__(self) -> None:
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._delayed_until = 0.0
        self.address = ""

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def disturb(
        self, fault: ConnectionFault, share: float, rng: random.Random, target: str = ""
    ) -> int:
        """Disturb a share of the open connections, those to `target` only if given."""
        chosen = [
            item
            for item in self._connections
            if target in ("", item.target) and rng.random() < share
        ]
        for item in chosen:
            item.disturb(fault)
        return len(chosen)

    def delay(self, seconds: float) -> None:
        """Delay the bytes on all connections for some seconds."""
        self._delayed_until = time.monotonic() + seconds

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
                self._forward(reader, target_writer, lambda: connection.is_silent_to_target),
                self._forward(target_reader, writer, lambda: connection.is_silent_from_target),
            )
        except (OSError, ValueError):
            # The process on the other side was killed while it connected.
            pass
        finally:
            self._connections.discard(connection)
            for each in connection.writers:
                each.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_silent: Callable[[], bool],
    ) -> None:
        """Forward bytes and the end of one direction, a reset included, until silenced."""
        while True:
            try:
                data = await reader.read(_MAX_READ_BYTES)
            except OSError:
                if not is_silent():
                    writer.transport.abort()
                return
            if time.monotonic() < self._delayed_until:
                await asyncio.sleep(_DELAY_SECONDS)
            if is_silent():
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
