"""Roster of all members known to one member: their states, merged from claims of others."""

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
"""Number of groups of names with a digest each, so that two rosters which differ in a few members
exchange some of their states and not all. Sent as 8 bytes each, the digests fit one datagram."""
_SELF_STATED_PHASES = (MemberPhase.ALIVE, MemberPhase.LEAVING)
"""Phases that a member states of itself; the other phases are claims of other members."""
_LIVE_PHASES = (MemberPhase.ALIVE, MemberPhase.SUSPECT)


@dataclass(frozen=True)
class MemberChange:
    """One change of phase, for the log and for code that follows the members."""

    member: MemberState
    former: MemberPhase | None


@dataclass
class _Entry:
    state: MemberState
    phase_since: float
    """Time at which the phase last changed."""


class Roster:
    """States of all members, this one included; pure, with the time passed in."""

    def __init__(self, own: MemberState, options: MembershipOptions) -> None:
        self.own = own
        self._options = options
        self._entries: dict[str, _Entry] = {}
        self._not_alive: set[str] = set()
        """Members that are suspected, leaving or lost, whose phase ends with a timeout."""
        self._live: tuple[MemberState, ...] | None = None
        self._digests: tuple[int, ...] | None = None
        self._changes: list[MemberChange] = []
        self.version = 0
        """Number that increases with every change to the state of any member, this one included."""
        self.composition_version = 0
        """Number that increases when this or another member joins, leaves or changes its phase."""
        self.changed_at = float("-inf")
        """Time at which a member last joined, left or was suspected."""
        self.times_declared_lost = 0
        """Number of times that this member was notified that others had declared it lost."""

    def live(self) -> tuple[MemberState, ...]:
        """Return this member and all members that are neither lost nor leaving."""
        if self._live is None:
            own = (self.own,) if self.own.phase is MemberPhase.ALIVE else ()
            others = (entry.state for entry in self._entries.values())
            self._live = (*own, *(state for state in others if state.phase in _LIVE_PHASES))
        return self._live

    def find(self, name: str) -> MemberState | None:
        """Return the known state of any member, this one included, or None if it is unknown."""
        if name == self.own.name:
            return self.own
        entry = self._entries.get(name)
        return entry.state if entry else None

    def others(self) -> list[MemberState]:
        """Return the known states of all other members."""
        return [entry.state for entry in self._entries.values()]

    def not_alive_at(self, address: str) -> list[MemberState]:
        """Return the members at an address that are suspected, leaving or lost."""
        states = (self._entries[name].state for name in self._not_alive)
        return [state for state in states if state.address == address]

    @property
    def count(self) -> int:
        """Return the number of known members, this one included."""
        return 1 + len(self._entries)

    def take_changes(self) -> list[MemberChange]:
        """Return the phase changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def digests(self) -> tuple[int, ...]:
        """Return a digest for each group of names; equal if the same members are live."""
        if self._digests is None:
            group_digests = [0] * DIGEST_GROUPS
            for state in self.live():
                hashed = xxhash.xxh64_intdigest(state.name)
                group_digests[hashed % DIGEST_GROUPS] ^= hashed
            self._digests = tuple(group_digests)
        return self._digests

    def digest(self) -> int:
        """Return one digest of all live members."""
        folded = 0
        for number in self.digests():
            folded ^= number
        return folded

    def differing_members(self, digests: Sequence[int], requester: str) -> list[MemberState]:
        """Return the members to send to `requester`, whose digests differ.

        Suspected and lost members are sent only within this hall, which a partition does not
        divide: in another hall the claim could override what the requester observes itself.
        """
        own = self.digests()
        if len(digests) != len(own):
            return []
        state_of_requester = self.find(requester)
        same_hall = state_of_requester is not None and state_of_requester.hall == self.own.hall
        return [
            state
            for state in (self.own, *self.others())
            if (same_hall or state.phase in _SELF_STATED_PHASES)
            and self._differs(state.name, own, digests)
        ]

    @staticmethod
    def _differs(name: str, own: Sequence[int], other: Sequence[int]) -> bool:
        group = xxhash.xxh64_intdigest(name) % DIGEST_GROUPS
        return own[group] != other[group]

    def set_own(self, state: MemberState) -> None:
        """Change this member's state, in a new incarnation that supersedes the one others hold."""
        if state.phase is not self.own.phase:
            self._increment_composition()
        self.own = replace(state, incarnation=state.incarnation + 1)
        self._increment_version()

    def merge(self, state: MemberState, now: float) -> bool:
        """Merge a claim about a member; return whether it is to be passed on to others.

        Changes of a member's phase and store contact are passed on, but not those of the views that
        it holds: each member sends these itself, in each of its packets. If all others passed them
        on as well, each change of an upstream would fill the packets of the whole fleet.
        """
        if state.name == self.own.name:
            self._refute(state)
            return False
        entry = self._entries.get(state.name)
        if entry is None:
            if state.phase is MemberPhase.LOST:
                return False
            self._entries[state.name] = _Entry(state, now)
            self._record_change(state, None, now)
            return True
        if not supersedes(state, entry.state):
            return False
        former = entry.state
        self._set(entry, state, now)
        return state.phase is not former.phase or state.contact is not former.contact

    def contradicts_loss(self, state: MemberState) -> bool:
        """Return whether a claim states that a member is alive which is lost here."""
        member_entry = self._entries.get(state.name)
        lost = member_entry is not None and member_entry.state.phase is MemberPhase.LOST
        return lost and state.phase is MemberPhase.ALIVE

    def suspect(self, name: str, now: float) -> bool:
        """Suspect a member that does not answer; return whether this changed its phase."""
        entry = self._entries.get(name)
        if entry is None or entry.state.phase is not MemberPhase.ALIVE:
            return False
        self._set(entry, replace(entry.state, phase=MemberPhase.SUSPECT), now)
        return True

    def expire(self, now: float) -> list[str]:
        """Apply the timeouts of members that are not alive; return the names to pass on."""
        changed = []
        for name in list(self._not_alive):
            entry = self._entries[name]
            elapsed = now - entry.phase_since
            phase = entry.state.phase
            if phase is MemberPhase.LOST and elapsed >= self._options.lost_retention:
                del self._entries[name]
                self._not_alive.discard(name)
                self._increment_version()
                self._increment_composition()
            elif phase is not MemberPhase.LOST and elapsed >= self._phase_timeout(phase):
                self._set(entry, replace(entry.state, phase=MemberPhase.LOST), now)
                changed.append(name)
        return changed

    def _phase_timeout(self, phase: MemberPhase) -> float:
        if phase is MemberPhase.LEAVING:
            return self._options.leaving_timeout
        return self._options.lost_timeout

    def _refute(self, state: MemberState) -> None:
        newer = state.incarnation > self.own.incarnation
        contradicts = (
            state.incarnation == self.own.incarnation and state.phase is not self.own.phase
        )
        if state.phase is MemberPhase.LOST and (newer or contradicts):
            self.times_declared_lost += 1
        if newer or contradicts:
            self.own = replace(self.own, incarnation=state.incarnation + 1)
            self._increment_version()

    def _set(self, entry: _Entry, state: MemberState, now: float) -> None:
        former = entry.state
        if state.phase is not former.phase:
            entry.phase_since = now
        entry.state = state
        self._record_change(state, former.phase, now)

    def _record_change(self, state: MemberState, former: MemberPhase | None, now: float) -> None:
        if state.phase is MemberPhase.ALIVE:
            self._not_alive.discard(state.name)
        else:
            self._not_alive.add(state.name)
        self._increment_version()
        if state.phase is not former:
            self._increment_composition()
            self.changed_at = now
            self._changes.append(MemberChange(state, former))

    def _increment_version(self) -> None:
        self.version += 1
        self._live = None

    def _increment_composition(self) -> None:
        self.composition_version += 1
        self._digests = None
