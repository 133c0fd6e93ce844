"""Engine with few slots that falls over if it has to reject too many requests in a second."""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tests.entries import entry
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import ScriptedUpstream
from tests.soak.engine import KIND

if TYPE_CHECKING:
    from lotushill.standin.metadata_store import MetadataStore

BRITTLE_AFTER_SECONDS = 3.0
"""Time after the first statement from which fewer requests may wait and the engine can fall."""


@dataclass(frozen=True)
class EngineShape:
    """Sizes of an engine."""

    slots: int = 3
    work_seconds: float = 0.3
    usual_waiting: int = 6
    """Requests that wait beside those that run, before the engine is brittle."""
    brittle_waiting: int = 1
    """Requests that wait once the engine is brittle."""
    max_rejections: int = 6
    """Rejections in one second from which one more makes the engine fall; stated in its answers."""
    down_seconds: float = 2.5
    """Time from a fall, or another end, until the engine is back."""


@dataclass(frozen=True)
class Fall:
    """An engine fell over under the requests that it had to reject."""

    engine: str
    at: float
    rejections: int
    """Rejections in the second before."""


class BrittleEngine:
    """Engine that states after a while that it is brittle, ends at times and comes back."""

    def __init__(self, name: str, store: MetadataStore, shape: EngineShape) -> None:
        self.name = name
        self._store = store
        self._shape = shape
        self._states_at = self._brittle_at = math.inf
        self._slots = asyncio.Semaphore(shape.slots)
        self._present = 0
        self._last_second: deque[float] = deque()
        self._server: ScriptedUpstream | None = None
        self._restart: asyncio.Task[None] | None = None
        self.falls: list[Fall] = []
        self.served_at: list[float] = []
        self.rejected_at: list[float] = []
        self.is_up = False

    def become_brittle(self, at: float) -> None:
        """State from a time on that the engine is brittle, and be so a while later."""
        self._states_at, self._brittle_at = at, at + BRITTLE_AFTER_SECONDS

    async def start(self) -> None:
        """Listen, and write the entry with the new address."""
        self._present, self._slots = 0, asyncio.Semaphore(self._shape.slots)
        self._last_second.clear()
        self._server = ScriptedUpstream([self._handle])
        await self._server.start()
        self.is_up = True
        self._store.put(
            KIND, self.name, entry("app", self._server.address, slots=self._shape.slots)
        )

    async def stop(self) -> None:
        """Stop without a restart."""
        if self._restart is not None:
            self._restart.cancel()
        if self._server is not None:
            await self._server.close()

    async def end(self) -> None:
        """End for a reason of its own; the engine is back some seconds later."""
        if self.is_up and self._server is not None:
            self.is_up = False
            await self._server.close()
            self._restart = asyncio.create_task(self._start_later())

    async def _handle(self, seen: ReceivedRequest) -> None:
        now, shape = time.monotonic(), self._shape
        stated = f"Server-Brittle: {shape.max_rejections}\r\n" if now >= self._states_at else ""
        waiting = shape.brittle_waiting if now >= self._brittle_at else shape.usual_waiting
        if self._present >= shape.slots + waiting:
            self._reject(seen, stated, now)
            return
        self._present += 1
        slots = self._slots
        try:
            async with slots:
                await self._work(seen)
        finally:
            if slots is self._slots:
                self._present -= 1
        self.served_at.append(time.monotonic())
        seen.answer(f"200 OK\r\n{stated}Content-Length: 4\r\nResponse-Signature: s1\r\n", b"done")

    async def _work(self, seen: ReceivedRequest) -> None:
        """Work on a request; stop early if its gateway closes the connection."""
        closed = asyncio.create_task(seen.reader.read(1))
        try:
            async with asyncio.timeout(self._shape.work_seconds):
                await closed
        except TimeoutError:
            return
        finally:
            closed.cancel()
        raise ConnectionResetError

    def _reject(self, seen: ReceivedRequest, stated: str, now: float) -> None:
        self.rejected_at.append(now)
        self._last_second.append(now)
        while self._last_second[0] < now - 1.0:
            self._last_second.popleft()
        if now >= self._brittle_at and len(self._last_second) > self._shape.max_rejections:
            self.falls.append(Fall(self.name, now, len(self._last_second)))
            self.is_up = False
            assert self._server is not None
            self._restart = asyncio.create_task(self._start_later())
            self._server.crash(seen)
        seen.answer(f"503 Full\r\n{stated}Not-Executed: 1\r\nContent-Length: 0\r\n")

    async def _start_later(self) -> None:
        await asyncio.sleep(self._shape.down_seconds)
        await self.start()
