"""Predicts the cost of requests to the upstreams of a service. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from lotushill.routing.service import Service

_OUTPUT_TOKEN_COST = 10.0
"""Cost of a generated token to an engine, in prefill tokens."""
_MIN_WORK = 1e-3
"""Lower bound of the work of a request, so that no request is free."""


class SentRequest(Protocol):
    """The properties of a request that was sent to an upstream."""

    @property
    def request(self) -> int:
        """Number of the attempt."""

    @property
    def team(self) -> int:
        """Number of the team."""

    @property
    def tier(self) -> int:
        """Urgency; 0 is the most urgent."""

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens that the upstream has to process."""

    @property
    def prompt(self) -> int:
        """Number of tokens of the whole prompt."""

    @property
    def memory(self) -> int:
        """Number of tokens of prompt and answer."""

    @property
    def seconds(self) -> float:
        """Expected run time."""

    @property
    def age(self) -> float:
        """Time since the start in seconds."""


def predicted_work(placed: SentRequest, service: Service) -> float:
    """Return the expected cost of a request: tokens at an engine, seconds at a plain service.

    Only requests of one service are compared with each other.
    """
    if service.engine is None:
        return max(_MIN_WORK, placed.seconds)
    output_tokens = max(0, placed.memory - placed.prompt)
    return max(_MIN_WORK, placed.prefill_tokens + _OUTPUT_TOKEN_COST * output_tokens)
