"""Which of two claims about one member is to be believed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.messages import MemberPhase

if TYPE_CHECKING:
    from lotushill.links.messages import MemberState

_RANK = {
    MemberPhase.ALIVE: 0,
    MemberPhase.SUSPECT: 1,
    MemberPhase.LEAVING: 2,
    MemberPhase.LOST: 3,
}
"""Which of two claims about one incarnation wins."""


def supersedes(new: MemberState, old: MemberState) -> bool:
    """Return whether one claim about a member overrules another."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return _RANK[new.phase] > _RANK[old.phase]
