"""What those who decide by the members read of them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.links.messages import MemberState


class Members(Protocol):
    """What one gateway knows of all."""

    @property
    def own(self) -> MemberState:
        """Return the own state."""

    @property
    def composition_version(self) -> int:
        """Return a number that rises when a member comes, goes or changes its phase."""

    def find(self, name: str) -> MemberState | None:
        """Return what is known of a member."""

    def live(self) -> Sequence[MemberState]:
        """Return oneself and all that are heard and do not leave."""

    def all(self) -> Sequence[MemberState]:
        """Return oneself and all that are known, those that are lost included."""
