"""Client that requests permits for an upstream from the owner of its limit."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from lotushill.links.limit_messages import PermitAnswer
from lotushill.links.limit_messages import PermitAsk

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.limits.permit_request import PermitRequest
    from lotushill.links.limit_messages import LimitState

ANSWER_TIMEOUT_SECONDS = 0.15
"""Time-out of a permit request, some round trips between regions; a gateway that takes longer is
frozen, lost or unreachable."""
_TIMEOUT_PAUSE_SECONDS = 0.3
"""Seconds until an owner that did not answer is asked again: by then membership has likely dropped
it."""


class PermitClient:
    """Sends permit requests and returns their answers."""

    def __init__(self, name: str, send: Callable[[PermitAsk, str], None]) -> None:
        """Create it for the gateway `name`; `send` sends to an address."""
        self._name = name
        self._send = send
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[PermitAnswer]] = {}
        self.unanswered = 0
        """Number of permit requests that timed out."""

    async def ask(self, limit: LimitState, request: PermitRequest, address: str) -> PermitAnswer:
        """Return the answer of the gateway at an address, or a denial after a time-out."""
        number = next(self._numbers)
        future: asyncio.Future[PermitAnswer] = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        ask = PermitAsk(
            self._name, number, limit, request.tier, request.route, request.prompt_tokens
        )
        self._send(ask, address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                return await future
        except TimeoutError:
            self.unanswered += 1
            return PermitAnswer(number, False, _TIMEOUT_PAUSE_SECONDS, 0)
        finally:
            del self._pending[number]

    def receive(self, answer: PermitAnswer) -> None:
        """Deliver an answer; a permit that is no longer waited for is not used."""
        future = self._pending.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)
