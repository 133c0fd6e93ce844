"""Decides which of two claims about one member takes precedence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.messages import MemberPhase

if TYPE_CHECKING:
    from lotushill.links.messages import MemberState

_PHASE_RANK = {
    MemberPhase.ALIVE: 0,
    MemberPhase.SUSPECT: 1,
    MemberPhase.LEAVING: 2,
    MemberPhase.LOST: 3,
}
"""Precedence of claims about the same incarnation; the higher rank wins."""


def supersedes(new: MemberState, old: MemberState) -> bool:
    """Return whether a new claim about a member takes precedence over an old one."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return _PHASE_RANK[new.phase] > _PHASE_RANK[old.phase]
