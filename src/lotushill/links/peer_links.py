"""Keeps one connection to each peer that this process sends to, opened on first use."""

from __future__ import annotations

import logging
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from lotushill.links.address import split_address
from lotushill.links.channel import CHALLENGE_BYTES
from lotushill.links.channel import Channel
from lotushill.links.exceptions import LinkClosedError
from lotushill.links.exceptions import LinkError
from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.greetings import MAX_GREETING_BYTES
from lotushill.links.greetings import Greetings
from lotushill.links.messages import Ping
from lotushill.links.relay_messages import RelayOpen

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

    from anyio.abc import ByteStream
    from anyio.abc import TaskGroup
    from anyio.streams.memory import MemoryObjectReceiveStream
    from anyio.streams.memory import MemoryObjectSendStream

    from lotushill.links.codec import Message
    from lotushill.links.seal import Seal

    Contain = Callable[..., Coroutine[Any, Any, None]]
    """Runs a coroutine function with its arguments under the name of a task, which comes first."""

log = logging.getLogger("links")

_TASK = "peer connection"

_MAX_QUEUED_MESSAGES = 50_000
_MAX_MESSAGES_PER_WRITE = 64
_CONNECT_TIMEOUT_SECONDS = 0.5
_DIALED_QUIET_SECONDS = 0.8
"""Time without received bytes after which a connection that this process opened is closed.

An open connection may be dead without a sign. Gateways exchange messages on connections rarely, so
that opening another one costs less than to find out."""
_ACCEPTED_QUIET_SECONDS = 2.0
"""The same for accepted connections; longer, so that normally the side that opened one closes it,
which does not send on it afterwards."""


async def run_uncontained(name: str, task: Callable[..., Awaitable[None]], *args: object) -> None:
    """Run a task whose exceptions leave it."""
    await task(*args)


@dataclass
class _Link:
    outbox: MemoryObjectSendStream[Message]


@dataclass(frozen=True)
class _Greeting:
    """The first message of an accepted connection, and its channel."""

    channel: Channel
    message: Message


