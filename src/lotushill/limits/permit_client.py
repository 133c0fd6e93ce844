"""Asks the gateway that counts for an upstream whether a request may be sent there."""

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
"""Some round trips between regions; a gateway that takes longer is frozen, lost or cut off."""
_SILENT_PAUSE = 0.3
"""Until one that did not answer is asked again: by then the members have likely lost it."""


class PermitClient:
    """Sends asks and hands over their answers."""

    def __init__(self, name: str, send: Callable[[PermitAsk, str], None]) -> None:
        """Ask as the gateway `name`; `send` sends to an address."""
        self._name = name
        self._send = send
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[PermitAnswer]] = {}
        self.unanswered = 0
        """Asks that were not answered in time."""

    async def ask(self, limit: LimitState, request: PermitRequest, address: str) -> PermitAnswer:
        """Return the answer of the gateway at an address, a denial if there is none in time."""
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
        """Take in an answer; a permit that nobody waits for any longer is not used."""
        waiting = self._waiting.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)
