"""Failure detection by heartbeats with indirect probes, incarnations and a suspicion phase.

A pure state machine. In each period a member pings one other member. Without an answer it asks
others to ping on its behalf, then suspects the member, then declares it lost. Pings and pongs carry
the changes that a member has learned. A member that receives a suspicion of itself refutes it with
a higher incarnation. A member that joins pulls the roster of a few others in one exchange each.
"""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.links.messages import MemberPhase
from lotushill.links.messages import Ping
from lotushill.links.messages import Pong
from lotushill.links.messages import RosterPage
from lotushill.links.messages import RosterPull
from lotushill.membership.gossip_buffer import MAX_STATES_PER_PACKET
from lotushill.membership.gossip_buffer import GossipBuffer
from lotushill.membership.roster import Roster
from lotushill.membership.roster_sync import RosterSync

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from lotushill.links.messages import MemberState
    from lotushill.links.messages import StoreContact
    from lotushill.membership.membership_options import MembershipOptions
    from lotushill.membership.roster import MemberChange

    Packet = Ping | Pong | RosterPull | RosterPage

_MAX_REMEMBERED_PACKETS = 1024
_MAX_INDIRECT_PROBES = 256
_MAX_RECHECKS = 1024
_SEQUENCE_BITS = 62


@dataclass(frozen=True)
class OutgoingPacket:
    """A packet to send, with the address of its receiver."""

    address: str
    message: Packet


@dataclass
class _Probe:
    target: str
    sequence: int
    sent_at: float
    helpers_asked: bool = False


@dataclass
class _IndirectProbe:
    """An indirect probe, made on behalf of another member."""

    requester: str
    requester_sequence: int
    target: str


