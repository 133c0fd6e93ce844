"""Engines of the soak test: they restart under their names and crash on deadly bodies."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

from tests.entries import entry
from tests.requests.rig import SIGNED
from tests.requests.rig import ScriptedUpstream
from tests.soak.ledger import Arrival
from tests.soak.ledger import LimitWord
from tests.soak.ledger import Rest

if TYPE_CHECKING:
    import random

    from lotushill.standin.metadata_store import MetadataStore
    from tests.requests.rig import ReceivedRequest
    from tests.soak.ledger import Ledger

DEADLY = b"every engine that begins this ends"
VARYING = b"and so with all that begin like this: "
KIND = "servers"
_STREAMS = "/stream/"
_EVENTS = 8
_BACK_SECONDS = 1.5
_DRAIN_SECONDS = 1.0
_REST_DECIMALS = 2
"""Decimals of a cooldown. It is recorded as rounded in the header: with a header 2 ms shorter,
requests that arrived right at its end looked like violations."""
_LEAVE_SECONDS = 6.0
"""Delay from the announcement to the shutdown; longer than the time for which requests may still be
sent to an engine that leaves."""


def events(attempt: str) -> list[bytes]:
    """Return all events of the stream of one attempt."""
    return [f"id: {n}\ndata: {attempt} {n}\n\n".encode() for n in range(1, _EVENTS + 1)]


class Engine:
    """One engine instance through all its incarnations, at changing addresses."""

    def __init__(self, name: str, store: MetadataStore, ledger: Ledger, rng: random.Random) -> None:
        self.name = name
        self._store = store
        self._ledger = ledger
        self._rng = rng
        self._born = 0
        self._server: ScriptedUpstream | None = None
        self._sheds_until = 0.0
        self._rest = 0.0
        self._leaving = ""
        """Incarnation that announces in its answers that it leaves; empty if none."""
        self._limit = math.inf
        """Requests per second that the engine states as its limit; infinite for no limit."""
        self._limited = ""
        """Incarnation that states the limit; empty if none."""
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def life(self) -> str:
        """Return the id of the current incarnation."""
        return f"{self.name}@{self._born}"

    async def start(self) -> None:
        """Start a new incarnation and write its entry."""
        self._born = max(self._born + 1, time.time_ns() // 1_000_000)
        self._server = ScriptedUpstream([self._answer])
        await self._server.start()
        self.tell()

    def tell(self, **changes: object) -> None:
        """Write the entry to the store, with some fields changed."""
        assert self._server is not None
        spec = entry("app", self._server.address, born=self._born, **changes)
        self._store.put(KIND, self.name, spec)

    def spoil(self) -> None:
        """Overwrite the entry with one that no reader accepts."""
        self._store.put(KIND, self.name, {"service": "app", "address": None, "slots": "many"})

    def tell_again(self) -> None:
        """Restore the correct entry if the engine is running."""
        if self._server is not None:
            self.tell()

    async def end(self) -> None:
        """Crash without an announcement and restart after a delay."""
        if self._server is None:
            return
        server, self._server = self._server, None
        await server.close()
        self._later(self._come_back())

    async def drain(self) -> None:
        """Mark the entry as draining and shut down after a delay."""
        if self._server is not None:
            self.tell(state="draining")
            self._later(self._end_drained())

    def shed(self, seconds: float) -> None:
        """Reject all requests for `seconds` with a Retry-After header of the same length."""
        self._rest = round(seconds, _REST_DECIMALS)
        self._sheds_until = time.monotonic() + self._rest

    def limit(self, rate: float) -> None:
        """State a limit in all further answers of this incarnation; infinity ends it."""
        self._limit, self._limited = rate, self.life

    async def leave_by_word(self) -> None:
        """Announce only in answers that the engine leaves, and end it later.

        The entry still says `ready`.
        """
        if self._server is not None:
            self._leaving = self.life
            self._later(self._end_left(self.life))

    async def _end_left(self, life: str) -> None:
        await asyncio.sleep(_LEAVE_SECONDS)
        if self.life == life:
            await self.end()

    async def stop(self) -> None:
        """Stop for the end of the test, without a restart."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            await self._server.close()

    async def _end_drained(self) -> None:
        await asyncio.sleep(_DRAIN_SECONDS + 0.5)
        await self.end()

    async def _come_back(self) -> None:
        await asyncio.sleep(_BACK_SECONDS)
        await self.start()

    def _later(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, seen: ReceivedRequest) -> None:
        now = time.monotonic()
        server = self._server
        if seen.headers.get("target-instance") != self.name or server is None:
            seen.answer("421 Other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n")
            return
        self._ledger.arrivals.append(Arrival(seen.id, self.life, now))
        if now < self._sheds_until:
            self._ledger.rests.append(Rest(seen.id, self.life, now, self._rest))
            seen.answer(
                f"503 Busy{self._words(seen)}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
                f"Retry-After: {self._rest}\r\n"
            )
            return
        varying = seen.body.startswith(VARYING)
        if varying or seen.body == DEADLY:
            sends = self._ledger.varying_sends if varying else self._ledger.deadly_sends
            sends.append(now)
            await asyncio.sleep(self._rng.uniform(0.03, 0.1))
            ends = self._ledger.varying_ends if varying else self._ledger.deadly_ends
            ends.append(time.monotonic())
            self._server = None
            self._later(self._come_back())
            server.crash(seen)
        self._ledger.runs.append(Arrival(seen.id, self.life, now))
        if seen.line.split()[1].startswith(_STREAMS):
            await self._stream_events(seen)
            return
        await asyncio.sleep(self._rng.uniform(0.01, 0.15))
        seen.answer_whole(f"{seen.id} done".encode(), f"200 OK{self._words(seen)}")

    def _words(self, seen: ReceivedRequest) -> str:
        """Return the headers on leaving and on the limit, and record what they state."""
        now, words = time.monotonic(), ""
        if self._leaving == self.life:
            self._ledger.leavings.append(Arrival(seen.id, self.life, now))
            words += "\r\nServer-Leaving: 1"
        if self._limited != self.life:
            return words
        self._ledger.limit_words.append(LimitWord(seen.id, self.life, now, self._limit))
        return words if self._limit == math.inf else f"{words}\r\nServer-Limit: {self._limit:g}"

    async def _stream_events(self, seen: ReceivedRequest) -> None:
        """Send the events after the one in the request's Last-Event-ID header."""
        seen.answer(f"200 OK{self._words(seen)}\r\nTransfer-Encoding: chunked\r\n{SIGNED}")
        done = int(seen.headers.get("last-event-id") or 0)
        for event in events(seen.id)[done:]:
            seen.chunk(event)
            await seen.writer.drain()
            await asyncio.sleep(self._rng.uniform(0.01, 0.1))
        seen.end_events()
