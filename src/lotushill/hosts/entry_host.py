"""One entry host: the parts of `lotushill-entry` put together."""

from __future__ import annotations

import logging
import random
import signal
import time
from typing import TYPE_CHECKING

import anyio

from lotushill.callers.claims import Claims
from lotushill.callers.front_door import FrontDoor
from lotushill.callers.front_door import FrontDoorParts
from lotushill.callers.journal import Journal
from lotushill.dispatch.client import DispatchClient
from lotushill.dispatch.decision_log import log_decision
from lotushill.dispatch.dispatcher import Dispatcher
from lotushill.dispatch.messages import Ask
from lotushill.dispatch.messages import Cancel
from lotushill.dispatch.messages import End
from lotushill.dispatch.messages import Grant
from lotushill.dispatch.messages import Preemption
from lotushill.dispatch.messages import Refusal
from lotushill.dispatch.options import CellOptions
from lotushill.hosts.follower import Follower
from lotushill.hosts.hall_status import HallStatus
from lotushill.hosts.heartbeat import Heartbeat
from lotushill.hosts.membership import Membership
from lotushill.hosts.membership_options import MembershipOptions
from lotushill.hosts.rendezvous import owner
from lotushill.hosts.status_page import StatusPage
from lotushill.hosts.upstream_watch import UpstreamWatch
from lotushill.links.address import split_address
from lotushill.links.http_server import HttpServer
from lotushill.links.messages import Held
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.messages import Ping
from lotushill.links.messages import Pong
from lotushill.links.messages import Pull
from lotushill.links.messages import Pulled
from lotushill.links.peer_links import PeerLinks
from lotushill.links.seal import Seal
from lotushill.metrics import Metrics
from lotushill.objectapi.http_platform import HttpPlatform
from lotushill.upstreams.client import UpstreamClient

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from lotushill.contracts.book import Book
    from lotushill.dispatch.dispatcher import Routed
    from lotushill.hosts.settings import EntrySettings
    from lotushill.links.codec import Message

log = logging.getLogger("entry")

_TICK_SECONDS = 0.02
_HEAR_SECONDS = 0.25
_LEAVE_SECONDS = 0.3


