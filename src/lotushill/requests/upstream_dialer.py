"""Opens connections to upstreams, directly or through another gateway.

Where it is not known that an upstream is partitioned from this gateway, both ways are tried a tenth
of a second apart, so that a request does not wait for the timeout of the direct one.
"""

from __future__ import annotations

import asyncio
import functools
from collections import Counter
from typing import TYPE_CHECKING

from lotushill.links.address import split_address
from lotushill.links.relay_messages import RelayOpen
from lotushill.links.relay_messages import RelayOutcome
from lotushill.relaying.reachability import Reachability
from lotushill.relaying.relay_choice import RelayChoice
from lotushill.requests.exceptions import NotSentError
from lotushill.requests.relayed_connection import RelayFailedError
from lotushill.requests.relayed_connection import open_relayed
from lotushill.requests.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.relaying.relay_choice import Peer
    from lotushill.relaying.relays import Relays
    from lotushill.requests.upstream_connection import Headers

CONNECT_TIMEOUT_SECONDS = 0.35
"""Timeout for opening a connection.

Opening takes a few milliseconds; if it takes longer than this, the upstream is unreachable or
overloaded.
"""
_NEXT_DIRECT_DELAY_SECONDS = 0.05
"""Time after which a direct connection that is not open yet is tried once more: an upstream whose
queue of new connections is full drops the opening packet, which is repeated only after a second."""
_MAX_DIRECT_TRIES = 3
_RELAY_DELAY_SECONDS = 0.1
"""Time after which a connection that is not open yet is tried through another gateway as well."""
_NEXT_RELAY_DELAY_SECONDS = 0.06
"""Time after which the next gateway is asked as well."""
_RELAY_TIMEOUT_SECONDS = 0.5
"""Timeout for a connection through other gateways, over all that are asked."""
_UNFIT_OUTCOMES = (None, RelayOutcome.UNAVAILABLE)
"""Answers by which a gateway cannot serve as a relay, whatever the upstream."""


