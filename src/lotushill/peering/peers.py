"""Communication with other gateways: views by connections, all other messages by datagrams."""

from __future__ import annotations

import asyncio
import functools
import hashlib
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import anyio
from anyio.abc import SocketListener

from lotushill import clock as clocks
from lotushill.links.address import split_address
from lotushill.links.binder import bind_udp
from lotushill.links.datagram import from_datagram
from lotushill.links.datagram import to_datagram
from lotushill.links.exceptions import ForgedFrameError
from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.limit_messages import LimitNews
from lotushill.links.limit_messages import PermitAnswer
from lotushill.links.limit_messages import PermitAsk
from lotushill.links.load_records import pack_load
from lotushill.links.load_records import unpack_loads
from lotushill.links.messages import LeavingNews
from lotushill.links.messages import LoadBatch
from lotushill.links.messages import LoadNews
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.messages import ModelPage
from lotushill.links.messages import ModelPull
from lotushill.links.messages import Ping
from lotushill.links.messages import PlacementAnswer
from lotushill.links.messages import PlacementAsk
from lotushill.links.messages import Pong
from lotushill.links.messages import RosterPage
from lotushill.links.messages import RosterPull
from lotushill.links.messages import StoreContact
from lotushill.links.messages import ViewKind
from lotushill.links.messages import ViewPage
from lotushill.links.messages import ViewPull
from lotushill.links.messages import WaitingNews
from lotushill.links.messages import WorkPage
from lotushill.links.messages import WorkPull
from lotushill.links.origin_messages import EndedNews
from lotushill.links.origin_messages import OriginAnswer
from lotushill.links.origin_messages import OriginAsk
from lotushill.links.origin_messages import OriginNews
from lotushill.links.pace_records import pack_paces
from lotushill.links.pace_records import unpack_paces
from lotushill.links.peer_links import PeerLinks
from lotushill.links.quarantine_messages import ClearedNews
from lotushill.links.quarantine_messages import GroupNews
from lotushill.links.quarantine_messages import SuspectNews
from lotushill.links.return_messages import ReturnNews
from lotushill.links.seal import Seal
from lotushill.links.slot_messages import SlotAnswer
from lotushill.links.slot_messages import SlotAsk
from lotushill.links.slot_messages import SlotReport
from lotushill.links.slot_messages import SlotReportAck
from lotushill.membership.membership import Membership
from lotushill.membership.membership_options import MembershipOptions
from lotushill.membership.schedulers import Schedulers
from lotushill.peering.member_log import MemberLog
from lotushill.peering.view_exchange import ViewExchange
from lotushill.relaying.relay_choice import Peer
from lotushill.relaying.relays import Relays
from lotushill.scheduling.hall_contact import HallContact
from lotushill.scheduling.load_relay import BATCH_INTERVAL_SECONDS
from lotushill.scheduling.load_relay import LoadRelay
from lotushill.scheduling.model_sync import ModelSync
from lotushill.scheduling.placement_client import PlacementClient

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from anyio.abc import ByteStream
    from anyio.abc import TaskGroup

    from lotushill.event_log import EventLog
    from lotushill.links.binder import Binder
    from lotushill.links.channel import Channel
    from lotushill.links.codec import Message
    from lotushill.links.datagram import Datagram
    from lotushill.links.relay_messages import RelayOpen
    from lotushill.membership.membership import OutgoingPacket
    from lotushill.placement.engine_pace import LongTermPace
    from lotushill.placement.messages import Load
    from lotushill.process.settings import GatewaySettings
    from lotushill.process.supervisor import Supervisor

_TICK_INTERVAL_SECONDS = 0.05
_ACCEPT_PAUSE_SECONDS = 0.2
"""Pause after a connection could not be accepted."""
_SEAL_CONTEXT = b"gateway"
_REACHABLE_PHASES = (MemberPhase.ALIVE, MemberPhase.LEAVING)


