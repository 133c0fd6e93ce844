"""The UDP edge of membership."""

from __future__ import annotations

import logging
import socket
import time
from typing import TYPE_CHECKING

import anyio

from lotushill.links.address import split_address
from lotushill.links.codec import decode
from lotushill.links.codec import encode
from lotushill.links.exceptions import ForgedFrameError
from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.messages import Ping
from lotushill.links.messages import Pong

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from anyio.abc import UDPSocket

    from lotushill.hosts.membership import Membership
    from lotushill.hosts.membership import Outgoing
    from lotushill.links.seal import Seal

log = logging.getLogger("members")

_TICK_SECONDS = 0.05
_CONTEXT = b"udp"


class Heartbeat:
    """Carries a membership's packets."""

    def __init__(self, membership: Membership, seal: Seal, on_change: Callable[[], None]) -> None:
        self.membership = membership
        self._seal = seal
        self._on_change = on_change
        self._socket: UDPSocket | None = None
        self._sending = anyio.Lock()
        self.forged = 0
        self.malformed = 0
        self.bytes_sent = 0
        self.packets_sent = 0

    async def run(self, address: str) -> None:
        """Send and receive packets for ever."""
        host, port = split_address(address)
        async with (
            await anyio.create_udp_socket(
                family=socket.AF_INET, local_host=host, local_port=port
            ) as self._socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._receive, self._socket)
            while True:
                await self.send(self.membership.tick(time.monotonic()))
                self._tell()
                await anyio.sleep(_TICK_SECONDS)

    async def send(self, packets: Iterable[Outgoing]) -> None:
        """Send packets; one that cannot be sent is as good as lost on the way."""
        if self._socket is None:
            return
        for packet in packets:
            data = self._seal.sign(encode(packet.message), _CONTEXT)
            self.bytes_sent += len(data)
            self.packets_sent += 1
            try:
                async with self._sending:
                    await self._socket.sendto(data, *split_address(packet.address))
            except (OSError, ValueError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                log.debug("Could not send. address=%s", packet.address)

    async def _receive(self, udp: UDPSocket) -> None:
        async for data, (host, port) in udp:
            message = self._open(data)
            if message is None:
                continue
            now = time.monotonic()
            await self.send(self.membership.receive(message, f"{host}:{port}", now))
            self._tell()

    def _open(self, data: bytes) -> Ping | Pong | None:
        try:
            message = decode(self._seal.open(data, _CONTEXT))
        except ForgedFrameError:
            self.forged += 1
            return None
        except MalformedFrameError:
            self.malformed += 1
            return None
        if isinstance(message, Ping | Pong):
            return message
        self.malformed += 1
        return None

    def _tell(self) -> None:
        changes = self.membership.take_changes()
        for change in changes:
            if change.former is not change.member.phase:
                log.info(
                    "Member changed. member=%s hall=%s phase=%s incarnation=%d",
                    change.member.name,
                    change.member.hall,
                    change.member.phase.value,
                    change.member.incarnation,
                )
        if changes:
            self._on_change()
