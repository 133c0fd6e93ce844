"""Upstreams that move the memory of runs, for tests of the request path."""

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
TWICE = 0.3
"""Seconds in which an upstream drops a run whose connection has ended."""


@dataclass
class Handle:
    """Memory of a run that was copied or kept."""

    run: str
    made: int
    at: set[str]
    used: bool = False


@dataclass
class Run:
    """A run at one upstream."""

    seen: ReceivedRequest
    made: int = 0
    stopped: bool = False
    handle: str = ""


@dataclass
class Memory:
    """The handles of all upstreams, and what went wrong by the rules of moving."""

    handles: dict[str, Handle] = field(default_factory=dict)
    working: dict[str, set[str]] = field(default_factory=dict)
    """Runs by the addresses that work on them."""
    twice: list[str] = field(default_factory=list)
    freed: list[str] = field(default_factory=list)
    crashes: int = 1
    """Upstreams that still crash of those that are to."""

    def left(self) -> list[str]:
        """Return the handles that nobody used and nobody freed."""
        return [name for name, held in self.handles.items() if not held.used]


class MovingUpstream(ScriptedUpstream):
    """Makes an event a step; `says` overrides its answers to calls, one after the other.

    A number answers with that status, "lost" does what was asked and then resets the connection,
    "dead" resets all connections and listens no more.
    """

    def __init__(self, memory: Memory, says: list[int | str] | None = None) -> None:
        super().__init__([self.serve])
        self.memory = memory
        self.says = says or []
        self.calls: list[dict[str, object]] = []
        self.runs: dict[str, Run] = {}
        self.ends_at: int | None = None
        """Crashes after so many events."""
        self.refuses = False
        """Whether it says that it did not run what comes with a handle."""
        self.step = STEP
        self.holds_streams = False
        """Whether the end of a stream that was stopped does not reach the gateway."""
        self.stands: int | None = None
        """Makes nothing after so many events."""

    def resumed(self) -> list[str]:
        """Return the handles with which runs were to go on here."""
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
            fit = handle is not None and not handle.used and self.address in handle.at
            if not fit or self.refuses:
                seen.answer("503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n")
                return
            assert handle is not None
            handle.used = True
        run = self.runs[seen.id] = Run(seen, made)
        working = self.memory.working.setdefault(seen.id, set())
        if working and "kv-from" in seen.headers:
            self.memory.twice.append(seen.id)
        elif working:
            asyncio.get_running_loop().call_later(TWICE, self._check, seen.id, set(working))
        working.add(self.address)
        try:
            await self._stream(run)
        finally:
            working.discard(self.address)
            self.runs.pop(seen.id, None)

    def _check(self, run: str, others: set[str]) -> None:
        """Note a run that those before still work on after another one began it anew."""
        if others & self.memory.working[run]:
            self.memory.twice.append(run)

    async def _stream(self, run: Run) -> None:
        run.seen.start_events()
        while run.made < EVENTS:
            if run.made == self.ends_at and self.memory.crashes:
                self.memory.crashes -= 1
                self.memory.working[run.seen.id].discard(self.address)
                self.crash(run.seen)
            if run.made != self.stands:
                run.seen.event(run.made)
                run.made += 1
            await run.seen.writer.drain()
            await asyncio.sleep(self.step)
            if run.seen.reader.at_eof():
                raise ConnectionResetError
            if run.stopped:
                # An event that is not whole, and no end.
                run.seen.chunk(event(run.made)[:5])
                await run.seen.writer.drain()
                if self.holds_streams:
                    self.memory.working[run.seen.id].discard(self.address)
                    await asyncio.sleep(2.0)
                raise ConnectionResetError
        run.seen.end_events()

    async def _move(self, seen: ReceivedRequest) -> None:
        asked = json.loads(seen.body)
        self.calls.append(asked)
        says = self.says.pop(0) if self.says else 200
        if says == "dead":
            for run in list(self.runs.values()):
                self.memory.working[run.seen.id].discard(self.address)
            self.crash(seen)
        known = self.runs.get(asked["id"])
        if known is None or says == 404:
            _answer(seen, 404, {})
        elif says == 409:
            _answer(seen, 409, {})
        elif says == 503 and not asked["last"]:
            _answer(seen, 503, {})
        else:
            said = await self._copy(known, asked, at_target=says != 503)
            if says == "lost":
                seen.reset()
                raise ConnectionResetError
            _answer(seen, 503 if says == 503 else 200, said)

    async def _copy(self, run: Run, asked: dict[str, str], at_target: bool) -> dict[str, object]:
        name = run.handle or f"h{len(self.memory.handles)}-{run.seen.id}"
        run.handle = name
        held = self.memory.handles.setdefault(name, Handle(run.seen.id, 0, set()))
        held.made = run.made
        if asked["last"]:
            run.stopped = True
            held.at.add(self.address)
            await asyncio.sleep(STEP)
        if at_target:
            held.at.add(asked["targetVersion"])
        else:
            held.at.discard(asked["targetVersion"])
        return {"handle": name, "made": run.made}


def _answer(seen: ReceivedRequest, status: int, said: dict[str, object]) -> None:
    body = json.dumps(said).encode()
    seen.answer(f"{status} Said\r\nContent-Length: {len(body)}\r\n", body)
