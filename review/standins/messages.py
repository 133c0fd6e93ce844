"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins of the review."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field


@dataclass
class Head:
    """First line and headers of a message, with header names in lower case."""

    line: str
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.line.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the head of the next message, None if the connection ends before one."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    head = Head(lines[0])
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            head.headers[name.strip().lower()] = value.strip()
    return head


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return a body that has a length or comes in chunks."""
    if "chunked" in head.headers.get("transfer-encoding", ""):
        pieces = []
        while piece := await read_chunk(reader):
            pieces.append(piece)
        return b"".join(pieces)
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a body, b"" at its end."""
    size = int(await reader.readline(), 16)
    piece = await reader.readexactly(size)
    await reader.readexactly(2)
    return piece


def message(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a whole message with a body of known length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
