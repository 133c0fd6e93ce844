"""Simulated upstreams that move the memory of runs, for tests of the request path."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from dataclasses import field

from tests.requests.rig import ReceivedRequest
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import event

EVENTS = 30
STEP = 0.02
_SILENT_SECONDS = 3.0
"""Time for which a call is not answered; longer than any timeout of a call."""
_LATE_SECONDS = 0.7
"""Time after which a late call is executed; longer than the timeout of a call without memory."""
DROP_SECONDS = 0.3
"""Seconds within which an upstream drops a run whose connection has ended."""


@dataclass
class Handle:
    """Memory of a run that was copied or kept, under a handle."""

    run: str
    made: int
    at: set[str]
    used: bool = False


@dataclass
class Run:
    """State of one run at one upstream."""

    seen: ReceivedRequest
    made: int = 0
    stopped: bool = False
    handle: str = ""


@dataclass
class Memory:
    """Handles of all upstreams, and violations of the rules for moving runs."""

    handles: dict[str, Handle] = field(default_factory=dict)
    working: dict[str, set[str]] = field(default_factory=dict)
    """Addresses of the upstreams that work on a run, by the id of the run."""
    executed_twice: list[str] = field(default_factory=list)
    freed: list[str] = field(default_factory=list)
    crashes: int = 1
    """Number of upstreams that are still to crash."""

    def unreleased(self) -> list[str]:
        """Return the handles that were neither used nor freed."""
        return [name for name, held in self.handles.items() if not held.used]


class MovingUpstream(ScriptedUpstream):
    """Upstream that generates one event per step and answers calls to move memory.

    `scripted_answers` overrides its answers to calls in turn: a number is returned as the status,
    "lost" executes the call and then resets the connection, "refused" answers 503 without stopping
    the run or naming a handle, "silent" neither executes the call nor answers it, "unanswered"
    executes the call and does not answer it, "late" does so after the timeout of the call, "ended"
    answers 404 once the run has ended by itself, and "dead" resets all connections and stops
    listening.
    """

    def __init__(self, memory: Memory, scripted_answers: list[int | str] | None = None) -> None:
        super().__init__([self.serve])
        self.memory = memory
        self.scripted_answers = scripted_answers or []
        self.calls: list[dict[str, object]] = []
        self.runs: dict[str, Run] = {}
        self.crashes_after: int | None = None
        """Number of events after which it crashes, None if it does not."""
        self.rejects_handles = False
        """Whether it rejects requests with a handle as not run."""
        self.rejections_per_handle = 0
        """Number of requests with a handle that it rejects as not run before it accepts one."""
        self.failures_per_handle = 0
        """Number of requests with a handle that it answers with 500 without using the handle."""
        self.resets_per_handle = 0
        """Number of requests with a handle that it resets without using the handle."""
        self.step = STEP
        self.hides_stream_end = False
        """Whether the end of a stopped stream does not reach the gateway."""
        self.stalls_after: int | None = None
        """Number of events after which it generates no more, None if it continues."""
        self.frames_events = True
        """Whether its streams are sent in chunks; otherwise they end with their connection."""
        self.stopped_bytes = 5
        """Number of bytes of the next event that it sends of a run that was stopped."""

    def resumed_handles(self) -> list[str]:
        """Return the handles with which runs were to be continued at this upstream."""
        return [seen.headers["kv-from"] for seen in self.requests if "kv-from" in seen.headers]

    async def serve(self, seen: ReceivedRequest) -> None:
        """Answer one request or call."""
        if "/kv-move" in seen.line:
            await self._move(seen)
        elif "/kv-handle/" in seen.line:
            name = seen.line.split()[1].rpartition("/")[2]
            self.memory.freed.append(name)
            self.memory.handles.pop(name, None)
            seen.answer("200 OK\r\nContent-Length: 0\r\n")
        else:
            await self._run(seen)

    async def _run(self, seen: ReceivedRequest) -> None:
        made = int(seen.headers.get("last-event-id", "-1")) + 1
        if "kv-from" in seen.headers:
            handle = self.memory.handles.get(seen.headers["kv-from"].rpartition("/")[2])
            is_usable = handle is not None and not handle.used and self.address in handle.at
            if not is_usable or self.rejects_handles:
                seen.answer("503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n")
                return
            if self._disturb(seen):
                return
            assert handle is not None
            handle.used = True
        run = self.runs[seen.id] = Run(seen, made)
        working = self.memory.working.setdefault(seen.id, set())
        if working and "kv-from" in seen.headers:
            self.memory.executed_twice.append(seen.id)
        elif working:
            asyncio.get_running_loop().call_later(
                DROP_SECONDS, self._check_restart, seen.id, set(working)
            )
        working.add(self.address)
        try:
            await self._stream(run)
        finally:
            working.discard(self.address)
            self.runs.pop(seen.id, None)

    def _disturb(self, seen: ReceivedRequest) -> bool:
        """Answer a request with a usable handle as scripted; return whether that was done.

        The handle stays usable.
        """
        if self.rejections_per_handle:
            self.rejections_per_handle -= 1
            seen.answer("503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n")
            return True
        if self.failures_per_handle:
            self.failures_per_handle -= 1
            seen.answer("500 Failed\r\nContent-Length: 0\r\n")
            return True
        if self.resets_per_handle:
            self.resets_per_handle -= 1
            seen.reset()
            raise ConnectionResetError
        return False

    def _check_restart(self, run: str, others: set[str]) -> None:
        """Record a run on which earlier upstreams still work after another one restarted it."""
        if others & self.memory.working[run]:
            self.memory.executed_twice.append(run)

    async def _stream(self, run: Run) -> None:
        run.seen.frames_events = self.frames_events
        run.seen.start_events()
        while run.made < EVENTS:
            if run.made == self.crashes_after and self.memory.crashes:
                self.memory.crashes -= 1
                self.memory.working[run.seen.id].discard(self.address)
                self.crash(run.seen)
            if run.made != self.stalls_after:
                run.seen.event(run.made)
                run.made += 1
            await run.seen.writer.drain()
            await asyncio.sleep(self.step)
            if run.seen.reader.at_eof():
                raise ConnectionResetError
            if run.stopped:
                # The stream is closed without its end.
                run.seen.chunk(event(run.made)[: self.stopped_bytes])
                await run.seen.writer.drain()
                if self.hides_stream_end:
                    self.memory.working[run.seen.id].discard(self.address)
                    await asyncio.sleep(2.0)
                raise ConnectionResetError
        run.seen.end_events()

    async def _move(self, seen: ReceivedRequest) -> None:
        call = json.loads(seen.body)
        self.calls.append(call)
        scripted = self.scripted_answers.pop(0) if self.scripted_answers else 200
        if scripted == "dead":
            for run in list(self.runs.values()):
                self.memory.working[run.seen.id].discard(self.address)
            self.crash(seen)
        if scripted == "silent":
            await asyncio.sleep(_SILENT_SECONDS)
            return
        if scripted == "late":
            await asyncio.sleep(_LATE_SECONDS)
        if scripted == "ended":
            self.step = 0.0
            while call["id"] in self.runs:
                await asyncio.sleep(STEP)
        active = self.runs.get(call["id"])
        if active is None or scripted == 404:
            _answer(seen, 404, {})
        elif scripted == 409:
            _answer(seen, 409, {})
        elif scripted == "refused" or (scripted == 503 and not call["last"]):
            _answer(seen, 503, {})
        else:
            content = await self._copy(active, call, at_target=scripted != 503)
            if scripted in ("unanswered", "late"):
                await asyncio.sleep(_SILENT_SECONDS)
            if scripted in ("lost", "unanswered", "late"):
                seen.reset()
                raise ConnectionResetError
            _answer(seen, 503 if scripted == 503 else 200, content)

    async def _copy(self, run: Run, call: dict[str, str], at_target: bool) -> dict[str, object]:
        name = run.handle or f"h{len(self.memory.handles)}-{run.seen.id}"
        run.handle = name
        held = self.memory.handles.setdefault(name, Handle(run.seen.id, 0, set()))
        held.made = run.made
        if call["last"]:
            run.stopped = True
            held.at.add(self.address)
            await asyncio.sleep(STEP)
        if at_target:
            held.at.add(call["targetVersion"])
        else:
            held.at.discard(call["targetVersion"])
        return {"handle": name, "made": run.made}


def _answer(seen: ReceivedRequest, status: int, content: dict[str, object]) -> None:
    body = json.dumps(content).encode()
    seen.answer(f"{status} Said\r\nContent-Length: {len(body)}\r\n", body)
