"""Gateway side of the placement protocol: sends placement queries to schedulers."""

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
"""Time without an answer after which the next scheduler is asked. A scheduler of the own hall
answers in a few milliseconds; one that takes ten times as long is frozen, lost or overloaded. A
fifth of the shortest target."""
MAX_SCHEDULERS_ASKED = 3
"""Maximum number of schedulers asked for one request: both of the own hall and one of another."""
_MAX_RENEWAL_ATTEMPTS = 2
"""Number of times that a renewal is sent before a scheduler counts as silent: one datagram may be
lost."""
_USED_ANSWER_SECONDS = 2.0
"""Time for which the number of a used answer is stored: the answer may be received twice."""

Inbox = asyncio.Queue["PlacementAnswer"]


class PlacementClient:
    """Sends one query at a time for each request, and returns the answer."""

    def __init__(
        self,
        schedulers: Schedulers,
        send: Callable[[PlacementAsk, str], None],
        on_late: Callable[[int], None],
        clock: Callable[[], float],
    ) -> None:
        """Query `schedulers`; `on_late` is called with each request that was placed too late."""
        self._schedulers = schedulers
        self._send = send
        self._on_late = on_late
        self._clock = clock
        self._inboxes: dict[int, Inbox] = {}
        self._used_answers: dict[int, float] = {}
        self.unanswered = 0
        """Number of queries that were not answered in time."""
        self.waiting = 0
        """Number of requests queued at schedulers now."""

    async def ask(self, make_ask: Callable[[], PlacementAsk]) -> PlacementAnswer | None:
        """Return the first answer, None if none of the schedulers asked gives one.

        `make_ask` returns the query with a new number each time, by which late answers are
        recognized. A request queued at a scheduler is renewed until it is placed or refused; if the
        scheduler is lost, the request is sent to the next one with the time that it has waited.
        """
        ask = make_ask()
        for scheduler in self._schedulers.query_order(self._clock(), ask.request)[
            :MAX_SCHEDULERS_ASKED
        ]:
            answer = await self._ask_one(ask, make_ask, scheduler)
            if answer is not None and answer.refusal != UNREADY:
                return answer
            ask = make_ask()
        return None

    def receive(self, answer: PlacementAnswer) -> None:
        """Handle an answer; a placement for which no request waits any longer is given up."""
        self._schedulers.note_answer(answer.sender)
        inbox = self._inboxes.get(answer.request)
        if inbox is not None:
            inbox.put_nowait(answer)
        elif answer.upstream and answer.request not in self._used_answers:
            self._on_late(answer.request)

    async def _ask_one(
        self, ask: PlacementAsk, make_ask: Callable[[], PlacementAsk], scheduler: MemberState
    ) -> PlacementAnswer | None:
        inbox = self._inboxes[ask.request] = asyncio.Queue()
        answer: PlacementAnswer | None = None
        try:
            self._send(ask, scheduler.address)
            answer = await _next(inbox, ANSWER_TIMEOUT_SECONDS)
            if answer is not None and answer.refusal == HELD:
                answer = await self._wait_in_queue(
                    ask, make_ask, scheduler, inbox, answer.retry_after
                )
        finally:
            del self._inboxes[ask.request]
            self._finish_query(ask.request, answer, inbox)
        if answer is None:
            self.unanswered += 1
            self._schedulers.note_silent(scheduler.name, self._clock())
        return answer

    async def _wait_in_queue(
        self,
        ask: PlacementAsk,
        make_ask: Callable[[], PlacementAsk],
        scheduler: MemberState,
        inbox: Inbox,
        renew_seconds: float,
    ) -> PlacementAnswer | None:
        """Return the answer to a queued request, None if its scheduler does not answer."""
        answer: PlacementAnswer | None = None
        self.waiting += 1
        try:
            while True:
                answer = await _next(inbox, renew_seconds)
                for _ in range(_MAX_RENEWAL_ATTEMPTS):
                    if answer is not None:
                        break
                    self._send(replace(make_ask(), request=ask.request), scheduler.address)
                    answer = await _next(inbox, ANSWER_TIMEOUT_SECONDS)
                if answer is None or answer.refusal != HELD:
                    return answer
        finally:
            self.waiting -= 1
            if answer is None or answer.refusal == HELD:
                # The client has left or the scheduler is silent; it may still place the request.
                self._send(replace(ask, leaves=True), scheduler.address)
                self._on_late(ask.request)

    def _finish_query(self, request: int, answer: PlacementAnswer | None, inbox: Inbox) -> None:
        """Store the number of a used answer, and give up placements in unused ones."""
        now = self._clock()
        if answer is not None and answer.upstream:
            self._used_answers[request] = now
            for number in [
                item for item, at in self._used_answers.items() if now - at > _USED_ANSWER_SECONDS
            ]:
                del self._used_answers[number]
            return
        while not inbox.empty():
            if inbox.get_nowait().upstream:
                self._on_late(request)


async def _next(inbox: Inbox, seconds: float) -> PlacementAnswer | None:
    """Return the next answer, None if none is received in time."""
    try:
        async with asyncio.timeout(seconds):
            return await inbox.get()
    except TimeoutError:
        return None
