"""Asks schedulers where requests go: the asking gateway's end of one short exchange."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lotushill.links.messages import UNREADY

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.links.messages import PlacementAnswer
    from lotushill.links.messages import PlacementAsk
    from lotushill.membership.schedulers import Schedulers

ANSWER_SECONDS = 0.05
"""A scheduler of the own hall answers in a few milliseconds; one that takes ten times as long is
frozen, lost or overloaded, and the next one is asked. A fifth of the shortest target."""
MOST_ASKED = 3
"""Schedulers for one request: both of the own hall and one of another."""


class PlacementClient:
    """Sends one ask at a time for each request, and hands over the answers."""

    def __init__(
        self,
        schedulers: Schedulers,
        send: Callable[[PlacementAsk, str], None],
        on_late: Callable[[int], None],
        clock: Callable[[], float],
    ) -> None:
        """Ask `schedulers`; `on_late` hears of a request that was placed too late to be used."""
        self._schedulers = schedulers
        self._send = send
        self._on_late = on_late
        self._clock = clock
        self._waiting: dict[int, asyncio.Future[PlacementAnswer]] = {}
        self.unanswered = 0
        """Asks that were not answered in time."""

    async def ask(self, make: Callable[[], PlacementAsk]) -> PlacementAnswer | None:
        """Return the first answer, None if none of some schedulers gives one.

        `make` returns the ask with a new number each time, so that late answers are told apart.
        """
        ask = make()
        for scheduler in self._schedulers.in_order(self._clock(), ask.request)[:MOST_ASKED]:
            answer = await self._ask_one(ask, scheduler.name, scheduler.address)
            if answer is not None and answer.refusal != UNREADY:
                return answer
            ask = make()
        return None

    def receive(self, answer: PlacementAnswer) -> None:
        """Take in an answer; one that nobody waits for any longer is given up."""
        self._schedulers.note_answer(answer.sender)
        waiting = self._waiting.get(answer.request)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)
        elif answer.upstream:
            self._on_late(answer.request)

    async def _ask_one(
        self, ask: PlacementAsk, scheduler: str, address: str
    ) -> PlacementAnswer | None:
        waiting: asyncio.Future[PlacementAnswer] = asyncio.get_running_loop().create_future()
        self._waiting[ask.request] = waiting
        self._send(ask, address)
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                return await waiting
        except TimeoutError:
            self.unanswered += 1
            self._schedulers.note_silent(scheduler, self._clock())
            return None
        except asyncio.CancelledError:
            if waiting.done() and not waiting.cancelled() and waiting.result().upstream:
                self._on_late(ask.request)
            raise
        finally:
            del self._waiting[ask.request]
