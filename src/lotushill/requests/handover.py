"""Handover of one run, with its memory, to another upstream while its stream continues.

The memory is copied while the run goes on, so that a target without room costs nothing. Then the
run is stopped, the rest of its memory is copied, and the request is sent to the target by the code
that relays the stream.
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

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.requests.engine_memory_client import EngineMemoryClient
    from lotushill.routing.upstream import Upstream

NO_ANSWER = "no answer"
_MAX_CALLS = 4
"""Maximum number of calls for one step of a handover."""
_BUSY_RETRY_INTERVAL_SECONDS = 0.03
"""Interval between calls while another call for the run is in progress."""
_CALL_TIMEOUT_MARGIN_SECONDS = 0.4
"""Part of the timeout of a call beyond twice the copy time, as a copy may wait for another one."""
_CLOSE_TIMEOUT_SECONDS = 0.1
"""Time for the source to close the stream of a stopped run before this gateway closes it."""
_SILENCE_TIMEOUT_SECONDS = 0.5
"""Time without events after which the stream of a run that may have been stopped is closed."""
_STOP_TIMEOUT_SECONDS = 1.0
"""Longest wait, after the end of a stopped stream, for the answer of the call that stopped it."""
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
        may_stop: Callable[[], bool],
        close_stream: Callable[[], None],
        event_count: Callable[[], int],
    ) -> None:
        """Move the run with the id `run`, whose copy is expected to take `copy_seconds`.

        `may_stop` is called once, right before the run is stopped; `close_stream` closes the
        connection to the source; `event_count` returns the number of events received from it.
        """
        self._memory = memory
        self._run = run
        self._source = source
        self._target = target
        self._call_timeout_seconds = 2 * copy_seconds + _CALL_TIMEOUT_MARGIN_SECONDS
        self._may_stop = may_stop
        self._close_stream = close_stream
        self._event_count = event_count
        self._handle = ""
        self._is_at_target = False
        self._is_finished = False
        """Whether the memory is no longer needed: the run continued, ended or lost its client."""
        self.stream_ended = False
        """Whether the stream from the source has ended before its answer was complete."""
        self._calls_done = asyncio.Event()
        self.retry_spent = False
        """Whether a retry was spent for continuing the run."""
        self.stop_answer = ""
        """Answer to the call that was to stop the run; empty if it was not made or not answered."""
        self.stop_named_handle = False
        """Whether that answer named a handle, without which its engine kept no memory."""
        self.events_at_stop = 0
        """Number of events received when that call was answered or given up."""
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
    def run_stopped(self) -> bool:
        """Return whether this handover has, or may have, stopped the run."""
        return self.phase in (Phase.STOPPING, Phase.STOPPED)

    async def run(self) -> None:
        """Make the calls, and free the memory if the run is not continued from it."""
        try:
            if await self._copy(last=False):
                await self._stop()
        except NoAnswerError as error:
            self.reason = f"{NO_ANSWER}: {error}"
            if self.phase is Phase.COPYING:
                self.phase = Phase.GIVEN_UP
        finally:
            self._calls_done.set()
        if self._is_finished or self.phase is Phase.GIVEN_UP:
            await self.free()
        elif self.run_stopped:
            delay = (
                _CLOSE_TIMEOUT_SECONDS if self.phase is Phase.STOPPED else _SILENCE_TIMEOUT_SECONDS
            )
            self.events_at_stop = self._event_count()
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._close_open_stream, self.events_at_stop)

    def _close_open_stream(self, event_count: int) -> None:
        """Close the stream of a run that seems to be stopped, if its end has not arrived."""
        is_silent = self.phase is Phase.STOPPED or self._event_count() == event_count
        if is_silent and not self._is_finished and not self.stream_ended:
            self.closed_by_gateway = True
            self._close_stream()

    async def _stop(self) -> None:
        if self._is_finished or self.stream_ended:
            return
        if not self._may_stop():
            self._give_up("no repeat left")
            return
        self.retry_spent = True
        self.phase = Phase.STOPPING
        if await self._copy(last=True):
            self.phase = Phase.STOPPED

    async def _copy(self, last: bool) -> bool:
        """Copy the memory; return whether the next step can be taken."""
        for attempt in range(_MAX_CALLS):
            try:
                answer = await self._call(last)
            except NoAnswerError:
                # On a repeated call the source returns the handle of what it may have copied.
                if last or attempt:
                    raise
                continue
            if last:
                self._note_stop_answer(answer)
            if isinstance(answer, Copied):
                self._handle = answer.handle
                self._is_at_target = True
                return True
            if answer.reason is not NoCopyReason.BUSY:
                return self._note_refusal(answer, last)
            await asyncio.sleep(_BUSY_RETRY_INTERVAL_SECONDS)
        self._give_up(NoCopyReason.BUSY.value)
        return False

    async def _call(self, last: bool) -> Copied | NotCopied:
        return await self._memory.copy(
            self._source.address, self._run, self._target.address, last, self._call_timeout_seconds
        )

    def _note_stop_answer(self, answer: Copied | NotCopied) -> None:
        self.stop_answer = "copied" if isinstance(answer, Copied) else answer.reason.value
        self.stop_named_handle = bool(answer.handle)

    def _note_refusal(self, answer: NotCopied, last: bool) -> bool:
        if last and answer.reason is NoCopyReason.NO_ROOM:
            # The run has stopped and continues at its source from the memory kept there.
            self._handle = answer.handle or self._handle
            self._is_at_target = False
            self.reason = answer.reason.value
            return True
        self._give_up(answer.reason.value)
        return False

    def _give_up(self, reason: str) -> None:
        self.phase = Phase.GIVEN_UP
        self.reason = reason

    def note_stream_ended(self) -> None:
        """Record that the stream from the source ended before its answer was complete."""
        self.stream_ended = True

    def events_after_stop(self) -> int:
        """Return the number of events that arrived after the call that was to stop the run."""
        return self._event_count() - self.events_at_stop

    async def wait_for_memory(self) -> tuple[RunMemory, ...]:
        """Return the memory to continue from, best first, once the stream has ended.

        Wait for the calls in progress for a limited time.
        """
        try:
            async with asyncio.timeout(
                _STOP_TIMEOUT_SECONDS if self.run_stopped else _COPY_TIMEOUT_SECONDS
            ):
                await self._calls_done.wait()
        except TimeoutError:
            self.reason = self.reason or "not settled"
        if not self._handle or self.phase is Phase.GIVEN_UP:
            return ()
        at_source = RunMemory(self._source, self._source, self._handle)
        at_target = RunMemory(self._target, self._source, self._handle)
        if not self._is_at_target:
            return (at_source,)
        return (at_target, at_source) if self.run_stopped else (at_target,)

    def note_used(self) -> None:
        """Record that the run was continued, so that no memory is held for it any more."""
        self._is_finished = True
        self._handle = ""

    async def free(self) -> None:
        """Free the memory that is held for the run."""
        handle, self._handle = self._handle, ""
        if handle:
            await self._memory.free(self._source.address, handle)

    def abandon(self) -> bool:
        """Record that the run ended or its client left; return whether to free memory now."""
        self._is_finished = True
        return self._calls_done.is_set() and bool(self._handle)
