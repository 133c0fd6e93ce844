"""Clients that read streams and take them up again where they broke off."""

from __future__ import annotations

import asyncio
import itertools
import random
import re
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from standins import messages
from standins.deployment import HOST
from standins.deployment import KEY

if TYPE_CHECKING:
    from collections.abc import Callable

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
_CONNECT_SECONDS = 1.0
_RETRY_SECONDS = 0.5
TOKENS_PER_EVENT = 5
_PROMPT_TOKENS = 826
_SHARED_TOKENS, _SUBJECT_TOKENS = 119, 79
_SHARED_PARTS, _SUBJECTS = 8, 603
_numbers = itertools.count(1)


@dataclass
class Try:
    """One client attempt."""

    attempt: str
    gateway: str
    at: float
    after: int
    """Last event that the client had."""
    status: int = 0
    retry_after: float = 0.0
    events: list[tuple[int, str]] = field(default_factory=list)
    """Number and version of each event."""
    complete: bool = False


@dataclass
class Stream:
    """All tries of one stream."""

    tries: list[Try] = field(default_factory=list)

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return all events that the client has."""
        return [event for item in self.tries for event in item.events]

    @property
    def versions(self) -> list[str]:
        """Return the versions of its events, each once, in the order of their appearance."""
        return list(dict.fromkeys(version for _, version in self.events))


async def read_stream(
    pick_gateway: Callable[[], str],
    prefix: str,
    events: int,
    deadline: float,
    max_tries: int,
    leave_after: int = 0,
) -> Stream:
    """Read one stream, and take it up again while time and tries are left.

    `pick_gateway` names the gateway of each new connection. With `leave_after`, the client loses
    its first connection after that event.
    """
    stream, prompt = Stream(), _new_prompt()
    ends = time.monotonic() + deadline
    while len(stream.tries) < max_tries and time.monotonic() < ends:
        item = Try(f"{next(_numbers):016x}", pick_gateway(), time.time(), len(stream.events))
        first = next((known.attempt for known in stream.tries if known.events), "")
        stream.tries.append(item)
        limit = leave_after if leave_after and len(stream.tries) == 1 else events
        await _read_try(item, prefix, prompt, events, ends, first, limit)
        if item.complete:
            break
        await asyncio.sleep(item.retry_after if item.status == 503 else _RETRY_SECONDS)
    return stream


def _new_prompt() -> str:
    """Return the parts of a prompt as the sheet has them: two shared ones and one of its own."""
    own = _PROMPT_TOKENS - _SHARED_TOKENS - _SUBJECT_TOKENS
    shared, subject = random.randrange(_SHARED_PARTS), random.randrange(_SUBJECTS)
    return (
        f"{0x5C1E0000 + shared:x}:{_SHARED_TOKENS},"
        f"{0x91BD0000 + subject:x}:{_SUBJECT_TOKENS},"
        f"{0xE4400000 + next(_numbers):x}:{own}"
    )


async def _read_try(
    item: Try, prefix: str, prompt: str, events: int, ends: float, first: str, limit: int
) -> None:
    headers = {
        "Host": HOST,
        "Attempt-Id": item.attempt,
        "Model": "m",
        "Token-Usage": f"{_PROMPT_TOKENS},{events * TOKENS_PER_EVENT}",
        "Prompt-Prefix": prompt,
        "Deadline-Ms": str(max(1, int(1000 * (ends - time.monotonic())))),
        "Authorization": f"Bearer {KEY}",
    }
    if first:
        headers |= {"Last-Event-Id": str(item.after), "Resumes": first}
    host, _, port = item.gateway.partition(":")
    writer = None
    try:
        async with asyncio.timeout(ends - time.monotonic()):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), _CONNECT_SECONDS
            )
            writer.write(messages.message(f"POST {prefix}2f HTTP/1.1", headers, b"x" * 400))
            head = await messages.read_head(reader)
            if head is None:
                return
            item.status = head.status
            item.retry_after = float(head.headers.get("retry-after", _RETRY_SECONDS))
            if "chunked" not in head.headers.get("transfer-encoding", ""):
                return
            buffered = b""
            while piece := await messages.read_chunk(reader):
                buffered += piece
                for number, version in _EVENT.findall(buffered):
                    item.events.append((int(number), version.decode()))
                buffered = buffered[buffered.rfind(b"\n\n") + 2 :]
                if limit <= len(item.events) < events:
                    return
            item.complete = True
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return
    finally:
        if writer is not None:
            writer.close()
