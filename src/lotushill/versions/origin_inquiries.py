"""Asks other gateways for the origin of a stream."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from lotushill.links.origin_messages import OriginAnswer
from lotushill.links.origin_messages import OriginAsk

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from lotushill.links.messages import MemberState

_ROUND_SECONDS = 0.04
"""Time after which gateways that did not answer are asked again: one datagram may be lost. A
gateway of the own hall answers within a millisecond, one of another region within 20."""
_ROUNDS = 3


class _Inquiry:
    """Answers to one inquiry."""

    def __init__(self) -> None:
        self.answer: OriginAnswer | None = None
        self.answered: set[str] = set()
        """Names of the gateways that do not know the origin."""
        self.changed = asyncio.Event()


class OriginInquiries:
    """Asks several gateways at once, and returns the first answer that names an origin."""

    def __init__(
        self,
        name: str,
        gateways: Callable[[str], Sequence[MemberState]],
        send: Callable[[OriginAsk, str], None],
    ) -> None:
        """Ask as the gateway `name`.

        `gateways` returns whom to ask about a request, `send` sends a message to an address.
        """
        self._name = name
        self._gateways = gateways
        self._send = send
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Inquiry] = {}
        self.unanswered = 0
        """Number of inquiries at which no gateway knew the origin, or none answered."""

    async def ask(self, request: str) -> OriginAnswer | None:
        """Return an answer with an origin; None if all say that they have none, or time is up."""
        number, inquiry = next(self._numbers), _Inquiry()
        self._pending[number] = inquiry
        try:
            for _ in range(_ROUNDS):
                gateways = self._gateways(request)
                for gateway in gateways:
                    if gateway.name not in inquiry.answered:
                        self._send(OriginAsk(self._name, number, request), gateway.address)
                if await self._is_settled(inquiry, {item.name for item in gateways}):
                    break
        finally:
            del self._pending[number]
        self.unanswered += inquiry.answer is None
        return inquiry.answer

    async def _is_settled(self, inquiry: _Inquiry, asked: set[str]) -> bool:
        """Return whether an origin is known, or every gateway has answered, within one round."""
        try:
            async with asyncio.timeout(_ROUND_SECONDS):
                while inquiry.answer is None and not (asked and asked <= inquiry.answered):
                    inquiry.changed.clear()
                    await inquiry.changed.wait()
        except TimeoutError:
            return False
        return True

    def receive(self, answer: OriginAnswer) -> None:
        """Deliver an answer; it is ignored if the inquiry has ended."""
        inquiry = self._pending.get(answer.number)
        if inquiry is None:
            return
        if answer.version:
            inquiry.answer = inquiry.answer or answer
        else:
            inquiry.answered.add(answer.sender)
        inquiry.changed.set()
