"""Read-only interface to the members, for code whose decisions depend on them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.links.messages import MemberState


class Members(Protocol):
    """View that one gateway has of all members."""

    @property
    def own(self) -> MemberState:
        """Return the state of this gateway."""

    @property
    def composition_version(self) -> int:
        """Return a number that increases when a member joins, leaves or changes its phase."""

    def find(self, name: str) -> MemberState | None:
        """Return the known state of a member, or None if it is unknown."""

    def live(self) -> Sequence[MemberState]:
        """Return this gateway and all members that are neither lost nor leaving."""

    def all(self) -> Sequence[MemberState]:
        """Return this gateway and all known members, including lost ones."""
