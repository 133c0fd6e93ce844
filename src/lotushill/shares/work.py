"""What requests cost the upstreams of a service. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from lotushill.routing.service import Service

_OUTPUT_WORTH = 10.0
"""A token made costs an engine as much as so many that it reads."""
_LEAST_WORK = 1e-3
"""So that no request is free."""


class SentRequest(Protocol):
    """What is known of a request that was sent to an upstream."""

    @property
    def request(self) -> int:
        """Number of the attempt."""

    @property
    def team(self) -> int:
        """Number of its team."""

    @property
    def tier(self) -> int:
        """0 is the most urgent."""

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens that have to be read."""

    @property
    def prompt(self) -> int:
        """Tokens of the whole prompt."""

    @property
    def memory(self) -> int:
        """Tokens of prompt and answer."""

    @property
    def seconds(self) -> float:
        """How long it is expected to run."""

    @property
    def age(self) -> float:
        """How long it has run already, in seconds."""


def predicted_work(placed: SentRequest, service: Service) -> float:
    """Return what a request is expected to cost: tokens at an engine, seconds at plain services.

    Only requests of one service are compared with each other.
    """
    if service.engine is None:
        return max(_LEAST_WORK, placed.seconds)
    made = max(0, placed.memory - placed.prompt)
    return max(_LEAST_WORK, placed.prefill_tokens + _OUTPUT_WORTH * made)
