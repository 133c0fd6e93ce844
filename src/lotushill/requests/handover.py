"""One run handed over to another upstream with its memory, while its stream goes on.

The memory is copied while the run goes on, so that a target without room costs nothing; then the
run is stopped, what is new is copied, and whoever holds the stream sends the request to the target.
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
_MOST_CALLS = 4
_BUSY_SECONDS = 0.03
"""Until a call is made again while another one for the run is under way."""
_ANSWER_SECONDS = 0.4
"""Beyond twice what the copy takes, behind another one, before a call is taken for unanswered."""
_CLOSING_SECONDS = 0.1
"""A stream that was stopped is closed by its upstream within so long, or else from here."""
_UNSURE_SECONDS = 0.5
"""One that may have been stopped, where nothing comes for so long."""
_STOP_SECONDS = 1.0
"""A stream that was stopped waits so long for the answer of the call that stopped it."""
_COPY_SECONDS = 0.2
"""One that was cut waits so long for the copy: its source has ended, and calls to it as well."""


class Phase(Enum):
    """How far a handover is."""

    COPYING = "copying"
    """The run goes on at its source."""
    STOPPING = "stopping"
    """The source was asked to stop the run, and may have."""
    STOPPED = "stopped"
    """The run goes on wherever its handle is shown."""
    GIVEN_UP = "given up"
    """The run goes on at its source."""


@dataclass(frozen=True)
class RunMemory:
    """What a run goes on from."""

    upstream: Upstream
    """Where it is held."""
    source: Upstream
    """Which one gave the handle."""
    handle: str


class Handover:
    """Steps of one move; outlives the request that it is for, to free what it holds."""

    def __init__(
        self,
        memory: EngineMemoryClient,
        run: str,
        source: Upstream,
        target: Upstream,
        copying: float,
        may_stop: Callable[[], bool],
        close_stream: Callable[[], None],
        events: Callable[[], int],
    ) -> None:
        """Move the run with the id `run`; its copy takes `copying` seconds.

        `may_stop` is asked once, right before the run is stopped; `close_stream` ends the
        connection to the source, from which `events` have come.
        """
        self._memory = memory
        self._run = run
        self._source = source
        self._target = target
        self._patience = 2 * copying + _ANSWER_SECONDS
        self._may_stop = may_stop
        self._close_stream = close_stream
        self._events = events
        self._handle = ""
        self._at_target = False
        self._left = False
        """Whether nobody is left for whom the run could go on."""
        self.stream_ended = False
        """Whether the stream from the source has ended."""
        self._settled = asyncio.Event()
        self.retry_spent = False
        """Whether a repeat was spent for the run to go on."""
        self.phase = Phase.COPYING
        self.reason = ""
        """Why it was given up, or what went wrong."""

    @property
    def target(self) -> Upstream:
        """Return where the run is to go."""
        return self._target

    @property
    def run_stopped(self) -> bool:
        """Return whether the run was stopped by this, as far as is known."""
        return self.phase in (Phase.STOPPING, Phase.STOPPED)

    async def run(self) -> None:
        """Make the calls, and free what nobody goes on from."""
        try:
            if await self._copy(last=False):
                await self._stop()
        except NoAnswerError as error:
            self.reason = f"{NO_ANSWER}: {error}"
            if self.phase is Phase.COPYING:
                self.phase = Phase.GIVEN_UP
        finally:
            self._settled.set()
        if self._left or self.phase is Phase.GIVEN_UP:
            await self.free()
        elif self.run_stopped:
            wait = _CLOSING_SECONDS if self.phase is Phase.STOPPED else _UNSURE_SECONDS
            loop = asyncio.get_running_loop()
            loop.call_later(wait, self._close_open_stream, self._events())

    def _close_open_stream(self, events: int) -> None:
        """End a stream that was stopped, as far as is known, and whose end has not come."""
        silent = self.phase is Phase.STOPPED or self._events() == events
        if silent and not self._left and not self.stream_ended:
            self._close_stream()

    async def _stop(self) -> None:
        if self._left or self.stream_ended:
            return
        if not self._may_stop():
            self._give_up("no repeat left")
            return
        self.retry_spent = True
        self.phase = Phase.STOPPING
        if await self._copy(last=True):
            self.phase = Phase.STOPPED

    async def _copy(self, last: bool) -> bool:
        """Return whether the next step can be taken."""
        for number in range(_MOST_CALLS):
            try:
                answer = await self._call(last)
            except NoAnswerError:
                # Asked again, the source tells the handle of what it may have copied.
                if last or number:
                    raise
                continue
            if isinstance(answer, Copied):
                self._handle = answer.handle
                self._at_target = True
                return True
            if answer.reason is not NoCopyReason.BUSY:
                return self._note_refusal(answer, last)
            await asyncio.sleep(_BUSY_SECONDS)
        self._give_up(NoCopyReason.BUSY.value)
        return False

    async def _call(self, last: bool) -> Copied | NotCopied:
        return await self._memory.copy(
            self._source.address, self._run, self._target.address, last, self._patience
        )

    def _note_refusal(self, answer: NotCopied, last: bool) -> bool:
        if last and answer.reason is NoCopyReason.NO_ROOM:
            # It has stopped, and goes on at its source from what is kept there.
            self._handle = answer.handle or self._handle
            self._at_target = False
            self.reason = answer.reason.value
            return True
        self._give_up(answer.reason.value)
        return False

    def _give_up(self, why: str) -> None:
        self.phase = Phase.GIVEN_UP
        self.reason = why

    # For whoever holds the stream

    def note_stream_ended(self) -> None:
        """Note that the stream from the source has ended before its answer was whole."""
        self.stream_ended = True

    async def wait_for_memory(self) -> tuple[RunMemory, ...]:
        """Return from what the run can go on, the best first, once its stream has ended."""
        try:
            async with asyncio.timeout(_STOP_SECONDS if self.run_stopped else _COPY_SECONDS):
                await self._settled.wait()
        except TimeoutError:
            self.reason = self.reason or "not settled"
        if not self._handle or self.phase is Phase.GIVEN_UP:
            return ()
        at_source = RunMemory(self._source, self._source, self._handle)
        at_target = RunMemory(self._target, self._source, self._handle)
        if not self._at_target:
            return (at_source,)
        return (at_target, at_source) if self.run_stopped else (at_target,)

    def note_used(self) -> None:
        """Note that the run has gone on, so that nothing is held for it any longer."""
        self._left = True
        self._handle = ""

    async def free(self) -> None:
        """Free the memory that is held for the run."""
        handle, self._handle = self._handle, ""
        if handle:
            await self._memory.free(self._source.address, handle)

    def abandon(self) -> bool:
        """Note that the run has ended or its client has left; return whether to free at once."""
        self._left = True
        return self._settled.is_set() and bool(self._handle)
