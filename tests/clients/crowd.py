"""Clients that send what they are not asked to send, or take no answers, and stay connected."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

from lotushill.links.address import split_address
from tests.requests.rig import HOST
from tests.requests.rig import KEY
from tests.requests.rig import ReceivedAnswer
from tests.requests.rig import read_answer

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_SETTLE_SECONDS = 4.0
"""Time after which a member that a gateway holds up has sent all that it can send."""
_PIECE_BYTES = 65_536
_RECEIVE_BUFFER_BYTES = 4_096
"""Buffer of a member that takes no answers, so that they stay at the gateway."""


@dataclass
class Member:
    """One connection of a crowd, on which a request has the id `id`."""

    id: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, data: bytes) -> None:
        """Send some bytes as fast as the gateway takes them; raise ConnectionError at its end."""
        view = memoryview(data)
        for start in range(0, len(view), _PIECE_BYTES):
            self.writer.write(bytes(view[start : start + _PIECE_BYTES]))
            await self.writer.drain()

    async def answer(self) -> ReceivedAnswer | None:
        """Return the answer to the request, None if the connection was closed without one."""
        try:
            return await read_answer(self.reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None


Behaviour: TypeAlias = "Callable[[Member], Awaitable[None]]"


class Crowd:
    """Connections to one address that stay open until `leave`, whatever the gateway answers."""

    def __init__(self, address: str) -> None:
        self._address = split_address(address)
        self.members: list[Member] = []

    async def join(self, count: int, behaviour: Behaviour, takes_answers: bool = False) -> None:
        """Open `count` connections and act on all of them at once until each has sent its part."""
        opened = [await self._open(takes_answers) for _ in range(count)]
        members = [member for member in opened if member is not None]
        self.members += members
        await asyncio.gather(*(_act(member, behaviour) for member in members))

    async def leave(self) -> None:
        """Close all connections."""
        for member in self.members:
            member.writer.transport.abort()
        self.members.clear()

    async def _open(self, takes_answers: bool) -> Member | None:
        sock = socket.socket()
        sock.setblocking(False)
        if not takes_answers:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        try:
            async with asyncio.timeout(_SETTLE_SECONDS):
                await asyncio.get_running_loop().sock_connect(sock, self._address)
                limit = 2**20 if takes_answers else 1
                reader, writer = await asyncio.open_connection(sock=sock, limit=limit)
        except (OSError, TimeoutError):
            sock.close()
            return None
        return Member(f"crowd-{len(self.members)}-{sock.fileno()}", reader, writer)


async def _act(member: Member, behaviour: Behaviour) -> None:
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(_SETTLE_SECONDS):
            await behaviour(member)


def head(request_id: str, *lines: str, path: str = "/p/x") -> bytes:
    """Return the head of a proper request, up to its empty line, with more header lines."""
    usual = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {request_id}",
        f"Authorization: Bearer {KEY}",
    )
    return "\r\n".join((*usual, *lines, "", "")).encode()