class PeerLinks:
    """Sends messages to peers and delivers those that are received."""

    def __init__(
        self,
        own_name: str,
        seal: Seal,
        find_address: Callable[[str], str | None],
        on_message: Callable[[str, Message], None],
        on_down: Callable[[str], None],
        serve_relay: Callable[[RelayOpen, Channel, ByteStream], Awaitable[None]] | None = None,
    ) -> None:
        """Pass received messages to `on_message`, and lost peers to `on_down`.

        `serve_relay` serves a connection on which a peer asks for one to an upstream.
        """
        self._own_name = own_name
        self._seal = seal
        self._find_address = find_address
        self._on_message = on_message
        self._on_down = on_down
        self._serve_relay = serve_relay
        self._links: dict[str, _Link] = {}
        self._group: TaskGroup | None = None
        self._contain: Contain = run_uncontained
        self._greetings = Greetings()
        self.dropped = 0
        """Connections dropped for malformed or forged frames, or without a valid first message."""
        self.unreadable = 0
        """Messages skipped since this version does not know them."""

    def start(self, group: TaskGroup, contain: Contain = run_uncontained) -> None:
        """Set the task group in which connections run, each within `contain`."""
        self._group = group
        self._contain = contain

    def post(self, peer: str, *messages: Message) -> None:
        """Send messages to a peer in order; an unreachable peer is reported as down."""
        link = self._links.get(peer) or self._dial_soon(peer)
        try:
            for message in messages:
                link.outbox.send_nowait(message)
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._drop(peer, link)

    async def accept(self, stream: ByteStream) -> None:
        """Serve a connection that a peer has opened."""
        async with stream:
            try:
                greeting = await self._greet(stream)
                if greeting is None:
                    self.dropped += 1
                elif isinstance(greeting.message, Ping):
                    await self._run(greeting.message.sender, greeting.channel)
                elif isinstance(greeting.message, RelayOpen) and self._serve_relay is not None:
                    await self._serve_relay(greeting.message, greeting.channel, stream)
                else:
                    self.dropped += 1
            except LinkClosedError:
                pass
            except LinkError as error:
                self.dropped += 1
                log.warning("Dropped a connection after an invalid frame. error=%r", error)

    async def _greet(self, stream: ByteStream) -> _Greeting | None:
        """Return the first message of a connection, None if it does not arrive in time."""
        with self._greetings.limit():
            channel = await self._open(stream)
            return _Greeting(channel, await channel.receive(MAX_GREETING_BYTES))
        return None

    async def _open(self, stream: ByteStream) -> Channel:
        return await Channel.open(stream, self._seal, secrets.token_bytes(CHALLENGE_BYTES))

    def _dial_soon(self, peer: str) -> _Link:
        assert self._group is not None, "start() must be called before messages are posted"
        outbox, inbox = anyio.create_memory_object_stream["Message"](_MAX_QUEUED_MESSAGES)
        link = _Link(outbox)
        self._links[peer] = link
        self._group.start_soon(self._contain, _TASK, self._dial, peer, link, inbox)
        return link

    async def _dial(
        self, peer: str, link: _Link, inbox: MemoryObjectReceiveStream[Message]
    ) -> None:
        address = self._find_address(peer)
        try:
            if address is None:
                return
            host, port = split_address(address)
            with anyio.fail_after(_CONNECT_TIMEOUT_SECONDS):
                stream = await anyio.connect_tcp(host, port)
            async with stream:
                with anyio.fail_after(_DIALED_QUIET_SECONDS):
                    channel = await self._open(stream)
                    await channel.send(Ping(self._own_name, 0, "", ()))
                await self._pump(peer, channel, inbox, _DIALED_QUIET_SECONDS)
        except (OSError, ValueError, LinkError) as error:
            if isinstance(error, LinkError) and not isinstance(error, LinkClosedError):
                self.dropped += 1
            log.info("Connection to a peer failed or was lost. peer=%s error=%r", peer, error)
        finally:
            inbox.close()
            self._drop(peer, link)

    async def _run(self, peer: str, channel: Channel) -> None:
        """Serve an accepted channel, and use it for messages that are posted to that peer."""
        outbox, inbox = anyio.create_memory_object_stream["Message"](_MAX_QUEUED_MESSAGES)
        link = _Link(outbox)
        # The newest connection is used: a peer opens another one when the former is dead.
        self._links[peer] = link
        try:
            await self._pump(peer, channel, inbox, _ACCEPTED_QUIET_SECONDS)
        finally:
            inbox.close()
            self._drop(peer, link)

    async def _pump(
        self,
        peer: str,
        channel: Channel,
        inbox: MemoryObjectReceiveStream[Message],
        max_quiet_seconds: float,
    ) -> None:
        """Pass on messages in both directions until the connection ends or falls silent.

        Raise a LinkError for an invalid frame, after which the next frame cannot be found.
        """
        failure: LinkError | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._write, channel, inbox, group.cancel_scope)
            group.start_soon(_cancel_when_quiet, channel, max_quiet_seconds, group.cancel_scope)
            try:
                await self._read(peer, channel)
            except LinkClosedError:
                pass
            except LinkError as error:
                failure = error
            group.cancel_scope.cancel()
        # Raised outside of the task group, which would wrap it in an exception group.
        if failure is not None:
            raise failure

    async def _read(self, peer: str, channel: Channel) -> None:
        """Deliver messages until the connection ends, which raises a LinkError."""
        while True:
            try:
                message = await channel.receive()
            except MalformedFrameError as error:
                # The code of the frame is valid: a peer of another version sent a message that this
                # one does not know, and the frames after it can be read.
                self.unreadable += 1
                log.warning("Skipped a message that is not known. peer=%s error=%r", peer, error)
                continue
            self._on_message(peer, message)

    async def _write(
        self,
        channel: Channel,
        inbox: MemoryObjectReceiveStream[Message],
        scope: anyio.CancelScope,
    ) -> None:
        try:
            async for message in inbox:
                await channel.send(message, *_queued_messages(inbox))
        except LinkClosedError:
            scope.cancel()

    def _drop(self, peer: str, link: _Link) -> None:
        link.outbox.close()
        if self._links.get(peer) is link:
            del self._links[peer]
            self._on_down(peer)


async def _cancel_when_quiet(channel: Channel, seconds: float, scope: anyio.CancelScope) -> None:
    await channel.wait_until_quiet(seconds)
    scope.cancel()


def _queued_messages(inbox: MemoryObjectReceiveStream[Message]) -> list[Message]:
    """Return messages that are queued already, so that one write sends all of them."""
    messages: list[Message] = []
    try:
        while len(messages) < _MAX_MESSAGES_PER_WRITE:
            messages.append(inbox.receive_nowait())
    except (anyio.WouldBlock, anyio.EndOfStream):
        pass
    return messages
