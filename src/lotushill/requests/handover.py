"""Handover of one run, with its memory, to another upstream while its stream continues.

The memory is copied while the run goes on, so that a target without room costs nothing. Then the
run is stopped, the rest of its memory is copied, and the request is sent to the target by the code
that relays the stream.

This gateway closes the stream of a run only if the run is known to be stopped, or if its source can
be reached neither by the stream nor by a new connection.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from lotushill.links.exceptions import NoAnswerError
from lotushill.moves.memory_copy import Copied
from lotushill.moves.memory_copy import NoCopyReason
from lotushill.moves.memory_copy import NotCopied
from lotushill.moves.source_silence import SourceSilence

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lotushill.availability.retry_budget import ReservedRetries
    from lotushill.requests.engine_memory_client import EngineMemoryClient
    from lotushill.routing.upstream import Upstream

NO_ANSWER = "no answer"
_MAX_CALLS = 4
"""Maximum number of calls for the copy, and of busy answers to the call that stops the run."""
_BUSY_RETRY_INTERVAL_SECONDS = 0.03
"""Interval between calls while another call for the run is in progress."""
_CALL_TIMEOUT_MARGIN_SECONDS = 0.4
"""Part of the timeout of a call beyond twice the copy time, as a copy may wait for another one."""
_STOP_CALL_SECONDS = 5.0
"""Longest wait for the answer to one call that stops a run; longer than copies queue for a link."""
_CLOSE_TIMEOUT_SECONDS = 0.1
"""Time within which a source closes the stream of a run that it has stopped. A stream that is open
after that is closed if the run is known to be stopped; otherwise it was not."""
_SILENCE_TIMEOUT_SECONDS = 0.5
"""Time without events after which the stream of a run that its source does not know is closed."""
_SETTLE_SECONDS = 0.1
"""Longest wait, after the end of a stopped stream, for the answer of the call that stopped it. The
rest of the memory may wait behind other copies; without it the target reads what it lacks."""
_COPY_TIMEOUT_SECONDS = 0.2
"""Longest wait for the copy after an interruption: the source and its calls have ended as well."""


class Phase(Enum):
    """Progress of a handover."""

    COPYING = "copying"
    """The run continues at its source while its memory is copied."""
    STOPPING = "stopping"
    """The source was asked to stop the run and may have done so."""
    STOPPED = "stopped"
    """The run can be continued at any upstream that holds memory under its handle."""
    GIVEN_UP = "given up"
    """The handover failed before the run was stopped; the run continues at its source."""


@dataclass(frozen=True)
class RunMemory:
    """Memory from which a run can be continued."""

    upstream: Upstream
    """Upstream that holds the memory."""
    source: Upstream
    """Upstream that issued the handle."""
    handle: str


class Handover:
    """Steps of one move; may outlive its request, in order to free the memory held for it."""

    def __init__(
        self,
        memory: EngineMemoryClient,
        run: str,
        source: Upstream,
        target: Upstream,
        copy_seconds: float,
        reserve_retries: Callable[[], ReservedRetries | str],
        close_stream: Callable[[], None],
        event_count: Callable[[], int],
        is_reachable: Callable[[Upstream], Awaitable[bool]],
    ) -> None:
        """Move the run with the id `run`, whose copy is expected to take `copy_seconds`.

        `reserve_retries` is called once, right before the run is stopped; it returns the retries
        for continuing the run, or the reason why it must not be stopped. `close_stream` closes the
        connection to the source; `event_count` returns the number of events received from it;
        `is_reachable` returns whether an upstream accepts a new connection.
        """
        self._memory = memory
        self._run = run
        self._source = source
        self._target = target
        self._call_timeout_seconds = 2 * copy_seconds + _CALL_TIMEOUT_MARGIN_SECONDS
        self._reserve_retries = reserve_retries
        self._close_stream = close_stream
        self._event_count = event_count
        self._is_reachable = is_reachable
        self._handle = ""
        self._is_at_target = False
        self._is_finished = False
        """Whether the memory is no longer needed: the run continued, ended or lost its client."""
        self._is_continuing = False
        """Whether the run was sent on from its memory, so that no further call may stop it."""
        self._stream_end = asyncio.Event()
        self._calls_done = asyncio.Event()
        self._stop_answered = asyncio.Event()
        """Set once it is known whether the call to stop the run was understood, or was not made."""
        self._silence = SourceSilence()
        self.retries: ReservedRetries | None = None
        """Retries for continuing the run, None unless the source was asked to stop it."""
        self.stop_answer = ""
        """Answer to the call that was to stop the run; empty if it was not made or not answered."""
        self.stop_named_handle = False
        """Whether that answer named a handle, without which its engine kept no memory."""
        self.events_at_stop = 0
        """Number of events received when the source was asked to stop the run."""
        self.closed_by_gateway = False
        """Whether this gateway closed the stream, rather than the source."""
        self.phase = Phase.COPYING
        self.reason = ""
        """Why the handover was given up, or what failed; empty if neither."""

    @property
    def target(self) -> Upstream:
        """Return the upstream to which the run is moved."""
        return self._target

    @property
    def stream_ended(self) -> bool:
        """Return whether the stream of the source has ended before its answer was complete."""
        return self._stream_end.is_set()

    @property
    def run_stopped(self) -> bool:
        """Return whether this handover has, or may have, stopped the run."""
        return self.phase in (Phase.STOPPING, Phase.STOPPED)

    @property
    def calls_done(self) -> bool:
        """Return whether no call is in progress, so that the place of the memory is settled."""
        return self._calls_done.is_set()

    async def run(self) -> None:
        """Make the calls, and free the memory if the run is not continued from it."""
        try:
            if await self._copy():
                await self._stop()
        except NoAnswerError as error:
            self._give_up(f"{NO_ANSWER}: {error}")
        finally:
            self._calls_done.set()
            self._stop_answered.set()
        if self._is_finished or self.phase is Phase.GIVEN_UP:
            await self.free()

    async def _copy(self) -> bool:
        """Copy the memory of the running run; return whether the run can be stopped now."""
        for attempt in range(_MAX_CALLS):
            try:
                answer = await self._call(last=False, timeout_seconds=self._call_timeout_seconds)
            except NoAnswerError:
                # On a repeated call the source returns the handle of what it may have copied.
                if attempt:
                    raise
                continue
            if isinstance(answer, Copied):
                self._handle = answer.handle
                self._is_at_target = True
                return True
            if answer.reason is not NoCopyReason.BUSY:
                self._give_up(answer.reason.value)
                return False
            await asyncio.sleep(_BUSY_RETRY_INTERVAL_SECONDS)
        self._give_up(NoCopyReason.BUSY.value)
        return False

    async def _stop(self) -> None:
        """Stop the run, if retries to continue it can be reserved."""
        if self._is_finished or self.stream_ended:
            return
        retries = self._reserve_retries()
        if isinstance(retries, str):
            self._give_up(retries)
            return
        self.retries = retries
        self.phase = Phase.STOPPING
        self.events_at_stop = self._event_count()
        if await self._ask_to_stop():
            self.phase = Phase.STOPPED
            self._close_stopped_stream()
        elif not (self._silence.unanswered or self._is_finished or self._is_continuing):
            self._give_up(self.reason)

    async def _ask_to_stop(self) -> bool:
        """Ask the source to stop the run until it is known whether it has; return whether it has.

        A call without an answer may take effect at any time, so it is repeated until the source
        states what became of the run. Even a refusal does not rule out that an earlier call stops
        the run later, so the copy is kept in that case until the run has ended.
        """
        busy = 0
        while not self._is_finished and not self._is_continuing:
            try:
                answer = await self._call_to_stop()
            except NoAnswerError as error:
                self.reason = f"{NO_ANSWER}: {error}"
                await self._check_source()
                answer = None
            if answer is None:
                self._silence.unanswered = True
                if self._silence.is_lost(_now()):
                    self._close_if_open()
                    return True
                await asyncio.sleep(self._silence.next_pause())
                continue
            self.stop_answer = "copied" if isinstance(answer, Copied) else answer.reason.value
            self.stop_named_handle = bool(answer.handle)
            if isinstance(answer, Copied) or answer.reason is not NoCopyReason.BUSY:
                self._stop_answered.set()
                return await self._note_stop_answer(answer)
            busy += 1
            if busy >= _MAX_CALLS and not self._silence.unanswered and not self.stream_ended:
                self.reason = answer.reason.value
                return False
            await asyncio.sleep(_BUSY_RETRY_INTERVAL_SECONDS)
        return False

    async def _call_to_stop(self) -> Copied | NotCopied | None:
        """Make one call to stop the run; return None if it is not needed or the source is lost.

        A late answer is awaited rather than the call repeated, since each call that was sent may
        stop the run at any time, even after it has returned to its source.
        """
        call = asyncio.create_task(self._call(last=True, timeout_seconds=_STOP_CALL_SECONDS))
        try:
            while not (await asyncio.wait((call,), timeout=self._call_timeout_seconds))[0]:
                await self._check_source()
                if self._is_finished or self._silence.is_lost(_now()):
                    return None
            return call.result()
        finally:
            call.cancel()

    async def _check_source(self) -> None:
        """Look for signs of life of a source that has not answered a call yet."""
        is_reachable = await self._is_reachable(self._source)
        self._silence.note_check(self._event_count(), is_reachable, _now())

    async def _note_stop_answer(self, answer: Copied | NotCopied) -> bool:
        """Return whether an answer means that the run has stopped."""
        if isinstance(answer, Copied):
            self._handle = answer.handle
            self._is_at_target = True
            self.reason = ""
            return True
        self.reason = answer.reason.value
        if answer.handle:
            # The run has stopped and continues at its source from the memory kept there.
            self._handle = answer.handle
            self._is_at_target = False
            return True
        if answer.reason is NoCopyReason.UNKNOWN_RUN and self._silence.unanswered:
            # An earlier call has stopped the run, or it has ended by itself.
            return await self._becomes_silent()
        # A source that has stopped the run closes its stream, even if it names no memory.
        return await self._has_ended(_CLOSE_TIMEOUT_SECONDS)

    async def _has_ended(self, seconds: float) -> bool:
        """Return whether the stream ends before its answer is complete within some seconds."""
        try:
            async with asyncio.timeout(seconds):
                await self._stream_end.wait()
        except TimeoutError:
            return False
        return True

    async def _becomes_silent(self) -> bool:
        """Return whether the stream ends, or brings no event in one of two periods.

        Events that the source sent before may still arrive in the first one.
        """
        for _ in range(2):
            events = self._event_count()
            if await self._has_ended(_SILENCE_TIMEOUT_SECONDS) or self._event_count() == events:
                return True
        return False

    def _close_stopped_stream(self) -> None:
        """Close the stream of a stopped run if its end does not arrive soon."""
        loop = asyncio.get_running_loop()
        loop.call_later(_CLOSE_TIMEOUT_SECONDS, self._close_if_open)

    def _close_if_open(self) -> None:
        if not self._is_finished and not self.stream_ended:
            self.closed_by_gateway = True
            self._close_stream()

    async def _call(self, last: bool, timeout_seconds: float) -> Copied | NotCopied:
        return await self._memory.copy(
            self._source.address, self._run, self._target.address, last, timeout_seconds
        )

    def _give_up(self, reason: str) -> None:
        self.phase = Phase.GIVEN_UP
        self.reason = reason
        self._release_retries()

    def _release_retries(self) -> None:
        if self.retries is not None:
            self.retries.release()

    def note_stream_ended(self) -> None:
        """Record that the stream from the source ended before its answer was complete."""
        self._stream_end.set()

    async def has_stopped_run(self) -> bool:
        """Return whether a stream that ended between events may be that of a stopped run.

        The run had ended by itself if the source did not know it any more when it was first asked
        to stop it. The answer to that call may arrive shortly after the end of the stream.
        """
        if not self.run_stopped:
            return False
        try:
            async with asyncio.timeout(_SETTLE_SECONDS):
                await self._stop_answered.wait()
        except TimeoutError:
            return True
        is_unknown = self.stop_answer == NoCopyReason.UNKNOWN_RUN.value
        return self.run_stopped and (self._silence.unanswered or not is_unknown)

    def events_after_stop(self) -> int:
        """Return the number of events that arrived after the source was asked to stop the run."""
        return self._event_count() - self.events_at_stop if self.run_stopped else 0

    async def wait_for_memory(self) -> None:
        """Wait, for a limited time, until it is settled where the memory of the run is."""
        try:
            async with asyncio.timeout(
                _SETTLE_SECONDS if self.run_stopped else _COPY_TIMEOUT_SECONDS
            ):
                await self._calls_done.wait()
        except TimeoutError:
            self.reason = self.reason or "not settled"

    def memories(self) -> tuple[RunMemory, ...]:
        """Return the memory to continue from, best first, as far as known now."""
        if not self._handle or self.phase is Phase.GIVEN_UP:
            return ()
        at_source = RunMemory(self._source, self._source, self._handle)
        at_target = RunMemory(self._target, self._source, self._handle)
        if not self._is_at_target:
            return (at_source,)
        return (at_target, at_source) if self.run_stopped else (at_target,)

    def note_continuing(self) -> None:
        """Record that the run is sent to an upstream that holds its memory."""
        self._is_continuing = True

    def note_used(self) -> None:
        """Record that the run was continued, so that no memory is held for it any more."""
        self._is_finished = True
        self._handle = ""
        self._release_retries()

    async def free(self) -> None:
        """Free the memory that is held for the run."""
        handle, self._handle = self._handle, ""
        if handle:
            await self._memory.free(self._source.address, handle)

    def abandon(self) -> bool:
        """Record that the run ended or its client left; return whether to free memory now."""
        self._is_finished = True
        self._release_retries()
        return self._calls_done.is_set() and bool(self._handle)


def _now() -> float:
    return asyncio.get_running_loop().time()
