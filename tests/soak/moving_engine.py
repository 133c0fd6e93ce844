"""Engines of the soak test that move the memory of long streams between each other."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.platform.memory_calls import FREE_PATH
from lotushill.platform.memory_calls import MOVE_PATH
from tests.soak.call_faults import CallFault
from tests.soak.call_faults import FaultWindow
from tests.soak.call_faults import HandleFault
from tests.soak.engine import Engine
from tests.soak.engine import events
from tests.soak.run_memory import LONG_EVENT_COUNT
from tests.soak.run_memory import LONG_PATH
from tests.soak.run_memory import MemoryEnd
from tests.soak.run_memory import RunEnd

if TYPE_CHECKING:
    import random

    from lotushill.standin.metadata_store import MetadataStore
    from tests.requests.rig import ReceivedRequest
    from tests.requests.rig import ScriptedUpstream
    from tests.soak.ledger import Ledger
    from tests.soak.run_memory import RunMemories
    from tests.soak.run_memory import RunSpan

_EVENT_INTERVAL_SECONDS = 0.05
_CHECK_INTERVAL_SECONDS = 0.02
"""Interval in which an engine notices that a run was stopped or its connection closed."""
_COPY_SECONDS = 0.03
_SILENT_SECONDS = 3.0
"""Time for which a call is not answered; longer than any timeout of a call."""
_LATE_SECONDS = 0.2
_TOO_LATE_SECONDS = 1.0
_HIDDEN_END_SECONDS = 2.0
_SLOW_FACTORS = (3.0, 6.0)
"""Least and largest multiple of the usual pause at a slow engine."""


@dataclass
class _ActiveRun:
    """A run on which this engine works."""

    seen: ReceivedRequest
    span: RunSpan
    made: int
    handle: str = ""
    is_stopped: bool = False
    hides_end: bool = False
    is_copying: bool = False


class MovingEngine(Engine):
    """Engine that generates long streams, and moves their memory to others when it is asked to."""

    _by_address: dict[str, MovingEngine]

    def __init__(
        self,
        name: str,
        store: MetadataStore,
        ledger: Ledger,
        rng: random.Random,
        by_address: dict[str, MovingEngine],
        late_stops: bool = True,
    ) -> None:
        """Create an engine; `by_address` contains all running engines by their address.

        `late_stops` states whether calls may arrive at a run long after their timeout, and after
        later calls.
        """
        super().__init__(name, store, ledger, rng)
        self._memories: RunMemories = ledger.memories
        self._by_address = by_address
        self._active: dict[str, _ActiveRun] = {}
        self._slow_until = 0.0
        self._slow_factor = 1.0
        self._stalled_until = 0.0
        self.faults = FaultWindow(rng, late_stops)

    async def start(self) -> None:
        """Start a new incarnation, which holds no memory."""
        await super().start()
        assert self._server is not None
        self._by_address[self._server.address] = self

    async def terminate(self) -> None:
        """Terminate with all runs and all memory."""
        if self._server is not None:
            self._by_address.pop(self._server.address, None)
            self._memories.end_engine(self.incarnation)
        await super().terminate()

    async def leave(self, seconds: float, states_time: bool) -> None:
        """Mark the entry as draining, with the time left if `states_time`, and end then."""
        if self._server is None:
            return
        changes = {"leaves_ms": int(seconds * 1000)} if states_time else {}
        self.write_entry(state="draining", **changes)
        self._start_task(self._terminate_after(seconds, self.incarnation))

    async def _terminate_after(self, seconds: float, incarnation: str) -> None:
        await asyncio.sleep(seconds)
        if self.incarnation == incarnation:
            await self.terminate()

    def slow_down(self, seconds: float) -> None:
        """Generate events several times slower for some seconds."""
        self._slow_until = time.monotonic() + seconds
        self._slow_factor = self._rng.uniform(*_SLOW_FACTORS)

    def stall(self, seconds: float) -> None:
        """Generate no events for some seconds."""
        self._stalled_until = time.monotonic() + seconds

    async def _handle(self, seen: ReceivedRequest) -> None:
        path = seen.line.split()[1]
        if path == MOVE_PATH:
            await self._answer_move(seen)
        elif path.startswith(FREE_PATH):
            self._memories.free(path.removeprefix(FREE_PATH))
            seen.answer("200 OK\r\nContent-Length: 0\r\n")
        else:
            await super()._handle(seen)

    async def _execute(self, seen: ReceivedRequest, server: ScriptedUpstream) -> None:
        if not seen.line.split()[1].startswith(LONG_PATH):
            await super()._execute(seen, server)
            return
        handle = seen.headers.get("kv-from", "").rpartition("/")[2]
        if handle and not self._memories.is_held(handle, self.incarnation):
            seen.answer("503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n")
        elif not handle or not self._disturb(seen, handle):
            await self._run(seen, handle)

    def _disturb(self, seen: ReceivedRequest, handle: str) -> bool:
        """Answer a request with a usable handle with a fault; return whether that was done."""
        fault = self.faults.draw_handle_fault(handle)
        if fault is None:
            return False
        self._memories.call_faults.append(fault.name)
        if fault is HandleFault.RESET:
            seen.reset()
            raise ConnectionResetError
        if fault is HandleFault.REJECTED:
            seen.answer("503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n")
        else:
            seen.answer("500 Failed\r\nContent-Length: 0\r\n")
        return True

    async def _run(self, seen: ReceivedRequest, handle: str) -> None:
        span = self._memories.start_run(seen.id, self.incarnation, handle)
        run = _ActiveRun(seen, span, int(seen.headers.get("last-event-id") or 0))
        self._active[seen.id] = run
        end = RunEnd.ENGINE_ENDED
        try:
            with self._reset_if_cancelled(seen):
                await self._stream_run(run)
            end = RunEnd.WHOLE
        except ConnectionError:
            end = RunEnd.CLOSED
            raise
        finally:
            if span.end is RunEnd.RUNNING:
                span.until, span.end = time.monotonic(), end
            if self._active.get(seen.id) is run:
                del self._active[seen.id]

    async def _stream_run(self, run: _ActiveRun) -> None:
        seen = run.seen
        self._start_events(seen)
        for event in events(seen.id, LONG_EVENT_COUNT)[run.made :]:
            await self._pause(run)
            if run.is_stopped:
                await self._send_end_of_stopped(seen, event)
                if run.hides_end:
                    await asyncio.sleep(_HIDDEN_END_SECONDS)
                raise ConnectionResetError
            seen.chunk(event)
            run.made += 1
            await seen.writer.drain()
        seen.end_events()

    async def _send_end_of_stopped(self, seen: ReceivedRequest, event: bytes) -> None:
        """Send an incomplete event; an unframed stream of a stopped run may also lack that."""
        is_cut_between_events = not self.frames_events and self._rng.random() < 0.5
        if not is_cut_between_events:
            seen.chunk(event[:5])
            await seen.writer.drain()

    async def _pause(self, run: _ActiveRun) -> None:
        """Wait until the next event is due or the run was stopped."""
        now = time.monotonic()
        factor = self._slow_factor if now < self._slow_until else 1.0
        due_at = now + _EVENT_INTERVAL_SECONDS * factor * self._rng.uniform(0.7, 1.3)
        while now < max(due_at, self._stalled_until) and not run.is_stopped:
            if run.seen.reader.at_eof() or run.seen.reader.exception() is not None:
                raise ConnectionResetError
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            now = time.monotonic()

    async def _answer_move(self, seen: ReceivedRequest) -> None:
        call = json.loads(seen.body)
        run = self._active.get(call["id"])
        if run is not None and run.is_copying:
            return self._answer(seen, 409, "")
        fault = self.faults.draw_call_fault()
        if fault is not None:
            self._memories.call_faults.append(fault.name)
        match fault:
            case CallFault.REFUSED:
                return self._answer(seen, 503, "")
            case CallFault.BUSY:
                return self._answer(seen, 409, "")
            case CallFault.IGNORED:
                await asyncio.sleep(_SILENT_SECONDS)
                raise ConnectionResetError
            case CallFault.LATE:
                await asyncio.sleep(_LATE_SECONDS)
            case CallFault.TOO_LATE:
                await asyncio.sleep(_TOO_LATE_SECONDS)
        status, handle = await self._move(call, fault)
        if fault is CallFault.UNANSWERED:
            await asyncio.sleep(_SILENT_SECONDS)
        if fault in (CallFault.UNANSWERED, CallFault.LOST):
            seen.reset()
            raise ConnectionResetError
        self._answer(seen, status, handle)
        return None

    async def _move(self, call: dict[str, str], fault: CallFault | None) -> tuple[int, str]:
        """Copy the memory of a run, after stopping it if the call is the last; return the answer.

        A run that was stopped is not known any more; its memory stays here under the handle.
        """
        run = self._active.get(call["id"])
        if run is None or run.is_stopped:
            return 404, ""
        if run.is_copying:
            return 409, ""
        if fault is CallFault.KEPT and not call["last"]:
            return 503, ""
        if fault is CallFault.SLOW:
            run.is_copying = True
            await asyncio.sleep(_TOO_LATE_SECONDS)
            run.is_copying = False
            if self._active.get(run.seen.id) is not run:
                return 404, ""
        run.handle = run.handle or self._memories.new_handle(run.seen.id)
        if call["last"]:
            self._stop(run, fault is CallFault.END_HIDDEN)
        freed_before = self._memories.freed_counts[run.handle]
        run.is_copying = True
        await asyncio.sleep(_COPY_SECONDS)
        run.is_copying = False
        if self._memories.freed_counts[run.handle] > freed_before:
            return 503, ""
        target = self._by_address.get(call["targetVersion"])
        if target is not None and fault is not CallFault.KEPT:
            self._hold(run, target)
            return 200, run.handle
        if target is not None:
            self._memories.release(run.handle, MemoryEnd.REPLACED, target.incarnation)
        return 503, run.handle if call["last"] else ""

    def _stop(self, run: _ActiveRun, hides_end: bool) -> None:
        run.is_stopped, run.hides_end = True, hides_end
        run.span.until, run.span.end = time.monotonic(), RunEnd.STOPPED
        self._hold(run, self)

    def _hold(self, run: _ActiveRun, holder: MovingEngine) -> None:
        self._memories.hold(run.handle, run.seen.id, self.incarnation, holder.incarnation)

    def _answer(self, seen: ReceivedRequest, status: int, handle: str) -> None:
        if handle and not seen.reader.at_eof():
            self._memories.note_named(handle)
        body = json.dumps({"handle": handle, "made": 0} if handle else {}).encode()
        seen.answer(f"{status} Said\r\nContent-Length: {len(body)}\r\n", body)
