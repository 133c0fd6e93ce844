"""The other gateways: heartbeats and load by datagrams, views by connections."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import time
from typing import TYPE_CHECKING
from typing import Any

import anyio

from lotushill.gateway.exceptions import MalformedViewError
from lotushill.gateway.load_relay import BATCH_SECONDS
from lotushill.gateway.load_relay import LoadRelay
from lotushill.gateway.member_log import MemberLog
from lotushill.links.address import split_address
from lotushill.links.codec import decode
from lotushill.links.codec import encode
from lotushill.links.exceptions import ForgedFrameError
from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.load_records import pack
from lotushill.links.load_records import unpack
from lotushill.links.messages import LoadBatch
from lotushill.links.messages import LoadNews
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.messages import Ping
from lotushill.links.messages import Pong
from lotushill.links.messages import RosterPage
from lotushill.links.messages import RosterPull
from lotushill.links.messages import StoreContact
from lotushill.links.messages import ViewKind
from lotushill.links.messages import ViewPage
from lotushill.links.messages import ViewPull
from lotushill.links.peer_links import PeerLinks
from lotushill.links.seal import Seal
from lotushill.membership.membership import Membership
from lotushill.membership.membership_options import MembershipOptions

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from anyio.abc import TaskGroup

    from lotushill.event_log import EventLog
    from lotushill.gateway.settings import GatewaySettings
    from lotushill.links.codec import Message
    from lotushill.membership.membership import Outgoing
    from lotushill.placement.messages import Load

_TICK_SECONDS = 0.05
_CONTEXT = b"gateway"
_PULL_AFTER_SECONDS = 0.3
"""A view is pulled that is behind for so long: the own watch, or the hall, had its chance."""
_PULL_AGAIN_SECONDS = 0.5
_HEARD_PHASES = (MemberPhase.ALIVE, MemberPhase.LEAVING)


class Peers(asyncio.DatagramProtocol):
    """Knows which gateways are there and passes messages between them."""

    def __init__(
        self,
        settings: GatewaySettings,
        log: EventLog,
        rng: random.Random,
        on_load: Callable[[Load], None],
        on_come: Callable[[], None],
        on_gone: Callable[[str], None],
        view_revision: Callable[[ViewKind], int],
        upstream_id: Callable[[int], str | None],
        contact: Callable[[], StoreContact],
        view_text: Callable[[ViewKind], tuple[int, str]],
        on_view: Callable[[ViewKind, int, str], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Make the parts; `view_text` and `on_view` hand views over as JSON text."""
        self._member_log = MemberLog(log)
        self._clock = clock
        self._on_load = on_load
        self._on_come = on_come
        self._on_gone = on_gone
        self._view_revision = view_revision
        self._upstream_id = upstream_id
        self._contact = contact
        self._view_text = view_text
        self._rng = rng
        self._on_view = on_view
        self._address = settings.peers
        # The platform hands out no secret: this key only keeps frames of other fleets out.
        digest = hashlib.blake2b(settings.store.encode(), digest_size=16).digest()
        self._seal = Seal((digest,))
        own = MemberState(
            name=settings.name,
            address=settings.peers,
            hall=settings.hall,
            region=settings.region,
            incarnation=time.time_ns() // 1_000_000,
            phase=MemberPhase.ALIVE,
        )
        self.membership = Membership(own, (), MembershipOptions(), rng)
        self.links = PeerLinks(
            settings.name, self._seal, self._address_of, self._on_message, self._on_link_down
        )
        self._relay = LoadRelay(
            settings.name, settings.hall, self.membership.live, self._send_message
        )
        self._turns = itertools.count()
        self._transport: asyncio.DatagramTransport | None = None
        self._behind: dict[ViewKind, float] = {}
        self._cut_off: set[str] = set()
        self._cut_off_at = -1
        """Version of the membership when the halls that are cut off were worked out."""
        self._looked_at = -1
        """Version of the membership when the views of others were last held against the own."""
        self.malformed = 0
        """Packets dropped because they could not be read."""
        self.bytes_sent = 0

    async def run(self, group: TaskGroup) -> None:
        """Bind, and keep the membership going for ever."""
        host, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self._transport = transport
        self.links.start(group)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        group.start_soon(listener.serve, self.links.accept)
        group.start_soon(self._flush_for_ever)
        while True:
            self._tick(self._clock())
            await anyio.sleep(_TICK_SECONDS)

    async def _flush_for_ever(self) -> None:
        """Pass on load that waits; nothing is woken up for while none does."""
        while True:
            await self._relay.waits()
            await anyio.sleep(BATCH_SECONDS)
            self._relay.flush_due(self._clock())

    def count(self) -> int:
        """Return how many gateways have been seen, those that are lost included."""
        return self.membership.count

    def is_cut_off(self, hall: str) -> bool:
        """Return whether gateways of a hall are known, and none of them is heard."""
        if self.membership.version != self._cut_off_at:
            self._cut_off_at = self.membership.version
            known = self.membership.all()
            heard = {item.hall for item in known if item.phase in _HEARD_PHASES}
            self._cut_off = {item.hall for item in known} - heard
        return hall in self._cut_off

    def leave(self) -> None:
        """Tell the others that this gateway stops."""
        self._send_all(self.membership.leave())

    def tell_load(self, load: Load) -> None:
        """Tell every live gateway of requests placed and ended."""
        now = self._clock()
        self._relay.tell(pack(load), next(self._turns), now)

    def _take_load(self, message: LoadNews | LoadBatch, now: float) -> None:
        try:
            loads = unpack(message.records, self._upstream_id)
        except MalformedFrameError:
            self.malformed += 1
            return
        for load in loads:
            if load.sender != self.membership.own.name:
                self._on_load(load)
        if isinstance(message, LoadNews):
            self._relay.collect(message.records, now)

    def _send_message(self, message: LoadNews | LoadBatch, address: str) -> None:
        self._send(self._seal.sign(encode(message), _CONTEXT), address)

    # The edge

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Take in a datagram."""
        try:
            message = decode(self._seal.open(data, _CONTEXT))
        except (ForgedFrameError, MalformedFrameError):
            self.malformed += 1
            return
        now = self._clock()
        if isinstance(message, LoadNews | LoadBatch):
            self._take_load(message, now)
        elif isinstance(message, Ping | Pong | RosterPull | RosterPage):
            source = f"{addr[0]}:{addr[1]}"
            self._send_all(self.membership.receive(message, source, now))
            self._follow_changes(now)

    def error_received(self, exc: Exception) -> None:
        """Pass over the news that an earlier datagram did not arrive."""

    def _send_all(self, packets: Iterable[Outgoing]) -> None:
        for packet in packets:
            self._send(self._seal.sign(encode(packet.message), _CONTEXT), packet.address)

    def _send(self, data: bytes, address: str) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self.bytes_sent += len(data)
        try:
            self._transport.sendto(data, split_address(address))
        except (OSError, ValueError):
            pass

    # Members

    def _tick(self, now: float) -> None:
        revisions = {kind: self._view_revision(kind) for kind in ViewKind}
        contact = self._contact()
        changed = self.membership.set_views(
            revisions[ViewKind.CONFIGURATION],
            revisions[ViewKind.UPSTREAMS],
            revisions[ViewKind.SETTINGS],
            contact,
        )
        if changed and contact is not StoreContact.PASSIVE:
            self._send_all(self.membership.announce())
        self._send_all(self.membership.tick(now))
        self._follow_changes(now)
        if self.membership.version == self._looked_at and not self._behind:
            return
        self._looked_at = self.membership.version
        members = self.membership.live()
        for kind in ViewKind:
            self._catch_up(kind, revisions[kind], members, now)

    def _follow_changes(self, now: float) -> None:
        self._member_log.flush(now)
        for change in self.membership.take_changes():
            member = change.member
            if change.former is member.phase:
                continue
            self._member_log.note(change, now)
            if member.phase in (MemberPhase.LOST, MemberPhase.LEAVING):
                self._on_gone(member.name)
            elif member.phase is MemberPhase.ALIVE and change.former is not MemberPhase.SUSPECT:
                self._on_come()

    def _address_of(self, name: str) -> str | None:
        member = self.membership.find(name)
        return member.address if member else None

    # Views

    def _catch_up(
        self, kind: ViewKind, revision: int, members: Sequence[MemberState], now: float
    ) -> None:
        ahead = [item for item in members if _revision(item, kind) > revision]
        if not ahead:
            self._behind.pop(kind, None)
            return
        near = [item for item in ahead if item.hall == self.membership.own.hall]
        waits = self._pull_after(revision, bool(near))
        since = self._behind.setdefault(kind, now)
        if now - since < waits:
            return
        self._behind[kind] = now + _PULL_AGAIN_SECONDS - waits
        self.links.post(self._rng.choice(near or ahead).name, ViewPull(kind, revision))

    def _pull_after(self, revision: int, near: bool) -> float:
        """Return how long others may be ahead before their view is pulled."""
        if revision < 0:
            # Without any view there is nothing to wait for.
            return 0.0
        if near and self.membership.own.contact is not StoreContact.READING:
            return 0.0
        return _PULL_AFTER_SECONDS

    def _on_message(self, peer: str, message: Message) -> None:
        if isinstance(message, ViewPull):
            revision, text = self._view_text(message.kind)
            if revision > message.revision:
                self.links.post(peer, ViewPage(message.kind, revision, text))
        elif isinstance(message, ViewPage):
            try:
                self._on_view(message.kind, message.revision, message.text)
            except MalformedViewError:
                self.malformed += 1

    def _on_link_down(self, peer: str) -> None:
        del peer


def _revision(member: MemberState, kind: ViewKind) -> int:
    if kind is ViewKind.CONFIGURATION:
        return member.configuration
    return member.upstreams if kind is ViewKind.UPSTREAMS else member.settings
