"""Asks schedulers where requests go: the asking gateway's end of one short exchange."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.links.messages import HELD
from lotushill.links.messages import UNREADY

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.links.messages import MemberState
    from lotushill.links.messages import PlacementAnswer
    from lotushill.links.messages import PlacementAsk
    from lotushill.membership.schedulers import Schedulers

ANSWER_TIMEOUT_SECONDS = 0.05
"""A scheduler of the own hall answers in a few milliseconds; one that takes ten times as long is
frozen, lost or overloaded, and the next one is asked. A fifth of the shortest target."""
MAX_SCHEDULERS_ASKED = 3
"""Schedulers for one request: both of the own hall and one of another."""
_RENEWALS = 2
"""Times that one is asked again with whom a request waits: one datagram may be lost."""
_TAKEN_SECONDS = 2.0
"""How long an answer that was taken is remembered: it may come twice."""

Inbox = asyncio.Queue["PlacementAnswer"]


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
        self._inboxes: dict[int, Inbox] = {}
        self._taken: dict[int, float] = {}
        self.unanswered = 0
        """Asks that were not answered in time."""
        self.waiting = 0
        """Requests that wait at schedulers now."""

    async def ask(self, make: Callable[[], PlacementAsk]) -> PlacementAnswer | None:
        """Return the first answer, None if none of some schedulers gives one.

        `make` returns the ask with a new number each time, so that late answers are told apart.
        A request that waits at a scheduler is asked for again until it is placed or refused; one
        that a scheduler loses is brought to the next with the time that it has waited.
        """
        ask = make()
        for scheduler in self._schedulers.query_order(self._clock(), ask.request)[
            :MAX_SCHEDULERS_ASKED
        ]:
            answer = await self._ask_one(ask, make, scheduler)
            if answer is not None and answer.refusal != UNREADY:
                return answer
            ask = make()
        return None

    def receive(self, answer: PlacementAnswer) -> None:
        """Take in an answer; one that nobody waits for any longer is given up."""
        self._schedulers.note_answer(answer.sender)
        inbox = self._inboxes.get(answer.request)
        if inbox is not None:
            inbox.put_nowait(answer)
        elif answer.upstream and answer.request not in self._taken:
            self._on_late(answer.request)

    async def _ask_one(
        self, ask: PlacementAsk, make: Callable[[], PlacementAsk], scheduler: MemberState
    ) -> PlacementAnswer | None:
        inbox = self._inboxes[ask.request] = asyncio.Queue()
        answer: PlacementAnswer | None = None
        try:
            self._send(ask, scheduler.address)
            answer = await _next(inbox, ANSWER_TIMEOUT_SECONDS)
            if answer is not None and answer.refusal == HELD:
                answer = await self._wait(ask, make, scheduler, inbox, answer.retry_after)
        finally:
            del self._inboxes[ask.request]
            self._settle(ask.request, answer, inbox)
        if answer is None:
            self.unanswered += 1
            self._schedulers.note_silent(scheduler.name, self._clock())
        return answer

    async def _wait(
        self,
        ask: PlacementAsk,
        make: Callable[[], PlacementAsk],
        scheduler: MemberState,
        inbox: Inbox,
        renew: float,
    ) -> PlacementAnswer | None:
        """Return the answer to a request that waits, None if its holder is silent."""
        answer: PlacementAnswer | None = None
        self.waiting += 1
        try:
            while True:
                answer = await _next(inbox, renew)
                for _ in range(_RENEWALS):
                    if answer is not None:
                        break
                    self._send(replace(make(), request=ask.request), scheduler.address)
                    answer = await _next(inbox, ANSWER_TIMEOUT_SECONDS)
                if answer is None or answer.refusal != HELD:
                    return answer
        finally:
            self.waiting -= 1
            if answer is None or answer.refusal == HELD:
                # Its client has left, or the holder does not answer: it may come to place it.
                self._send(replace(ask, leaves=True), scheduler.address)
                self._on_late(ask.request)

    def _settle(self, request: int, answer: PlacementAnswer | None, inbox: Inbox) -> None:
        """Remember an answer that is used, and give up what came and is not."""
        now = self._clock()
        if answer is not None and answer.upstream:
            self._taken[request] = now
            for number in [item for item, at in self._taken.items() if now - at > _TAKEN_SECONDS]:
                del self._taken[number]
            return
        while not inbox.empty():
            if inbox.get_nowait().upstream:
                self._on_late(request)


async def _next(inbox: Inbox, seconds: float) -> PlacementAnswer | None:
    """Return the next answer, None if none comes in time."""
    try:
        async with asyncio.timeout(seconds):
            return await inbox.get()
    except TimeoutError:
        return None