@dataclass(frozen=True)
class PeerHooks:
    """Callbacks that connect the components of a gateway with its peers."""

    view_revision: Callable[[ViewKind], int]
    view_text: Callable[[ViewKind], tuple[int, str]]
    """Returns the revision and JSON text of a view."""
    on_view: Callable[[ViewKind, int, str], None]
    """Receives a peer's view; raises MalformedViewError."""
    store_contact: Callable[[], StoreContact]
    upstream_id: Callable[[int], str | None]
    """Returns an upstream's id by the number that represents it between gateways."""
    on_load: Callable[[Load], None]
    all_running: Callable[[], list[Load]]
    """Returns all requests that are known to be running."""
    paces: Callable[[], list[LongTermPace]]
    """Returns the known long-term paces of upstreams."""
    on_paces: Callable[[list[LongTermPace]], None]
    """Receives the paces that another scheduler has measured or received."""
    on_gateway_gone: Callable[[str], None]
    """Receives the name of a gateway that left or was lost."""
    answer_placement: Callable[[PlacementAsk, float], PlacementAnswer]
    """Places a request for another gateway."""
    on_late_placement: Callable[[int], None]
    """Receives the number of a request that was placed too late to be sent."""
    on_work_pull: Callable[[WorkPull], Iterable[WorkPage]]
    """Returns the usage counts of this gateway."""
    on_work_page: Callable[[WorkPage], None]
    """Receives the usage counts of another gateway."""
    on_suspects: Callable[[SuspectNews | ClearedNews | GroupNews], None]
    """Receives updates on requests during which upstreams failed or did not fail."""
    on_leaving: Callable[[LeavingNews], None]
    """Receives updates on upstreams that announced that they leave."""
    on_limits: Callable[[LimitNews], None]
    """Receives updates on limits that upstreams stated."""
    on_permit_ask: Callable[[PermitAsk], PermitAnswer]
    """Answers a permit request for an upstream with a limit."""
    on_permit_answer: Callable[[PermitAnswer], None]
    on_slots: Callable[[SlotAsk | SlotAnswer | SlotReport | SlotReportAck, str], None]
    """Receives messages on the slots of brittle upstreams, with the address of the sender."""
    on_returns: Callable[[ReturnNews], None]
    """Receives updates on refused callers with a promised retry time."""
    on_origin: Callable[[OriginNews], None]
    """Receives where a stream began of which this gateway is an owner."""
    on_origin_ask: Callable[[OriginAsk], OriginAnswer]
    """Answers where a stream began."""
    on_origin_answer: Callable[[OriginAnswer], None]
    on_ended: Callable[[EndedNews], None]
    """Receives which incarnations of upstreams have ended although they are listed."""
    on_tick: Callable[[], None]
    """Runs about twenty times a second."""
    serve_relay: Callable[[RelayOpen, Channel, ByteStream], Awaitable[None]]
    """Serves a connection on which a gateway asks for one to an upstream."""
    on_queue_counts: Callable[[WaitingNews], None] = lambda _: None
    """Receives the number of requests in the queue of another scheduler."""


