"""Membership view of one emulated gateway, set by the emulation."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.links.messages import MemberPhase

if TYPE_CHECKING:
    from lotushill.links.messages import MemberState


class EmulatedMembers:
    """The members as one gateway sees them; members once seen are never removed."""

    def __init__(self, own: MemberState, others: list[MemberState]) -> None:
        self._own = own
        self._others = {item.name: item for item in others}
        self.composition_version = 0
        """Version number that increases with each change of the membership."""

    @property
    def own(self) -> MemberState:
        """Return the state of this gateway."""
        return self._own

    def find(self, name: str) -> MemberState | None:
        """Return the state of a member, None if it was never seen."""
        return self._own if name == self._own.name else self._others.get(name)

    def live(self) -> list[MemberState]:
        """Return this gateway and all members that are considered alive."""
        alive = (item for item in self._others.values() if item.phase is MemberPhase.ALIVE)
        return [self._own, *alive]

    def all(self) -> list[MemberState]:
        """Return this gateway and all members that were ever seen."""
        return [self._own, *self._others.values()]

    def mark_alive(self, state: MemberState) -> None:
        """Mark a member as alive, with the given state."""
        self._others[state.name] = state
        self.composition_version += 1

    def mark_lost(self, name: str) -> None:
        """Mark a member as lost."""
        if name in self._others:
            self._others[name] = replace(self._others[name], phase=MemberPhase.LOST)
            self.composition_version += 1
