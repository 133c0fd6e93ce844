"""Who is there: heartbeats with indirect probes, incarnations and suspicion before loss.

A pure state machine. Each period a member pings one other; without an answer it asks others
to ping on its behalf, then suspects, then takes the silent member for lost. What it learns
rides on the pings. A member that hears itself suspected answers with a higher incarnation.
A member that comes asks a few for their roster in one exchange.
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

_REPLAY_MEMORY = 1024
_MAX_RELAYS = 256
_MOST_RECHECKS = 1024
_SEQUENCE_BITS = 62


@dataclass(frozen=True)
class OutgoingPacket:
    """A packet to send."""

    address: str
    message: Packet


@dataclass
class _Probe:
    target: str
    sequence: int
    sent: float
    helped: bool = False


@dataclass
class _Relay:
    """A probe made on another's behalf."""

    asker: str
    asker_sequence: int
    target: str


class Membership:
    """One member's view of all members of its region."""

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
        self._news = GossipBuffer()
        self._round: list[str] = []
        self._rechecks: deque[str] = deque(maxlen=_MOST_RECHECKS)
        """Members held for lost here that another one holds for alive."""
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._sequence = rng.getrandbits(_SEQUENCE_BITS)
        self._seen: OrderedDict[tuple[str, int, bool, str], None] = OrderedDict()
        self._next_ping = 0.0
        self.dropped = 0
        """Packets dropped as replayed or addressed wrongly."""

    # Views

    @property
    def own(self) -> MemberState:
        """Return the own state, as others are told."""
        return self._roster.own

    @property
    def version(self) -> int:
        """Return a number that rises with every change of what is held of any member."""
        return self._roster.version

    @property
    def composition_version(self) -> int:
        """Return a number that rises when a member comes, goes or changes its phase."""
        return self._roster.composition_version

    @property
    def times_declared_lost(self) -> int:
        """Return how often this member heard that others had taken it for lost."""
        return self._roster.times_declared_lost

    def live(self) -> tuple[MemberState, ...]:
        """Return oneself and all members not taken for lost or leaving."""
        return self._roster.live()

    def find(self, name: str) -> MemberState | None:
        """Return what is held of a member, oneself included."""
        return self._roster.find(name)

    def all(self) -> list[MemberState]:
        """Return what is held of every member, oneself first."""
        return [self.own, *self._roster.others()]

    @property
    def count(self) -> int:
        """Return of how many members anything is held, oneself included."""
        return self._roster.count

    def take_changes(self) -> list[MemberChange]:
        """Return the changes since the last call."""
        return self._roster.take_changes()

    # Own state

    def set_views(
        self,
        configuration: int,
        upstreams: int,
        settings: int,
        contact: StoreContact,
        holds: int = -1,
    ) -> bool:
        """Let the next packets tell which views are held and how; return whether that is news."""
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
        """Tell every live member of the own hall at once what is held here."""
        near = [state for state in self.live() if state.hall == self.own.hall]
        return [self._ping(state.address) for state in near if state.name != self.own.name]

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Take addresses of other members that were learned after the start."""
        known = {self.own.address, *self._seeds}
        self._seeds += [address for address in addresses if address not in known]

    def leave(self) -> list[OutgoingPacket]:
        """Tell the own hall and some others that this member takes no more work.

        They tell the rest: told by itself, everybody in a large fleet would answer it.
        """
        self._roster.set_own(replace(self.own, phase=MemberPhase.LEAVING))
        near = [state for state in self.live() if state.hall == self.own.hall]
        far = [state for state in self.live() if state.hall != self.own.hall]
        told = near + self._rng.sample(far, min(self.options.leave_notifications, len(far)))
        return [self._ping(state.address) for state in told]

    # Events

    def tick(self, now: float) -> list[OutgoingPacket]:
        """Do what is due; call several times a period."""
        out = self._follow_probe(now)
        for name in self._roster.expire(now):
            self._news.add(name)
        out += self._recheck()
        if now >= self._next_ping:
            self._next_ping = now + self.options.ping_interval
            out += self._start_round(now)
        return out

    def receive(self, message: Packet, source: str, now: float) -> list[OutgoingPacket]:
        """Take in one authentic packet that came from address `source`."""
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
        if self._repeated(message):
            self.dropped += 1
            return []
        self._merge_all(message.members, now)
        out = self._pull(message, source, now)
        if isinstance(message, Pong):
            return out + self._take_pong(message)
        return out + self._take_ping(message, source, now)

    def _merge_all(self, states: Iterable[MemberState], now: float) -> None:
        for state in states:
            if self._roster.merge(state, now):
                self._news.add(state.name)
            elif self._roster.contradicts_loss(state) and state.name not in self._rechecks:
                self._rechecks.append(state.name)

    def _take_ping(self, message: Ping, source: str, now: float) -> list[OutgoingPacket]:
        if message.target:
            return self._probe_for(message, now)
        return [self._pong(source, message.sequence, "")]

    def _take_pong(self, message: Pong) -> list[OutgoingPacket]:
        probe = self._probe
        if probe and message.sequence == probe.sequence:
            self._probe = None
        relay = self._relays.pop(message.sequence, None)
        asker = self.find(relay.asker) if relay else None
        if relay is None or asker is None or message.sender != relay.target:
            return []
        return [self._pong(asker.address, relay.asker_sequence, relay.target)]

    def _probe_for(self, message: Ping, now: float) -> list[OutgoingPacket]:
        target = self.find(message.target)
        if target is None or target.name == self.own.name:
            return []
        ping = self._ping(target.address)
        self._relays[self._sequence] = _Relay(message.sender, message.sequence, target.name)
        while len(self._relays) > _MAX_RELAYS:
            del self._relays[next(iter(self._relays))]
        return [ping]

    # Probing

    def _start_round(self, now: float) -> list[OutgoingPacket]:
        target = self._next_target()
        if target is None:
            few = min(self.options.seeds_per_ping_round, len(self._seeds))
            return [self._ping(seed) for seed in self._rng.sample(self._seeds, few)]
        ping = self._ping(target.address)
        if target.phase in (MemberPhase.ALIVE, MemberPhase.SUSPECT) and self._probe is None:
            self._probe = _Probe(target.name, self._sequence, now)
        return [ping, *self._greet_stranger()]

    def _greet_stranger(self) -> list[OutgoingPacket]:
        """Return a ping to a seed that is no member yet: groups that formed apart come together."""
        known = {state.address for state in self._roster.others()}
        strangers = [seed for seed in self._seeds if seed not in known]
        return [self._ping(self._rng.choice(strangers))] if strangers else []

    def _next_target(self) -> MemberState | None:
        while self._round:
            state = self._roster.find(self._round.pop())
            if state is not None:
                return state
        others = self._roster.others()
        alive = [state.name for state in others if state.phase is not MemberPhase.LOST]
        lost = [state.name for state in others if state.phase is MemberPhase.LOST]
        self._round = alive + self._rng.sample(lost, min(1, len(lost)))
        self._rng.shuffle(self._round)
        if not alive and self._seeds and self._rng.random() < 0.5:
            return None
        return self._roster.find(self._round.pop()) if self._round else None

    def _recheck(self) -> list[OutgoingPacket]:
        """Ping members that were lost here: they hear so, and refute it if they are there.

        Without it a hall of a large fleet that was cut off would come back member by member, as
        the rare probes of lost ones reach them.
        """
        out = []
        for _ in range(min(self.options.rechecks_per_tick, len(self._rechecks))):
            state = self._roster.find(self._rechecks.popleft())
            if state is not None and state.phase is MemberPhase.LOST:
                out.append(self._ping(state.address))
        return out

    def _follow_probe(self, now: float) -> list[OutgoingPacket]:
        probe = self._probe
        if probe is None:
            return []
        waited = now - probe.sent
        if waited >= self.options.suspect_timeout:
            self._probe = None
            self._suspect(probe.target, now)
            return []
        if waited < self.options.probe_timeout or probe.helped:
            return []
        probe.helped = True
        helpers = [
            state for state in self.live() if state.name not in (probe.target, self.own.name)
        ]
        chosen = self._rng.sample(helpers, min(self.options.probe_helpers, len(helpers)))
        return [self._ping(state.address, probe.target, probe.sequence) for state in chosen]

    def _suspect(self, name: str, now: float) -> None:
        if self._roster.suspect(name, now):
            self._news.add(name)

    # Rosters

    def _pull(self, message: Ping | Pong, source: str, now: float) -> list[OutgoingPacket]:
        """Return the question for what the sender knows and this member does not, if it is due."""
        if not message.known or not self._sync.should_pull(message.digest, message.known, now):
            return []
        return [OutgoingPacket(source, RosterPull(self.own.name, self._roster.digests()))]

    def _serve_roster(self, pull: RosterPull, address: str, now: float) -> list[OutgoingPacket]:
        if not self._sync.admit_pull(now):
            return []
        states = self._roster.differing_members(pull.digests, pull.sender)
        return [
            OutgoingPacket(
                address, RosterPage(self.own.name, tuple(states[at : at + MAX_STATES_PER_PACKET]))
            )
            for at in range(0, len(states), MAX_STATES_PER_PACKET)
        ]

    def _repeated(self, message: Ping | Pong) -> bool:
        """Return whether this very packet came before.

        Older replays that the memory no longer covers are harmless: states carry incarnations,
        and only the answer to an open probe, whose number cannot be guessed, proves life.
        """
        key = (message.sender, message.sequence, type(message) is Ping, message.target)
        if key in self._seen:
            return True
        self._seen[key] = None
        if len(self._seen) > _REPLAY_MEMORY:
            self._seen.popitem(last=False)
        return False

    # Packets

    def _ping(self, address: str, target: str = "", sequence: int = 0) -> OutgoingPacket:
        own_sequence = self._next_sequence()
        gossip = self._gossip(address)
        used = sequence or own_sequence
        digest, known = self._roster.digest(), len(self.live())
        return OutgoingPacket(address, Ping(self.own.name, used, target, gossip, digest, known))

    def _pong(self, address: str, sequence: int, target: str) -> OutgoingPacket:
        gossip = self._gossip(address)
        digest, known = self._roster.digest(), len(self.live())
        return OutgoingPacket(address, Pong(self.own.name, sequence, target, gossip, digest, known))

    def _gossip(self, address: str) -> tuple[MemberState, ...]:
        """Return the own state, any doubt held of the receiver, and the freshest news."""
        passed: dict[str, MemberState] = {self.own.name: self.own}
        for state in self._roster.not_alive_at(address):
            passed[state.name] = state
        for name in self._news.next_batch():
            held = self._roster.find(name)
            if held is not None:
                passed[name] = held
        return tuple(passed.values())

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
