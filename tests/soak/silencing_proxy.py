"""Loopback proxy whose open connections can be silenced, delayed or reset, while new ones work.

It can also partition gateways from targets, so that new connections do not work either.

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


class Partition(enum.Enum):
    """What happens to the connections of a gateway to the targets from which it is partitioned."""

    HANG = "open connections are silent, new ones hang"
    RESET = "open connections are reset, new ones refused"
    REFUSE_NEW = "open connections live on, new ones are refused"


@dataclass(eq=False)
class _Connection:
    """A pair of streams; whatever arrives on one is written to the other until it is silenced."""

    target: str
    gateway: str = ""
    """Name of the gateway that opened it."""
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
    """Forwards each connection to the address in its first line (IP:PORT, name of the gateway)."""

    def __init__(self) -> None:
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._delayed_until = 0.0
        self._partitions: dict[str, Partition] = {}
        """Kinds of the current partitions, by the name of the gateway."""
        self._reachable_targets: frozenset[str] = frozenset()
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

    def partition(self, gateways: set[str], kind: Partition, reachable_targets: set[str]) -> None:
        """Partition gateways from all targets but some, until `heal` is called."""
        self._reachable_targets = frozenset(reachable_targets)
        self._partitions.update(dict.fromkeys(gateways, kind))
        fault = ConnectionFault.RESET if kind is Partition.RESET else ConnectionFault.SILENCE
        for item in list(self._connections):
            if kind is not Partition.REFUSE_NEW and self._partition_of(item) is not None:
                item.disturb(fault)

    def heal(self, gateways: set[str]) -> None:
        """End the partition of some gateways; silent connections stay silent."""
        for name in gateways:
            self._partitions.pop(name, None)

    def _partition_of(self, connection: _Connection) -> Partition | None:
        if connection.target in self._reachable_targets:
            return None
        return self._partitions.get(connection.gateway)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections:
            for writer in connection.writers:
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection("", writers=[writer])
        self._connections.add(connection)
        try:
            connection.target, connection.gateway = (await reader.readline()).decode().split()
            partition = self._partition_of(connection)
            if partition is Partition.HANG:
                await reader.read()
                return
            if partition is not None:
                writer.write(REFUSED)
                return
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
