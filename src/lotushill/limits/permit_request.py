"""Request for a permit, as the limit owner needs it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.placement.need import Need
    from lotushill.routing.upstream import Upstream


@dataclass(frozen=True)
class PermitRequest:
    """One request for an upstream with a limit."""

    upstream: Upstream
    route: str
    tier: int
    """Tier, 0 for the most urgent."""
    prompt_tokens: int = 0


def permit_request(upstream: Upstream, need: Need) -> PermitRequest:
    """Return the permit request for a request with a need."""
    return PermitRequest(upstream, need.route, need.tier, need.prompt_tokens)