class UpstreamDialer:
    """Opens connections to upstreams by address; keeps which are partitioned from this gateway."""

    def __init__(
        self,
        answer_request_id: Callable[[Headers], str],
        clock: Callable[[], float],
        relays: Relays | None = None,
        log: EventLog | None = None,
    ) -> None:
        """Without `relays`, all connections are direct."""
        self._answer_request_id = answer_request_id
        self._clock = clock
        self._relays = relays
        self._log = log
        self._choice = RelayChoice(relays.hall if relays is not None else "")
        self._tasks: set[asyncio.Task[object]] = set()
        self.reachability = Reachability()
        self.on_partitioned: Callable[[str], None] = lambda _: None
        """Called with the address of an upstream to which open connections seem dead."""
        self.on_reached: Callable[[], None] = lambda: None
        """Called when upstreams that were partitioned are reached directly again."""
        self.opened: Counter[str] = Counter()
        """Number of connections that were opened, by way."""

    async def open(self, address: str, may_be_cut: bool = True) -> UpstreamConnection:
        """Return a new connection; raise NotSentError if neither way leads to the upstream.

        Its cause is a ConnectionRefusedError if nothing listens at the address. A relayed
        connection ends with the gateway that relays it. With `may_be_cut` False, a relay is
        therefore used only if no direct connection can be opened.
        """
        if self._relays is None or not self.reachability.is_partitioned(address):
            return await self._open_direct_first(address, may_be_cut)
        try:
            return await self._open_relayed(address)
        except RelayFailedError as error:
            if error.outcome is RelayOutcome.REFUSED:
                raise NotSentError(repr(error)) from ConnectionRefusedError()
            direct = self._start(self._connect_repeatedly(address))
            return await self._direct_result(direct, address)

    async def check(self, address: str) -> UpstreamConnection | None:
        """Try to reach an upstream directly, and through another gateway if that takes long.

        Return the connection, None if there is none.
        """
        try:
            return await self._open_direct_first(address)
        except NotSentError:
            return None

    async def _open_direct_first(self, address: str, may_be_cut: bool = True) -> UpstreamConnection:
        """Open a connection directly, and after a moment through another gateway as well."""
        direct = self._start(self._connect_repeatedly(address))
        relay_delay = _RELAY_DELAY_SECONDS if may_be_cut else None
        relayed: asyncio.Task[UpstreamConnection] | None = None
        try:
            await asyncio.wait((direct,), timeout=relay_delay)
            if _is_open(direct) or self._relays is None:
                return await self._direct_result(direct, address)
            relayed = self._start(self._open_relayed(address))
            await _wait_for_one(direct, relayed)
            if _is_open(direct):
                relayed.add_done_callback(_close_result)
                return await self._direct_result(direct, address)
            if not _is_open(relayed):
                return await self._direct_result(direct, address, relayed.exception())
        except BaseException:
            direct.add_done_callback(_close_result)
            if relayed is not None:
                relayed.add_done_callback(_close_result)
            raise
        direct.add_done_callback(functools.partial(self._note_direct, address=address))
        return relayed.result()

    async def _direct_result(
        self,
        direct: asyncio.Task[UpstreamConnection],
        address: str,
        relay_error: BaseException | None = None,
    ) -> UpstreamConnection:
        try:
            connection = await direct
        except (OSError, TimeoutError) as error:
            if isinstance(relay_error, RelayFailedError) and self._has_peers():
                # What other gateways find tells more than a refusal or a timeout here.
                refused = relay_error.outcome is RelayOutcome.REFUSED
                cause = ConnectionRefusedError() if refused else relay_error
                raise NotSentError(repr(error)) from cause
            raise NotSentError(repr(error)) from error
        self._note_reached(address)
        return connection

    def _has_peers(self) -> bool:
        return self._relays is not None and bool(self._relays.peers())

    def _note_direct(self, direct: asyncio.Task[UpstreamConnection], address: str) -> None:
        """Record how the direct connection ended that a relayed one has overtaken."""
        if direct.cancelled():
            return
        error = direct.exception()
        if error is None:
            self._note_reached(address)
            direct.result().close()
            return
        if self.reachability.note_partitioned(address, self._clock()):
            self._note("upstreams.partitioned", upstreams=self.reachability.partitioned_count)
        if not isinstance(error, ConnectionError):
            # Where new connections hang, open ones are probably dead as well.
            self.on_partitioned(address)

    def _note_reached(self, address: str) -> None:
        if not self.reachability.is_partitioned(address):
            return
        seconds = self.reachability.partitioned_seconds(self._clock())
        if self.reachability.note_reached(address):
            self._note_end(seconds)
        self.on_reached()

    def note_heard(self, address: str) -> None:
        """Record bytes on a direct connection: unless that upstream is partitioned, not all are."""
        now = self._clock()
        seconds = self.reachability.partitioned_seconds(now)
        if self.reachability.note_heard(address, now):
            self._note_end(seconds)
            self.on_reached()

    def _note_end(self, partitioned_seconds: float) -> None:
        self._note("upstreams.reached", partitioned_seconds=round(partitioned_seconds, 3))

    def probe_due(self) -> None:
        """Try in the background to reach partitioned upstreams again; called often."""
        for address in self.reachability.due_probes(self._clock()):
            direct = self._start(self._connect(address))
            direct.add_done_callback(functools.partial(self._note_direct, address=address))

    async def _connect_repeatedly(self, address: str) -> UpstreamConnection:
        """Return the first of a few direct connections, which are opened a moment apart."""
        pending: set[asyncio.Task[UpstreamConnection]] = set()
        try:
            for tries in range(1, _MAX_DIRECT_TRIES + 1):
                pending.add(self._start(self._connect(address)))
                delay = _NEXT_DIRECT_DELAY_SECONDS if tries < _MAX_DIRECT_TRIES else None
                done, pending = await asyncio.wait(
                    pending, timeout=delay, return_when=asyncio.FIRST_COMPLETED
                )
                if done:
                    best = max(done, key=_is_open)
                    for other in done - {best}:
                        _close_result(other)
                    return best.result()
        finally:
            for task in pending:
                task.add_done_callback(_close_result)
                task.cancel()
        raise AssertionError("the last try is awaited without a timeout")

    async def _connect(self, address: str) -> UpstreamConnection:
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(self._answer_request_id, address), host, port
            )
        self.opened["direct"] += 1
        return connection

    async def _open_relayed(self, address: str) -> UpstreamConnection:
        """Ask other gateways, one after another, and return the first connection.

        Raise RelayFailedError if none opens one; its outcome tells if all of them were refused.
        """
        assert self._relays is not None
        peers = self._choice.candidates(self._relays.peers(), self._clock(), self._relays.rng)
        asked: set[asyncio.Task[UpstreamConnection]] = set()
        outcomes: set[RelayOutcome | None] = set()
        try:
            async with asyncio.timeout(_RELAY_TIMEOUT_SECONDS):
                while peers or asked:
                    if peers:
                        asked.add(self._start(self._ask(peers.pop(0), address)))
                    delay = _NEXT_RELAY_DELAY_SECONDS if peers else None
                    done, asked = await asyncio.wait(
                        asked, timeout=delay, return_when=asyncio.FIRST_COMPLETED
                    )
                    opened = next((task for task in done if _is_open(task)), None)
                    if opened is not None:
                        asked |= done - {opened}
                        return opened.result()
                    outcomes |= {_outcome(task) for task in done}
        except TimeoutError:
            pass
        finally:
            for task in asked:
                task.add_done_callback(_close_result)
        # A gateway that is partitioned itself, and does not know it yet, is refused as well.
        all_refused = outcomes == {RelayOutcome.REFUSED}
        raise RelayFailedError(RelayOutcome.REFUSED if all_refused else None)

    async def _ask(self, peer: Peer, address: str) -> UpstreamConnection:
        assert self._relays is not None
        request = RelayOpen(self._relays.own_name, address)
        try:
            async with asyncio.timeout(_RELAY_TIMEOUT_SECONDS):
                connection = await open_relayed(
                    peer.address,
                    request,
                    self._relays.seal,
                    lambda: UpstreamConnection(self._answer_request_id, address, peer.name),
                )
        except RelayFailedError as error:
            if error.outcome in _UNFIT_OUTCOMES:
                self._choice.note_failed(peer.name, self._clock())
            raise
        except (OSError, TimeoutError):
            self._choice.note_failed(peer.name, self._clock())
            raise
        self._choice.note_served(peer.name, self._clock())
        self.opened["relayed"] += 1
        return connection

    def _start(self, work: object) -> asyncio.Task[UpstreamConnection]:
        task: asyncio.Task[UpstreamConnection] = asyncio.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def retain_only(self, addresses: set[str]) -> None:
        """Drop what is known of upstreams that are gone, and of gateways that are not alive."""
        self.reachability.retain_only(addresses)
        if self._relays is not None:
            self._choice.retain_only({peer.name for peer in self._relays.peers()})

    def _note(self, event: str, **fields: object) -> None:
        if self._log is not None:
            self._log.note(event, **fields)


async def _wait_for_one(
    direct: asyncio.Task[UpstreamConnection], relayed: asyncio.Task[UpstreamConnection]
) -> None:
    """Wait until one of two connections is open, or both have failed."""
    pending = {direct, relayed}
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        if any(_is_open(task) for task in done):
            return


def _is_open(task: asyncio.Task[UpstreamConnection]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


def _outcome(failed: asyncio.Task[UpstreamConnection]) -> RelayOutcome | None:
    error = failed.exception()
    return error.outcome if isinstance(error, RelayFailedError) else None


def _close_result(task: asyncio.Task[UpstreamConnection]) -> None:
    """Close a connection that came too late to be used."""
    if _is_open(task):
        task.result().close()
