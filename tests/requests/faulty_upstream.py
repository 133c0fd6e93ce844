"""Simulated upstreams that fail in a scripted way at each step of a move, in virtual time."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from tests.requests.move_faults import ALWAYS
from tests.requests.moving_upstream import EVENTS
from tests.requests.moving_upstream import Handle
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import event

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.requests.virtual_network import Network

STEP_SECONDS = 0.1
"""Interval of the events of a run."""
_STALL_STEPS = 30
_COPY_SECONDS = 0.01
_LATE_SECONDS = 0.8
"""Delay of a call that takes effect after the gateway has given up waiting for its answer."""
_HANG_SECONDS = 1.0
_DROP_SECONDS = 0.3
"""Seconds within which an upstream drops a run whose connection has ended."""
NOT_RUN = "503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"


@dataclass
class Execution:
    """A period in which one upstream worked on a run."""

    run: str
    address: str
    since: float
    from_start: bool
    until: float | None = None


@dataclass
class World:
    """What all upstreams hold and have done."""

    handles: dict[str, Handle] = field(default_factory=dict)
    told: set[str] = field(default_factory=set)
    """Handles that the gateway can know."""
    freed: set[str] = field(default_factory=set)
    executions: list[Execution] = field(default_factory=list)
    closed_while_sound: list[str] = field(default_factory=list)
    """Runs whose stream the gateway closed while their upstream generated events."""


@dataclass
class FaultyRun:
    """One run at one upstream."""

    seen: ReceivedRequest
    made: int
    stopped: bool = False
    handle: str = ""
    is_lost: bool = False
    """Whether its connection was lost by a fault of the network."""


class FaultyUpstream(ScriptedUpstream):
    """Upstream that answers calls and requests with a handle by scripts, then correctly."""

    def __init__(self, world: World, network: Network) -> None:
        super().__init__([self.serve])
        self.world = world
        self._network = network
        self.copies: list[str] = []
        self.stops: list[str] = []
        self.continuations: list[str] = []
        """Answers that are still to be given."""
        self.accepts_connections = True
        self.hides_stream_end = False
        self.stalls_after: int | None = None
        """Number of events after which it stalls for some steps, None if it does not."""
        self.runs: dict[str, FaultyRun] = {}
        self.calls: list[bool] = []
        """Whether each call was to stop its run."""
        self.on_step: list[Callable[[str], None]] = []
        """Called with the step of each call or request."""

    async def start(self) -> None:
        """Listen on a new address."""
        self._tasks = set()
        self.address = self._network.listen(self._accept)

    def stop(self) -> None:
        """Accept no more connections."""
        self.accepts_connections = False
        self._network.close(self.address)

    def crash(self, seen: ReceivedRequest) -> None:
        """End with all runs and all memory."""
        for execution in self.world.executions:
            if execution.address == self.address and execution.until is None:
                execution.until = asyncio.get_running_loop().time()
        super().crash(seen)

    def executes(self, run: str) -> bool:
        """Return whether the stream of a run may be completed here."""
        return run in self.runs and not self.runs[run].is_lost

    def reset_streams(self) -> None:
        """Reset the connections of all runs, which the upstream notices later."""
        for run in self.runs.values():
            run.is_lost = True
            run.seen.reset()

    def holds(self, run: str) -> bool:
        """Return whether a run can be continued from memory here, at some time."""
        accepts = self.accepts_connections and len(self.continuations) < ALWAYS // 2
        return accepts and any(
            item.run == run and not item.used and self.address in item.at
            for item in self.world.handles.values()
        )

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.add(asyncio.create_task(self._serve(reader, writer)))

    def _note_step(self, step: str) -> None:
        for call in self.on_step:
            call(step)

    async def serve(self, seen: ReceivedRequest) -> None:
        """Answer one request or call."""
        if "/kv-move" in seen.line:
            await self._move(seen)
        elif "/kv-handle/" in seen.line:
            name = seen.line.split()[1].rpartition("/")[2]
            self.world.freed.add(name)
            self.world.handles.pop(name, None)
            seen.answer("200 OK\r\nContent-Length: 0\r\n")
        elif "kv-from" in seen.headers:
            await self._continue(seen)
        else:
            await self._execute(seen, from_start="last-event-id" not in seen.headers)

    async def _continue(self, seen: ReceivedRequest) -> None:
        self._note_step("continue")
        handle = self.world.handles.get(seen.headers["kv-from"].rpartition("/")[2])
        if handle is None or handle.used or self.address not in handle.at:
            seen.answer(NOT_RUN)
            return
        answer = self.continuations.pop(0) if self.continuations else "accepted"
        if answer == "late":
            await asyncio.sleep(_HANG_SECONDS)
        elif answer == "silent":
            await seen.reader.read()
            raise ConnectionResetError
        elif answer != "accepted":
            return await self._refuse(seen, handle, answer)
        if handle.used or seen.reader.at_eof():
            return None
        handle.used = True
        return await self._execute(seen, from_start=False)

    async def _refuse(self, seen: ReceivedRequest, handle: Handle, answer: str) -> None:
        """Give a scripted answer to a request with a usable handle."""
        heads = {
            "not run": NOT_RUN,
            "cooldown": f"{NOT_RUN}Retry-After: 1\r\n",
            "other incarnation": "421 Other\r\nContent-Length: 0\r\n",
            "failed": "500 Failed\r\nContent-Length: 0\r\n",
        }
        if answer in heads:
            if answer == "other incarnation":
                handle.at.discard(self.address)
            seen.answer(heads[answer])
            return
        if answer == "crash":
            self.crash(seen)
        if answer == "closed":
            self.stop()
        if answer.startswith("used"):
            handle.used = True
            seconds = _DROP_SECONDS if answer == "used and running" else 0.0
            execution = self._begin(seen, from_start=False)
            execution.until = execution.since + seconds
        seen.reset()
        raise ConnectionResetError

    def _begin(self, seen: ReceivedRequest, from_start: bool) -> Execution:
        now = asyncio.get_running_loop().time()
        execution = Execution(seen.id, self.address, now, from_start)
        self.world.executions.append(execution)
        return execution

    async def _execute(self, seen: ReceivedRequest, from_start: bool) -> None:
        run = self.runs[seen.id] = FaultyRun(seen, int(seen.headers.get("last-event-id", "-1")) + 1)
        execution = self._begin(seen, from_start)
        try:
            await self._stream(run)
        finally:
            self.runs.pop(seen.id, None)
            if execution.until is None:
                execution.until = asyncio.get_running_loop().time()

    async def _stream(self, run: FaultyRun) -> None:
        run.seen.start_events()
        while run.made < EVENTS:
            run.seen.event(run.made)
            run.made += 1
            stalls = run.made == self.stalls_after
            for _ in range(_STALL_STEPS if stalls else 1):
                await self._wait_step(run)
        run.seen.end_events()

    async def _wait_step(self, run: FaultyRun) -> None:
        await asyncio.sleep(STEP_SECONDS)
        if run.stopped:
            await self._end_stopped(run)
        if run.seen.reader.at_eof():
            if not run.is_lost:
                self.world.closed_while_sound.append(run.seen.id)
            raise ConnectionResetError

    async def _end_stopped(self, run: FaultyRun) -> None:
        run.seen.chunk(event(run.made)[:5])
        if self.hides_stream_end:
            self.runs.pop(run.seen.id, None)
            self._end_execution(run.seen.id)
            await asyncio.sleep(10.0)
        raise ConnectionResetError

    def _end_execution(self, run: str) -> None:
        for execution in self.world.executions:
            here = (execution.run, execution.address) == (run, self.address)
            if here and execution.until is None:
                execution.until = asyncio.get_running_loop().time()

    async def _move(self, seen: ReceivedRequest) -> None:
        call = json.loads(seen.body)
        self.calls.append(call["last"])
        self._note_step("stop" if call["last"] else "copy")
        answers = self.stops if call["last"] else self.copies
        answer = answers.pop(0) if answers else "copied"
        if answer == "crash":
            self.crash(seen)
        if answer == "closed":
            self.stop()
        if answer in ("reset", "closed"):
            seen.reset()
            raise ConnectionResetError
        if answer == "silent":
            return await asyncio.sleep(10.0)
        if answer == "late":
            await asyncio.sleep(_LATE_SECONDS)
        active = self.runs.get(call["id"])
        simple = {"unknown": 404, "busy": 409, "not stopped": 503, "invalid": 500}
        if active is None or answer in simple:
            return self._answer(seen, simple.get(answer, 404), {})
        if answer == "no room" and not call["last"]:
            return self._answer(seen, 503, {})
        await asyncio.sleep(_COPY_SECONDS)
        content = self._copy(active, call, at_target=answer != "no room")
        if answer == "answer lost":
            seen.reset()
            raise ConnectionResetError
        if answer == "late":
            # The gateway may have freed the handle before, and knows of no further copy.
            self.world.told.discard(str(content["handle"]))
        else:
            self.world.told.add(str(content["handle"]))
        return self._answer(seen, 503 if answer == "no room" else 200, content)

    def _copy(self, run: FaultyRun, call: dict[str, str], at_target: bool) -> dict[str, object]:
        run.handle = run.handle or f"h{len(self.world.handles)}-{run.seen.id}"
        held = self.world.handles.setdefault(run.handle, Handle(run.seen.id, 0, set()))
        held.made = run.made
        if call["last"]:
            run.stopped = True
            held.at.add(self.address)
        if at_target:
            held.at.add(call["targetVersion"])
        else:
            held.at.discard(call["targetVersion"])
        return {"handle": run.handle, "made": run.made}

    def _answer(self, seen: ReceivedRequest, status: int, content: dict[str, object]) -> None:
        body = json.dumps(content).encode()
        seen.answer(f"{status} Said\r\nContent-Length: {len(body)}\r\n", body)