class EntryHost:
    """Everything that runs in one entry process."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        rng = random.Random()
        seal = Seal(tuple(bytes.fromhex(key) for key in settings.peer_keys))
        self.platform = HttpPlatform(f"http://{settings.platform}")
        own = MemberState(
            name=settings.name,
            address=settings.peers,
            hall=settings.hall,
            region=settings.region,
            incarnation=time.time_ns() // 1_000_000,
            phase=MemberPhase.ALIVE,
            generation=0,
        )
        self.membership = Membership(own, settings.seeds, MembershipOptions(), rng)
        self.heartbeat = Heartbeat(self.membership, seal, self._follow_members)
        self.links = PeerLinks(
            settings.name, seal, self._peer_address, self._on_message, self._on_link_down
        )
        self.dispatcher = Dispatcher(self._cell_options, self._on_new_cell)
        self.dispatch = DispatchClient(
            settings.name, self.dispatcher, self.links.post, time.monotonic, self._slots_of
        )
        self.upstreams = UpstreamClient()
        self.watch = UpstreamWatch(
            self.platform, self.dispatcher, self.dispatch.fallback, settings.region, rng
        )
        self.follower = Follower(
            self.platform,
            self.membership,
            self.links.post,
            self._on_generation,
            self.watch,
            rng,
        )
        self.journal = Journal()
        self.front_door = FrontDoor(
            FrontDoorParts(
                entry=settings.name,
                region=settings.region,
                book=self._book,
                dispatch=self.dispatch,
                upstreams=self.upstreams,
                claims=Claims(self.platform),
                journal=self.journal,
                metrics=Metrics(settings.statsd),
            )
        )
        self.callers_server = HttpServer(self.front_door, settings.callers)
        self.status_server = HttpServer(StatusPage(self), settings.status)
        self._live: frozenset[str] = frozenset()
        self._taken_for_lost = 0
        self._group: TaskGroup | None = None

    async def run(self) -> None:
        """Serve until stopped by a signal, and then finish what is in progress."""
        host, port = split_address(self.settings.peers)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with anyio.create_task_group() as group:
            self._group = group
            self.links.start(group)
            group.start_soon(listener.serve, self.links.accept)
            group.start_soon(self.heartbeat.run, self.settings.peers)
            group.start_soon(self.follower.run)
            group.start_soon(self.watch.follow_list)
            group.start_soon(self.watch.follow_health)
            group.start_soon(self.status_server.serve)
            group.start_soon(self.callers_server.serve)
            group.start_soon(HallStatus(self.membership, self.platform).run)
            group.start_soon(self._tick)
            log.info("Started. name=%s hall=%s", self.settings.name, self.settings.hall)
            await self._wait_for_stop()
            await self._drain()
            group.cancel_scope.cancel()
        log.info("Stopped. name=%s", self.settings.name)

    def ready(self) -> bool:
        """Return whether callers may be sent here."""
        return self.front_door.open and self._book() is not None and self.watch.known

    # Stopping

    async def _wait_for_stop(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                log.info("Stopping. signal=%d in_progress=%d", number, self.front_door.in_progress)
                return

    async def _drain(self) -> None:
        """Take no more work, hand over the cells, finish every request in progress."""
        self.front_door.open = False
        await self.heartbeat.send(self.membership.leave())
        self._follow_members()
        await anyio.sleep(_LEAVE_SECONDS)
        self.callers_server.stop()
        async with anyio.create_task_group() as group:
            group.start_soon(self._cut_on_second_signal, group.cancel_scope)
            with anyio.move_on_after(self.settings.drain_seconds) as scope:
                while self.front_door.in_progress or self.callers_server.connections():
                    await anyio.sleep(_TICK_SECONDS)
            if scope.cancelled_caught:
                log.warning("Cut off requests. count=%d", self.front_door.in_progress)
            group.cancel_scope.cancel()
        log.info("Finished all requests.")
        await anyio.sleep(_LEAVE_SECONDS)

    async def _cut_on_second_signal(self, scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                log.warning(
                    "Second signal, cut off requests. count=%d", self.front_door.in_progress
                )
                scope.cancel()
                return

    # Wiring

    async def _tick(self) -> None:
        next_hear = 0.0
        while True:
            await anyio.sleep(_TICK_SECONDS)
            now = time.monotonic()
            self._carry_out(self.dispatcher.tick(now))
            self.dispatch.tick()
            if now >= next_hear:
                next_hear = now + _HEAR_SECONDS
                self.follower.hear(now)

    def _book(self) -> Book | None:
        return self.follower.book

    def _cell_options(self, pool: str) -> CellOptions:
        book = self._book()
        if book is None or pool not in book.root.pools:
            return CellOptions()
        found = book.pool(pool)
        return CellOptions(slots=found.slots, max_slots=found.max_slots)

    def _on_new_cell(self) -> None:
        self.watch.wake()

    def _slots_of(self, cell: str) -> int:
        return self._cell_options(cell.partition("@")[0]).slots

    def _peer_address(self, name: str) -> str | None:
        member = self.membership.find(name)
        return member.address if member else None

    def _on_generation(self, generation: int) -> None:
        packets = self.membership.announce_generation(generation)
        if self._group is not None:
            self._group.start_soon(self.heartbeat.send, packets)

    def _follow_members(self) -> None:
        members = [item for item in self.membership.live() if item.region == self.settings.region]
        names = frozenset(item.name for item in members)
        halls = frozenset(item.hall for item in members) | {self.settings.hall}
        self.dispatcher.set_reachable_halls(halls)
        for gone in self._live - names:
            member = self.membership.find(gone)
            if member is None or member.phase is MemberPhase.LOST:
                self._carry_out(self.dispatcher.drop_entry(gone, time.monotonic()))
        self._live = names
        if self.membership.taken_for_lost != self._taken_for_lost:
            # Others have moved on to another dispatcher; what is on the books here is stale.
            self._taken_for_lost = self.membership.taken_for_lost
            self.dispatcher.reset()
        self.dispatch.follow(sorted(names))
        self.dispatcher.keep_cells(
            lambda cell: owner(cell, names) in (None, self.settings.name), time.monotonic()
        )
        self.follower.hear(time.monotonic())

    def _on_message(self, sender: str, message: Message) -> None:
        self.dispatch.hear(sender)
        if isinstance(message, Ask | End | Cancel | Held):
            now = time.monotonic()
            self._carry_out(self.dispatcher.handle(sender, message, now))
        elif isinstance(message, Grant | Refusal | Preemption):
            self.dispatch.decide(sender, message)
        elif isinstance(message, Pull):
            self.links.post(sender, self.follower.answer_pull(message))
        elif isinstance(message, Pulled):
            self.follower.take_pulled(message)
        elif isinstance(message, Ping):
            self.links.post(sender, Pong(self.settings.name, message.sequence, "", ()))

    def _on_link_down(self, peer: str) -> None:
        if peer in self._live:
            self.dispatch.avoid(peer)

    def _carry_out(self, routed: list[Routed]) -> None:
        for item in routed:
            log_decision(item)
        self.dispatch.carry_out(routed)