class Peers(asyncio.DatagramProtocol):
    """Tracks the other gateways and exchanges messages with them."""

    def __init__(
        self,
        settings: GatewaySettings,
        log: EventLog,
        rng: random.Random,
        hooks: PeerHooks,
        clock: Callable[[], float] = clocks.now,
    ) -> None:
        self._member_log = MemberLog(log)
        self._clock = clock
        self._hooks = hooks
        self._address = settings.peers
        # The platform provides no secret: this key only rejects frames of other fleets.
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
            settings.name,
            self._seal,
            self._address_of,
            self._on_message,
            lambda _: None,
            hooks.serve_relay,
        )
        self.schedulers = Schedulers(self.membership)
        self.client = PlacementClient(
            self.schedulers, self.send_message, hooks.on_late_placement, clock
        )
        self.model_sync = ModelSync(self.schedulers)
        self._hall_contact = HallContact(self.schedulers)
        self._views = ViewExchange(
            self.membership, self.links, rng, hooks.view_text, hooks.on_view, log
        )
        self._relay = LoadRelay(settings.name, self.schedulers, self.send_message)
        self._transport: asyncio.DatagramTransport | None = None
        self._closed: asyncio.Future[None] | None = None
        """Completed by the end of the transport."""
        self._unreachable_halls: set[str] = set()
        self._unreachable_version = -1
        """Version of the membership for which the unreachable halls were computed."""
        self.malformed = 0
        """Number of packets that were dropped because they could not be decoded."""
        self.bytes_sent = 0

    def tasks(
        self, group: TaskGroup, supervisor: Supervisor, binder: Binder
    ) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks of the exchange with other gateways, by name."""
        self.links.start(group, supervisor.contain)
        return {
            "membership": functools.partial(self._tick_forever, supervisor),
            "datagrams": functools.partial(self._receive_datagrams, binder),
            "peer listener": functools.partial(self._listen, group, supervisor, binder),
            "load relay": self._flush_forever,
        }

    async def _tick_forever(self, supervisor: Supervisor) -> None:
        while True:
            supervisor.call("membership", self._tick, self._clock())
            await anyio.sleep(_TICK_INTERVAL_SECONDS)

    async def _receive_datagrams(self, binder: Binder) -> None:
        """Receive datagrams until their socket is closed, which raises its error."""
        sock = await binder.bind("peers (UDP)", self._address, bind_udp)
        loop = asyncio.get_running_loop()
        self._closed = loop.create_future()
        try:
            self._transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=sock)
            await self._closed
        finally:
            if self._transport is not None:
                self._transport.close()
            sock.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the task that receives datagrams, which is then started again."""
        if self._closed is not None and not self._closed.done():
            self._closed.set_exception(exc or ConnectionError("the datagram socket was closed"))

    async def _listen(self, group: TaskGroup, supervisor: Supervisor, binder: Binder) -> None:
        """Accept connections from other gateways forever."""
        sock = await binder.bind("peers (TCP)", self._address)
        async with await SocketListener.from_socket(sock) as listener:
            while True:
                try:
                    stream = await listener.accept()
                except OSError as error:
                    # The process is out of descriptors or memory; connections that wait in the
                    # queue of the listener are accepted later.
                    supervisor.note("peer listener", error)
                    await anyio.sleep(_ACCEPT_PAUSE_SECONDS)
                    continue
                group.start_soon(supervisor.contain, "peer connection", self.links.accept, stream)

    async def _flush_forever(self) -> None:
        """Pass on pending load updates; without any, the task sleeps."""
        while True:
            await self._relay.wait_for_pending()
            await anyio.sleep(BATCH_INTERVAL_SECONDS)
            self._relay.flush_due(self._clock())

    def count(self) -> int:
        """Return the number of known gateways, including lost ones."""
        return self.membership.count

    def seconds_behind(self, kind: ViewKind) -> float:
        """Return for how long another gateway has been known to have a newer view of a kind."""
        return self._views.seconds_behind(kind, self._clock())

    def is_hall_unreachable(self, hall: str) -> bool:
        """Return whether gateways of a hall are known but none of them is reachable."""
        if self.membership.version != self._unreachable_version:
            self._unreachable_version = self.membership.version
            members = self.membership.all()
            reachable = {item.hall for item in members if item.phase in _REACHABLE_PHASES}
            self._unreachable_halls = {item.hall for item in members} - reachable
        return hall in self._unreachable_halls or self._hall_contact.is_silent(hall, self._clock())

    def relays(self, rng: random.Random) -> Relays:
        """Return the access to the gateways through which upstreams may be reached."""
        own = self.membership.own
        return Relays(own.name, own.hall, self._live_peers, self._seal, rng)

    def _live_peers(self) -> list[Peer]:
        own = self.membership.own.name
        return [
            Peer(item.name, item.address, item.hall)
            for item in self.membership.live()
            if item.name != own
        ]

    def is_same_hall(self, name: str) -> bool:
        """Return whether a gateway is in the same hall as this one."""
        member = self.membership.find(name)
        return member is not None and member.hall == self.membership.own.hall

    def leave(self) -> None:
        """Notify the other gateways that this one stops."""
        self._send_all(self.membership.leave())

    def publish_load(self, load: Load) -> None:
        """Send requests that were placed or ended to the schedulers."""
        self._relay.publish(pack_load(load), load.number, self._clock())

    def broadcast(self, message: Message) -> None:
        """Send a message to every other live gateway."""
        data = self._seal.sign(to_datagram(message), _SEAL_CONTEXT)
        for member in self.membership.live():
            if member.name != self.membership.own.name:
                self._send(data, member.address)

    def send_to_schedulers(self, message: Message) -> None:
        """Send a message to every scheduler except this gateway."""
        for scheduler in self.schedulers.others():
            self.send_message(message, scheduler.address)

    def send_to(self, message: Message, name: str) -> None:
        """Send a message to one gateway if it is known."""
        member = self.membership.find(name)
        if member is not None:
            self.send_message(message, member.address)

    def _receive_records(self, records: bytes) -> None:
        try:
            loads = unpack_loads(records, self._hooks.upstream_id)
        except MalformedFrameError:
            self.malformed += 1
            return
        for load in loads:
            if load.sender != self.membership.own.name:
                self._hooks.on_load(load)

    def _receive_paces(self, records: bytes) -> None:
        try:
            self._hooks.on_paces(unpack_paces(records, self._hooks.upstream_id))
        except MalformedFrameError:
            self.malformed += 1

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Decode a datagram and pass its message to the part that handles it."""
        try:
            message = from_datagram(self._seal.open(data, _SEAL_CONTEXT))
        except (ForgedFrameError, MalformedFrameError):
            self.malformed += 1
            return
        now, source = self._clock(), f"{addr[0]}:{addr[1]}"
        if isinstance(message, LoadBatch):
            self._hall_contact.note_batch(message.sender, now)
            self._receive_records(message.records)
        elif isinstance(message, LoadNews):
            self._receive_records(message.records)
            self._relay.collect(message.records, now)
        elif isinstance(message, PlacementAsk):
            answer = self._hooks.answer_placement(message, now)
            self.send_message(answer, source)
        elif isinstance(message, PlacementAnswer):
            self.client.receive(message)
        elif isinstance(message, WaitingNews):
            self._hooks.on_queue_counts(message)
        elif isinstance(message, WorkPull):
            for page in self._hooks.on_work_pull(message):
                self.send_message(page, source)
        elif isinstance(message, WorkPage):
            self._hooks.on_work_page(message)
        elif isinstance(message, SuspectNews | ClearedNews | GroupNews):
            self._hooks.on_suspects(message)
        elif isinstance(message, LeavingNews):
            self._hooks.on_leaving(message)
        elif isinstance(message, LimitNews):
            self._hooks.on_limits(message)
        elif isinstance(message, PermitAsk):
            self.send_message(self._hooks.on_permit_ask(message), source)
        elif isinstance(message, PermitAnswer):
            self._hooks.on_permit_answer(message)
        elif isinstance(message, SlotAsk | SlotAnswer | SlotReport | SlotReportAck):
            self._hooks.on_slots(message, source)
        elif isinstance(message, ReturnNews):
            self._hooks.on_returns(message)
        elif isinstance(message, OriginNews):
            self._hooks.on_origin(message)
        elif isinstance(message, EndedNews):
            self._hooks.on_ended(message)
        elif isinstance(message, OriginAsk):
            self.send_message(self._hooks.on_origin_ask(message), source)
        elif isinstance(message, OriginAnswer):
            self._hooks.on_origin_answer(message)
        elif isinstance(message, Ping | Pong | RosterPull | RosterPage):
            self._send_all(self.membership.receive(message, source, now))
            self._process_changes(now)

    def error_received(self, exc: Exception) -> None:
        """Ignore the notice that an earlier datagram was not delivered."""

    def _send_all(self, packets: Iterable[OutgoingPacket]) -> None:
        for packet in packets:
            self.send_message(packet.message, packet.address)

    def send_message(self, message: Datagram, address: str) -> None:
        """Send one datagram to an address."""
        self._send(self._seal.sign(to_datagram(message), _SEAL_CONTEXT), address)

    def _send(self, data: bytes, address: str) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self.bytes_sent += len(data)
        try:
            self._transport.sendto(data, split_address(address))
        except (OSError, ValueError):
            pass

    def _on_message(self, peer: str, message: Message) -> None:
        if isinstance(message, ViewPull):
            self._views.answer(peer, message)
        elif isinstance(message, ViewPage):
            self.malformed += not self._views.receive(message)
        elif isinstance(message, ModelPull):
            records = b"".join(pack_load(load) for load in self._hooks.all_running())
            self.links.post(peer, ModelPage(records, pack_paces(self._hooks.paces())))
        elif isinstance(message, ModelPage):
            self._receive_paces(message.paces)
            self._receive_records(message.records)
            self.model_sync.note_page()

    def _tick(self, now: float) -> None:
        self._hooks.on_tick()
        revisions = {kind: self._hooks.view_revision(kind) for kind in ViewKind}
        contact = self._hooks.store_contact()
        changed = self.membership.set_views(
            revisions[ViewKind.CONFIGURATION],
            revisions[ViewKind.UPSTREAMS],
            revisions[ViewKind.SETTINGS],
            contact,
            revisions[ViewKind.HOLDS],
        )
        if changed and contact is not StoreContact.PASSIVE:
            self._send_all(self.membership.announce())
        self._send_all(self.membership.tick(now))
        self._process_changes(now)
        self._views.pull_newer(revisions, now)
        self._hall_contact.update_listening(now)
        self._relay.send_keepalive(now)
        if min(revisions[ViewKind.CONFIGURATION], revisions[ViewKind.UPSTREAMS]) >= 0:
            self._pull_model(now)

    def _pull_model(self, now: float) -> None:
        source = self.model_sync.next_source(now)
        if source is not None:
            self.links.post(source, ModelPull(self.membership.own.name))

    def _process_changes(self, now: float) -> None:
        self._member_log.flush(now)
        for change in self.membership.take_changes():
            member = change.member
            if change.former is member.phase:
                continue
            self._member_log.note(change, now)
            if member.phase in (MemberPhase.LOST, MemberPhase.LEAVING):
                self._hooks.on_gateway_gone(member.name)

    def _address_of(self, name: str) -> str | None:
        member = self.membership.find(name)
        return member.address if member else None
