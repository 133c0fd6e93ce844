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
frozen, lost or cut off."""
_SILENT_PAUSE = 0.3
"""Seconds until an owner that did not answer is asked again: by then membership has likely dropped
it."""


class PermitClient:
    """Sends permit requests and returns their answers."""

    def __init__(self, name: str, send: Callable[[PermitAsk, str], None]) -> None:
        """Create it for the gateway `name`; `send` sends to an address."""
        self._name = name
        self._send = send
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[PermitAnswer]] = {}
        self.unanswered = 0
        """Number of permit requests that timed out."""

    async def ask(self, limit: LimitState, request: PermitRequest, address: str) -> PermitAnswer:
        """Return the answer of the gateway at an address, or a denial after a time-out."""
        number = next(self._numbers)
        waiting: asyncio.Future[PermitAnswer] = asyncio.get_running_loop().create_future()
        self._waiting[number] = waiting
        ask = PermitAsk(
            self._name, number, limit, request.tier, request.route, request.prompt_tokens
        )
        self._send(ask, address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                return await waiting
        except TimeoutError:
            self.unanswered += 1
            return PermitAnswer(number, False, _SILENT_PAUSE, 0)
        finally:
            del self._waiting[number]

    def receive(self, answer: PermitAnswer) -> None:
        """Deliver an answer; a permit that is no longer waited for is not used."""
        waiting = self._waiting.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)
