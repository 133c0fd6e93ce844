"""A handover closes a sound stream, or gives up memory that is still needed.

The calls to the source are answered by a script, in virtual time. An answer is lost, delayed or
followed by others in an order that the source did not intend; the run continues meanwhile, or its
stream ends.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING
from typing import TypeAlias

from lotushill.availability.retry_budget import ReservedRetries
from lotushill.availability.retry_budget import RetryBudget
from lotushill.links.exceptions import NoAnswerError
from lotushill.moves.memory_copy import Copied
from lotushill.moves.memory_copy import NoCopyReason
from lotushill.moves.memory_copy import NotCopied
from lotushill.requests.engine_memory_client import EngineMemoryClient
from lotushill.requests.handover import Handover
from lotushill.requests.handover import Phase
from lotushill.routing.upstream import Upstream
from tests.virtual_time import run_virtually

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

Answer: TypeAlias = "Copied | NotCopied | None"
"""Answer to a call; None if none arrives."""

SOURCE = Upstream("source", "s", "10.0.0.1:1", "z", 8, True)
TARGET = Upstream("target", "s", "10.0.0.2:1", "z", 8, False)
COPIED = Copied("h", 5)
NOT_STOPPED = NotCopied(NoCopyReason.NO_ROOM)
KEPT_AT_SOURCE = NotCopied(NoCopyReason.NO_ROOM, "h")
UNKNOWN = NotCopied(NoCopyReason.UNKNOWN_RUN)
BUSY = NotCopied(NoCopyReason.BUSY)
CALL_SECONDS = 0.001
"""Time of a call, and of opening a connection."""
EVENT_SECONDS = 0.05
"""Interval of the events of a run."""
MAX_CALLS = 200
"""Most calls for one run: those that last as long as a run may be repeated every 0.03 s."""
RUN_SECONDS = 5.0
"""Time after which a run ends by itself."""


class ScriptedMemory(EngineMemoryClient):
    """Answers the calls for one run in turn, and all further ones as the last."""

    def __init__(self, answers: list[Answer]) -> None:
        super().__init__()
        self.answers = answers
        self.calls: list[bool] = []
        """Whether each call was to stop the run."""
        self.freed: list[str] = []

    async def copy(
        self, source: str, run: str, target: str, last: bool, timeout_seconds: float
    ) -> Copied | NotCopied:
        """Return the next answer; without one, fail at once like a reset connection."""
        del source, run, target, timeout_seconds
        self.calls.append(last)
        await asyncio.sleep(CALL_SECONDS)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer is None:
            raise NoAnswerError("reset")
        return answer

    async def free(self, source: str, handle: str) -> None:
        """Record the freed handle."""
        del source
        self.freed.append(handle)


class HandoverSite:
    """A handover, the stream of its source, and the retries reserved for it."""

    def __init__(self, answers: list[Answer], reachable: bool = True) -> None:
        self.memory = ScriptedMemory(answers)
        self.reachable = reachable
        self.alternates = False
        """Whether only each second connection is accepted."""
        self.budget = RetryBudget(0.0, 100.0, 10.0)
        self.events = 5
        self.closed = False
        self.memories_at_stop: list[str] = []
        """Upstreams from which the run can be continued after its stream has ended."""
        self.handover = Handover(
            self.memory, "r", SOURCE, TARGET, 0.01, self._reserve, self._close,
            lambda: self.events, self._is_reachable,
        )  # fmt: skip

    def _reserve(self) -> ReservedRetries | str:
        self.budget.try_reserve(2, 1, 0.0)
        return ReservedRetries(self.budget, 2, lambda: 1)

    def _close(self) -> None:
        self.closed = True
        self.handover.note_stream_ended()

    async def _is_reachable(self, upstream: Upstream) -> bool:
        del upstream
        await asyncio.sleep(CALL_SECONDS)
        if self.alternates:
            self.reachable = not self.reachable
        return self.reachable

    async def run(self, *events: Coroutine[None, None, None]) -> None:
        """Perform the handover while some events happen beside it."""
        others = [asyncio.create_task(item) for item in events]
        handing_over = asyncio.create_task(self.handover.run())
        await asyncio.sleep(2 * RUN_SECONDS)
        self.memories_at_stop = [item.upstream.id for item in self.handover.memories()]
        if self.handover.abandon():
            await self.handover.free()
        await handing_over
        await asyncio.gather(*others)

    async def generate_events(self) -> None:
        """Deliver events until the run ends, which abandons its handover."""
        for _ in range(round(RUN_SECONDS / EVENT_SECONDS)):
            await asyncio.sleep(EVENT_SECONDS)
            if self.handover.stream_ended:
                return
            self.events += 1
        self.handover.abandon()

    def reserved(self) -> int:
        """Return how many of the retries are still reserved."""
        count = 0
        while self.budget.try_spend(1, 0.0):
            count += 1
        return 80 - count


async def end_stream(site: HandoverSite) -> None:
    """End the stream of the source while the second call is in progress."""
    await asyncio.sleep(1.5 * CALL_SECONDS)
    site.handover.note_stream_ended()


async def end_stream_later(site: HandoverSite) -> None:
    """End the stream of the source long after all calls were answered."""
    await asyncio.sleep(2.0)
    site.handover.note_stream_ended()


async def deliver_last_event(site: HandoverSite) -> None:
    """Deliver an event that the source sent before it stopped the run."""
    await asyncio.sleep(0.1)
    site.events += 1


class TestHandover(unittest.TestCase):
    def play(
        self,
        answers: list[Answer],
        *events: Callable[[HandoverSite], Coroutine[None, None, None]],
        reachable: bool = True,
    ) -> HandoverSite:
        """Perform a handover until its run has ended; nothing stays held then."""
        site = HandoverSite(answers, reachable)

        async def play() -> None:
            await site.run(*(item(site) for item in events))

        run_virtually(play())
        self.assertEqual(0, site.reserved())
        return site

    def test_a_source_that_accepts_no_connections_but_sends_events_is_not_closed(self) -> None:
        """A leaving engine closes its listener and completes its streams.

        Refused connections fail at once, so that two checks pass between two events.
        """
        site = self.play([COPIED, None], HandoverSite.generate_events, reachable=False)
        self.assertFalse(site.closed)

    def test_a_source_that_resets_each_call_is_not_asked_without_pause(self) -> None:
        """Each failed call opens a connection to a source that has runs to complete."""
        site = self.play([COPIED, None], HandoverSite.generate_events)
        self.assertFalse(site.closed)
        self.assertLess(len(site.memory.calls), MAX_CALLS)

    def test_a_copy_is_kept_if_the_stream_ends_while_another_call_is_in_progress(self) -> None:
        """The source states four times that a call is in progress, and its stream is lost."""
        site = self.play([COPIED, BUSY], end_stream)
        self.assertIn("target", site.memories_at_stop)

    def test_a_run_is_stopped_even_if_an_event_arrives_after_the_source_has_forgotten_it(
        self,
    ) -> None:
        """The first stop took effect, and neither its answer nor the end of the stream arrived."""
        site = self.play([COPIED, None, UNKNOWN], deliver_last_event)
        self.assertIn("target", site.memories_at_stop)

    def test_a_run_that_was_not_stopped_stays_at_its_source(self) -> None:
        for answer in (NOT_STOPPED, UNKNOWN, BUSY):
            with self.subTest(answer=answer):
                site = self.play([COPIED, answer], HandoverSite.generate_events)
                self.assertEqual(Phase.GIVEN_UP, site.handover.phase)
                self.assertEqual((False, ["h"]), (site.closed, site.memory.freed))

    def test_a_run_that_its_source_runs_after_unanswered_stops_stays_there(self) -> None:
        """The copy is kept until the run ends, as an unanswered stop may take effect later."""
        for answer in (NOT_STOPPED, UNKNOWN):
            with self.subTest(answer=answer):
                answers = [COPIED, None, None, BUSY, BUSY, answer]
                site = self.play(answers, HandoverSite.generate_events)
                self.assertEqual(Phase.STOPPING, site.handover.phase)
                self.assertEqual((False, ["h"]), (site.closed, site.memory.freed))

    def test_a_stop_that_takes_effect_after_its_repetition_was_refused_keeps_the_copy(self) -> None:
        site = self.play([COPIED, None, NOT_STOPPED], end_stream_later)
        self.assertEqual(["target", "source"], site.memories_at_stop)

    def test_a_stopped_run_whose_stream_does_not_end_is_closed(self) -> None:
        stops: list[list[Answer]] = [[COPIED], [KEPT_AT_SOURCE], [None, UNKNOWN]]
        for answers in stops:
            with self.subTest(answers=answers):
                site = self.play([COPIED, *answers])
                self.assertTrue(site.closed)

    def test_memory_is_held_where_the_last_answer_says(self) -> None:
        for answer, places in ((COPIED, ["target", "source"]), (KEPT_AT_SOURCE, ["source"])):
            with self.subTest(answer=answer):
                site = self.play([COPIED, answer], end_stream)
                self.assertEqual(places, site.memories_at_stop)

    def test_a_run_that_its_source_does_not_stop_but_ends_continues_from_the_copy(self) -> None:
        for answer in (NOT_STOPPED, UNKNOWN):
            with self.subTest(answer=answer):
                site = self.play([COPIED, answer], end_stream)
                self.assertEqual(["target", "source"], site.memories_at_stop)

    def test_a_source_that_ended_silently_is_given_up_after_two_checks(self) -> None:
        site = self.play([COPIED, None], reachable=False)
        self.assertEqual((True, ["target", "source"]), (site.closed, site.memories_at_stop))

    def test_a_silent_source_that_accepts_connections_is_never_closed(self) -> None:
        stops: list[list[Answer]] = [[None], [BUSY, None], [None, BUSY]]
        for answers in stops:
            with self.subTest(answers=answers):
                site = self.play([COPIED, *answers])
                self.assertFalse(site.closed)

    def test_a_silent_source_that_accepts_every_second_connection_is_never_closed(self) -> None:
        site = HandoverSite([COPIED, None])
        site.alternates = True
        run_virtually(site.run())
        self.assertFalse(site.closed)

    def test_a_copy_without_answers_is_given_up_without_a_stop(self) -> None:
        site = self.play([None], HandoverSite.generate_events)
        self.assertEqual((Phase.GIVEN_UP, [False, False]), (site.handover.phase, site.memory.calls))

    def test_a_handover_abandoned_at_any_time_frees_its_memory(self) -> None:
        for half_calls in range(12):
            with self.subTest(half_calls=half_calls):

                async def leave(site: HandoverSite, half_calls: int = half_calls) -> None:
                    await asyncio.sleep(half_calls * CALL_SECONDS / 2 + CALL_SECONDS / 4)
                    if site.handover.abandon():
                        await site.handover.free()

                site = self.play([COPIED, None, BUSY, COPIED], leave)
                self.assertEqual({"h"}, set(site.memory.freed))
                self.assertFalse(site.closed)
