"""What each of many gateways believes of the others, as told by the emulation."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.links.messages import MemberPhase

if TYPE_CHECKING:
    from lotushill.links.messages import MemberState


class EmulatedMembers:
    """The members as one gateway sees them; it knows all that it ever heard of."""

    def __init__(self, own: MemberState, others: list[MemberState]) -> None:
        self._own = own
        self._others = {item.name: item for item in others}
        self.composition_version = 0
        """Rises with each change."""

    @property
    def own(self) -> MemberState:
        """Return the own state."""
        return self._own

    def find(self, name: str) -> MemberState | None:
        """Return what is known of a member."""
        return self._own if name == self._own.name else self._others.get(name)

    def live(self) -> list[MemberState]:
        """Return oneself and all that are held for alive."""
        alive = (item for item in self._others.values() if item.phase is MemberPhase.ALIVE)
        return [self._own, *alive]

    def all(self) -> list[MemberState]:
        """Return oneself and all that are known."""
        return [self._own, *self._others.values()]

    def hear(self, state: MemberState) -> None:
        """Hold a member for alive."""
        self._others[state.name] = state
        self.composition_version += 1

    def lose(self, name: str) -> None:
        """Hold a member for lost."""
        if name in self._others:
            self._others[name] = replace(self._others[name], phase=MemberPhase.LOST)
            self.composition_version += 1