class Membership:
    """View that one member has of all members of its region."""

    def __init__(
        self,
        own: MemberState,
        seeds: Iterable[str],
        options: MembershipOptions,
        rng: random.Random,
    ) -> None:
        self.options = options
        self._roster = Roster(own, options)
        self._sync = RosterSync(self._roster, options)
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._rng = rng
        self._gossip_buffer = GossipBuffer()
        self._ping_queue: list[str] = []
        self._rechecks: deque[str] = deque(maxlen=_MAX_RECHECKS)
        """Members that are lost here and that another member claims to be alive."""
        self._probe: _Probe | None = None
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._sequence = rng.getrandbits(_SEQUENCE_BITS)
        self._recent_packets: OrderedDict[tuple[str, int, bool, str], None] = OrderedDict()
        self._next_ping_at = 0.0
        self.dropped = 0
        """Number of packets that were dropped as replayed or wrongly addressed."""

    @property
    def own(self) -> MemberState:
        """Return the state of this member as sent to others."""
        return self._roster.own

    @property
    def version(self) -> int:
        """Return a number that increases with every change to the known state of any member."""
        return self._roster.version

    @property
    def composition_version(self) -> int:
        """Return a number that increases when a member joins, leaves or changes its phase."""
        return self._roster.composition_version

    @property
    def times_declared_lost(self) -> int:
        """Return how often this member was notified that others had declared it lost."""
        return self._roster.times_declared_lost

    def live(self) -> tuple[MemberState, ...]:
        """Return this member and all members that are neither lost nor leaving."""
        return self._roster.live()

    def find(self, name: str) -> MemberState | None:
        """Return the known state of any member, this one included, or None if it is unknown."""
        return self._roster.find(name)

    def all(self) -> list[MemberState]:
        """Return the known states of all members, this one first."""
        return [self.own, *self._roster.others()]

    @property
    def count(self) -> int:
        """Return the number of known members, this one included."""
        return self._roster.count

    def take_changes(self) -> list[MemberChange]:
        """Return the phase changes since the last call."""
        return self._roster.take_changes()

    def set_views(
        self,
        configuration: int,
        upstreams: int,
        settings: int,
        contact: StoreContact,
        holds: int = -1,
    ) -> bool:
        """Set the view revisions and store contact to send; return whether any changed."""
        state = replace(
            self.own,
            configuration=configuration,
            upstreams=upstreams,
            settings=settings,
            contact=contact,
            holds=holds,
        )
        if state == self.own:
            return False
        self._roster.set_own(state)
        return True

    def announce(self) -> list[OutgoingPacket]:
        """Return pings that send this member's state to every live member of its hall at once."""
        same_hall = [state for state in self.live() if state.hall == self.own.hall]
        return [self._ping(state.address) for state in same_hall if state.name != self.own.name]

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses of other members that became known after the start."""
        known = {self.own.address, *self._seeds}
        self._seeds += [address for address in addresses if address not in known]

    def leave(self) -> list[OutgoingPacket]:
        """Notify this hall and some members of other halls that this member accepts no more work.

        They pass it on to the rest: if it pinged everybody itself, all members of a large fleet
        would answer it.
        """
        self._roster.set_own(replace(self.own, phase=MemberPhase.LEAVING))
        same_hall = [state for state in self.live() if state.hall == self.own.hall]
        other_halls = [state for state in self.live() if state.hall != self.own.hall]
        receivers = same_hall + self._rng.sample(
            other_halls, min(self.options.leave_notifications, len(other_halls))
        )
        return [self._ping(state.address) for state in receivers]

    def tick(self, now: float) -> list[OutgoingPacket]:
        """Return the packets that are due; to be called several times per period."""
        out = self._check_probe(now)
        for name in self._roster.expire(now):
            self._gossip_buffer.add(name)
        out += self._recheck_lost()
        if now >= self._next_ping_at:
            self._next_ping_at = now + self.options.ping_interval
            out += self._start_round(now)
        return out

    def receive(self, message: Packet, source: str, now: float) -> list[OutgoingPacket]:
        """Process one authentic packet from the address `source` and return the answers."""
        if message.sender == self.own.name:
            self.dropped += 1
            return []
        if isinstance(message, RosterPull):
            return self._serve_roster(message, source, now)
        if isinstance(message, RosterPage):
            self._merge_all(message.members, now)
            return []
        if not message.members or message.members[0].name != message.sender:
            self.dropped += 1
            return []
        if self._is_replayed(message):
            self.dropped += 1
            return []
        self._merge_all(message.members, now)
        out = self._pull_roster(message, source, now)
        if isinstance(message, Pong):
            return out + self._handle_pong(message)
        return out + self._handle_ping(message, source, now)

    def _merge_all(self, states: Iterable[MemberState], now: float) -> None:
        for state in states:
            if self._roster.merge(state, now):
                self._gossip_buffer.add(state.name)
            elif self._roster.contradicts_loss(state) and state.name not in self._rechecks:
                self._rechecks.append(state.name)

    def _handle_ping(self, message: Ping, source: str, now: float) -> list[OutgoingPacket]:
        if message.target:
            return self._probe_on_behalf(message, now)
        return [self._pong(source, message.sequence, "")]

    def _handle_pong(self, message: Pong) -> list[OutgoingPacket]:
        probe = self._probe
        if probe and message.sequence == probe.sequence:
            self._probe = None
        indirect = self._indirect_probes.pop(message.sequence, None)
        requester = self.find(indirect.requester) if indirect else None
        if indirect is None or requester is None or message.sender != indirect.target:
            return []
        return [self._pong(requester.address, indirect.requester_sequence, indirect.target)]

    def _probe_on_behalf(self, message: Ping, now: float) -> list[OutgoingPacket]:
        target = self.find(message.target)
        if target is None or target.name == self.own.name:
            return []
        ping = self._ping(target.address)
        self._indirect_probes[self._sequence] = _IndirectProbe(
            message.sender, message.sequence, target.name
        )
        while len(self._indirect_probes) > _MAX_INDIRECT_PROBES:
            del self._indirect_probes[next(iter(self._indirect_probes))]
        return [ping]

    def _start_round(self, now: float) -> list[OutgoingPacket]:
        target = self._next_target()
        if target is None:
            seed_count = min(self.options.seeds_per_ping_round, len(self._seeds))
            return [self._ping(seed) for seed in self._rng.sample(self._seeds, seed_count)]
        ping = self._ping(target.address)
        if target.phase in (MemberPhase.ALIVE, MemberPhase.SUSPECT) and self._probe is None:
            self._probe = _Probe(target.name, self._sequence, now)
        return [ping, *self._ping_unknown_seed()]

    def _ping_unknown_seed(self) -> list[OutgoingPacket]:
        """Return a ping to a seed that is no member yet, so that separately formed groups merge."""
        known = {state.address for state in self._roster.others()}
        unknown_seeds = [seed for seed in self._seeds if seed not in known]
        return [self._ping(self._rng.choice(unknown_seeds))] if unknown_seeds else []

    def _next_target(self) -> MemberState | None:
        while self._ping_queue:
            state = self._roster.find(self._ping_queue.pop())
            if state is not None:
                return state
        others = self._roster.others()
        alive = [state.name for state in others if state.phase is not MemberPhase.LOST]
        lost = [state.name for state in others if state.phase is MemberPhase.LOST]
        self._ping_queue = alive + self._rng.sample(lost, min(1, len(lost)))
        self._rng.shuffle(self._ping_queue)
        if not alive and self._seeds and self._rng.random() < 0.5:
            return None
        return self._roster.find(self._ping_queue.pop()) if self._ping_queue else None

    def _recheck_lost(self) -> list[OutgoingPacket]:
        """Ping members that are lost here, so that they receive the claim and refute it if alive.

        Without this, a hall of a large fleet would return from a partition member by member, as the
        rare probes of lost members reach them.
        """
        out = []
        for _ in range(min(self.options.rechecks_per_tick, len(self._rechecks))):
            state = self._roster.find(self._rechecks.popleft())
            if state is not None and state.phase is MemberPhase.LOST:
                out.append(self._ping(state.address))
        return out

    def _check_probe(self, now: float) -> list[OutgoingPacket]:
        probe = self._probe
        if probe is None:
            return []
        elapsed = now - probe.sent_at
        if elapsed >= self.options.suspect_timeout:
            self._probe = None
            self._suspect(probe.target, now)
            return []
        if elapsed < self.options.probe_timeout or probe.helpers_asked:
            return []
        probe.helpers_asked = True
        helpers = [
            state for state in self.live() if state.name not in (probe.target, self.own.name)
        ]
        chosen = self._rng.sample(helpers, min(self.options.probe_helpers, len(helpers)))
        return [self._ping(state.address, probe.target, probe.sequence) for state in chosen]

    def _suspect(self, name: str, now: float) -> None:
        if self._roster.suspect(name, now):
            self._gossip_buffer.add(name)

    def _pull_roster(self, message: Ping | Pong, source: str, now: float) -> list[OutgoingPacket]:
        """Return a roster pull if the sender may know members unknown here and a pull is due."""
        if not message.known or not self._sync.should_pull(message.digest, message.known, now):
            return []
        return [OutgoingPacket(source, RosterPull(self.own.name, self._roster.digests()))]

    def _serve_roster(self, pull: RosterPull, address: str, now: float) -> list[OutgoingPacket]:
        if not self._sync.admit_pull(now):
            return []
        states = self._roster.differing_members(pull.digests, pull.sender)
        return [
            OutgoingPacket(
                address,
                RosterPage(self.own.name, tuple(states[start : start + MAX_STATES_PER_PACKET])),
            )
            for start in range(0, len(states), MAX_STATES_PER_PACKET)
        ]

    def _is_replayed(self, message: Ping | Pong) -> bool:
        """Return whether an identical packet was received before.

        Replays older than the remembered packets are harmless: states carry incarnations, and only
        the answer to an open probe, whose sequence number cannot be guessed, proves that a member
        is alive.
        """
        key = (message.sender, message.sequence, type(message) is Ping, message.target)
        if key in self._recent_packets:
            return True
        self._recent_packets[key] = None
        if len(self._recent_packets) > _MAX_REMEMBERED_PACKETS:
            self._recent_packets.popitem(last=False)
        return False

    def _ping(self, address: str, target: str = "", sequence: int = 0) -> OutgoingPacket:
        own_sequence = self._next_sequence()
        member_states = self._states_to_send(address)
        used = sequence or own_sequence
        digest, known = self._roster.digest(), len(self.live())
        return OutgoingPacket(
            address, Ping(self.own.name, used, target, member_states, digest, known)
        )

    def _pong(self, address: str, sequence: int, target: str) -> OutgoingPacket:
        member_states = self._states_to_send(address)
        digest, known = self._roster.digest(), len(self.live())
        return OutgoingPacket(
            address, Pong(self.own.name, sequence, target, member_states, digest, known)
        )

    def _states_to_send(self, address: str) -> tuple[MemberState, ...]:
        """Return this member's state, claims that the receiver is not alive, and latest changes."""
        states_by_name: dict[str, MemberState] = {self.own.name: self.own}
        for state in self._roster.not_alive_at(address):
            states_by_name[state.name] = state
        for name in self._gossip_buffer.next_batch():
            known_state = self._roster.find(name)
            if known_state is not None:
                states_by_name[name] = known_state
        return tuple(states_by_name.values())

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
