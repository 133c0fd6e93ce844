"""What one member holds of all members: their states, and which claims about them to believe."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import xxhash

from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.membership.member_claim import supersedes

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.membership.membership_options import MembershipOptions

DIGEST_GROUPS = 64
"""Groups of names that are compared on their own, so that two rosters which differ in a few members
exchange some of their states and not all. Told as 8 bytes each, these fit one datagram."""
_SURE_PHASES = (MemberPhase.ALIVE, MemberPhase.LEAVING)
"""What a member says of itself; the others are what it is held for."""
_LIVE_PHASES = (MemberPhase.ALIVE, MemberPhase.SUSPECT)


@dataclass(frozen=True)
class MemberChange:
    """One change of phase, for the log and for those who follow it."""

    member: MemberState
    former: MemberPhase | None


@dataclass
class _Entry:
    state: MemberState
    since: float
    """When the phase last changed."""


class Roster:
    """The states of all members, oneself included; pure, with the clock passed in."""

    def __init__(self, own: MemberState, options: MembershipOptions) -> None:
        self.own = own
        self._options = options
        self._entries: dict[str, _Entry] = {}
        self._fading: set[str] = set()
        """Members that are suspected, leaving or lost, so that their time may run out."""
        self._live: tuple[MemberState, ...] | None = None
        self._digests: tuple[int, ...] | None = None
        self._changes: list[MemberChange] = []
        self.version = 0
        """Rises with every change of what is held of any member, oneself included."""
        self.composition_version = 0
        """Rises when a member comes, goes or changes its phase, oneself included."""
        self.changed_at = float("-inf")
        """When a member last came, went or was doubted."""
        self.times_declared_lost = 0
        """Times that this member heard that others had taken it for lost."""

    # Views

    def live(self) -> tuple[MemberState, ...]:
        """Return oneself and all members not taken for lost or leaving."""
        if self._live is None:
            own = (self.own,) if self.own.phase is MemberPhase.ALIVE else ()
            others = (entry.state for entry in self._entries.values())
            self._live = (*own, *(state for state in others if state.phase in _LIVE_PHASES))
        return self._live

    def find(self, name: str) -> MemberState | None:
        """Return what is held of a member, oneself included."""
        if name == self.own.name:
            return self.own
        entry = self._entries.get(name)
        return entry.state if entry else None

    def others(self) -> list[MemberState]:
        """Return what is held of every other member."""
        return [entry.state for entry in self._entries.values()]

    def not_alive_at(self, address: str) -> list[MemberState]:
        """Return the members of an address that are not held for alive."""
        fading = (self._entries[name].state for name in self._fading)
        return [state for state in fading if state.address == address]

    @property
    def count(self) -> int:
        """Return of how many members anything is held, oneself included."""
        return 1 + len(self._entries)

    def take_changes(self) -> list[MemberChange]:
        """Return the changes since the last call."""
        taken, self._changes = self._changes, []
        return taken

    # Comparing rosters

    def digests(self) -> tuple[int, ...]:
        """Return a number for each group of names: equal where the same members are live."""
        if self._digests is None:
            found = [0] * DIGEST_GROUPS
            for state in self.live():
                hashed = xxhash.xxh64_intdigest(state.name)
                found[hashed % DIGEST_GROUPS] ^= hashed
            self._digests = tuple(found)
        return self._digests

    def digest(self) -> int:
        """Return one number for all live members."""
        folded = 0
        for number in self.digests():
            folded ^= number
        return folded

    def differing_members(self, digests: Sequence[int], asker: str) -> list[MemberState]:
        """Return the members to tell `asker`, which holds other digests.

        Who is doubted or lost is told in the own hall only, which a cut leaves whole: elsewhere the
        claim could overrule what the asker hears itself.
        """
        own = self.digests()
        if len(digests) != len(own):
            return []
        held = self.find(asker)
        near = held is not None and held.hall == self.own.hall
        return [
            state
            for state in (self.own, *self.others())
            if (near or state.phase in _SURE_PHASES) and self._differs(state.name, own, digests)
        ]

    @staticmethod
    def _differs(name: str, own: Sequence[int], other: Sequence[int]) -> bool:
        group = xxhash.xxh64_intdigest(name) % DIGEST_GROUPS
        return own[group] != other[group]

    # Changes

    def set_own(self, state: MemberState) -> None:
        """Change one's own state, which then overrules what others hold of it."""
        if state.phase is not self.own.phase:
            self._recompose()
        self.own = replace(state, incarnation=state.incarnation + 1)
        self._touch()

    def merge(self, state: MemberState, now: float) -> bool:
        """Take in a claim; return whether others have to hear of it.

        Who it is and how it reads is passed on, but not what it holds: what views a member holds it
        tells itself, in each of its packets. Passed on by all others as well, each change of an
        upstream would fill the packets of the whole fleet.
        """
        if state.name == self.own.name:
            self._refute(state)
            return False
        entry = self._entries.get(state.name)
        if entry is None:
            if state.phase is MemberPhase.LOST:
                return False
            self._entries[state.name] = _Entry(state, now)
            self._note(state, None, now)
            return True
        if not supersedes(state, entry.state):
            return False
        former = entry.state
        self._set(entry, state, now)
        return state.phase is not former.phase or state.contact is not former.contact

    def contradicts_loss(self, state: MemberState) -> bool:
        """Return whether a claim says that one is alive that is held for lost here."""
        held = self._entries.get(state.name)
        lost = held is not None and held.state.phase is MemberPhase.LOST
        return lost and state.phase is MemberPhase.ALIVE

    def suspect(self, name: str, now: float) -> bool:
        """Doubt a member that does not answer; return whether that is news."""
        entry = self._entries.get(name)
        if entry is None or entry.state.phase is not MemberPhase.ALIVE:
            return False
        self._set(entry, replace(entry.state, phase=MemberPhase.SUSPECT), now)
        return True

    def expire(self, now: float) -> list[str]:
        """Let time run out for those that fade; return whom others have to hear of."""
        news = []
        for name in list(self._fading):
            entry = self._entries[name]
            held = now - entry.since
            phase = entry.state.phase
            if phase is MemberPhase.LOST and held >= self._options.lost_retention:
                del self._entries[name]
                self._fading.discard(name)
                self._touch()
                self._recompose()
            elif phase is not MemberPhase.LOST and held >= self._time_of(phase):
                self._set(entry, replace(entry.state, phase=MemberPhase.LOST), now)
                news.append(name)
        return news

    def _time_of(self, phase: MemberPhase) -> float:
        if phase is MemberPhase.LEAVING:
            return self._options.leaving_timeout
        return self._options.lost_timeout

    def _refute(self, state: MemberState) -> None:
        newer = state.incarnation > self.own.incarnation
        wrong = state.incarnation == self.own.incarnation and state.phase is not self.own.phase
        if state.phase is MemberPhase.LOST and (newer or wrong):
            self.times_declared_lost += 1
        if newer or wrong:
            self.own = replace(self.own, incarnation=state.incarnation + 1)
            self._touch()

    def _set(self, entry: _Entry, state: MemberState, now: float) -> None:
        former = entry.state
        if state.phase is not former.phase:
            entry.since = now
        entry.state = state
        self._note(state, former.phase, now)

    def _note(self, state: MemberState, former: MemberPhase | None, now: float) -> None:
        if state.phase is MemberPhase.ALIVE:
            self._fading.discard(state.name)
        else:
            self._fading.add(state.name)
        self._touch()
        if state.phase is not former:
            self._recompose()
            self.changed_at = now
            self._changes.append(MemberChange(state, former))

    def _touch(self) -> None:
        self.version += 1
        self._live = None

    def _recompose(self) -> None:
        self.composition_version += 1
        self._digests = None
