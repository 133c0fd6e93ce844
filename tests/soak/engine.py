"""Engines of the soak test: they restart under their names and crash on deadly bodies."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from typing import TYPE_CHECKING

from tests.entries import entry
from tests.requests.rig import ScriptedUpstream
from tests.soak.deadly_parts import deadly_part
from tests.soak.records import Arrival
from tests.soak.records import Cooldown
from tests.soak.records import StatedLimit
from tests.soak.version_streams import EVENT_COUNT
from tests.soak.version_streams import VERSIONED_PATH
from tests.soak.version_streams import VERSIONS
from tests.soak.version_streams import versioned_event

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from lotushill.standin.metadata_store import MetadataStore
    from tests.requests.rig import ReceivedRequest
    from tests.soak.ledger import Ledger

DEADLY_BODY = b"every engine that begins this ends"
VARYING_PREFIX = b"and so with all that begin like this: "
KIND = "servers"
_STREAM_PATH = "/stream/"
_EVENT_COUNT = 8
_SLOTS = 4
_RESTART_DELAY_SECONDS = 1.5
_DRAIN_DELAY_SECONDS = 1.0
_COOLDOWN_DECIMALS = 2
"""Decimals of a cooldown. It is recorded as rounded in the header: with a header 2 ms shorter,
requests that arrived right at its end looked like violations."""
_BREAK_PROBABILITY = 0.15
"""Probability of each event to be the one in which its stream is broken off, while that lasts."""
_BROKEN_BY_RESET_PROBABILITY = 0.3
_RESET_DELAY_SECONDS = 0.02
_LEAVE_DELAY_SECONDS = 6.0
"""Delay from the announcement to the shutdown; longer than the time for which requests may still be
sent to an engine that leaves."""


def events(attempt: str, count: int = _EVENT_COUNT) -> list[bytes]:
    """Return all events of the stream of one attempt."""
    return [f"id: {n}\ndata: {attempt} {n}\n\n".encode() for n in range(1, count + 1)]


class Engine:
    """One engine instance through all its incarnations, at changing addresses."""

    def __init__(self, name: str, store: MetadataStore, ledger: Ledger, rng: random.Random) -> None:
        self.name = name
        self.slots = _SLOTS
        """Number of runs at once that its entry states."""
        self._store = store
        self._ledger = ledger
        self._rng = rng
        self._born = 0
        self._running_version = VERSIONS[0]
        self._server: ScriptedUpstream | None = None
        self._rejects_until = 0.0
        self._cooldown_seconds = 0.0
        self._leaving_incarnation = ""
        """Incarnation that announces in its answers that it leaves; empty if none."""
        self._limit_rate = math.inf
        """Requests per second that the engine states as its limit; infinite for no limit."""
        self._limited_incarnation = ""
        """Incarnation that states the limit; empty if none."""
        self.version = VERSIONS[0]
        """Software version of this and of later incarnations."""
        self.frames_events = True
        """Whether its streams are sent in chunks; otherwise they end with their connection."""
        self._breaks_until = 0.0
        """When it stops breaking off streams inside an event."""
        self._leaving: set[str] = set()
        """Incarnations that are being replaced by another version."""
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def incarnation(self) -> str:
        """Return the id of the current incarnation."""
        return f"{self.name}@{self._born}"

    async def start(self) -> None:
        """Start a new incarnation and write its entry."""
        self._born = max(self._born + 1, time.time_ns() // 1_000_000)
        server = ScriptedUpstream([self._handle])
        await server.start()
        self._server = server
        self._running_version = self.version
        self.write_entry()

    def write_entry(self, **changes: object) -> None:
        """Write the entry to the store, with some fields changed."""
        assert self._server is not None
        spec = entry(
            "app",
            self._server.address,
            born=self._born,
            version=self._running_version,
            **{"slots": self.slots, **changes},
        )
        self._store.put(KIND, self.name, spec)

    def corrupt_entry(self) -> None:
        """Overwrite the entry with one that no reader accepts."""
        self._store.put(KIND, self.name, {"service": "app", "address": None, "slots": "many"})

    def restore_entry(self) -> None:
        """Restore the correct entry if the engine is running."""
        if self._server is not None:
            is_drained = self.incarnation in self._ledger.views.drained_at
            self.write_entry(**({"state": "draining"} if is_drained else {}))

    async def terminate(self) -> None:
        """Terminate without a further announcement and restart after a delay."""
        if self._server is None:
            return
        server, self._server = self._server, None
        await server.close()
        self._start_task(self._restart())

    async def drain(self, seconds: float = _DRAIN_DELAY_SECONDS + 0.5) -> None:
        """Mark the entry as draining and shut down after some seconds."""
        if self._server is not None:
            self.write_entry(state="draining")
            self._ledger.views.drained_at.setdefault(self.incarnation, time.monotonic())
            self._start_task(self._terminate_after_drain(self.incarnation, seconds))

    @property
    def is_serving(self) -> bool:
        """Return whether it runs and does not leave."""
        return self._server is not None and self.incarnation not in self._leaving

    async def roll(self, version: str, seconds: float) -> None:
        """Drain for some seconds, then end and start again at a version."""
        self.version = version
        if self._running_version != version:
            self._leaving.add(self.incarnation)
            await self.drain(seconds)

    def reject_for(self, seconds: float) -> None:
        """Reject all requests for `seconds` with a Retry-After header of the same length."""
        self._cooldown_seconds = round(seconds, _COOLDOWN_DECIMALS)
        self._rejects_until = time.monotonic() + self._cooldown_seconds

    def state_limit(self, rate: float) -> None:
        """State a limit in all further answers of this incarnation; infinity ends it."""
        self._limit_rate, self._limited_incarnation = rate, self.incarnation

    def break_streams_for(self, seconds: float) -> None:
        """Break off some streams inside an event for some seconds, by a close or by a reset."""
        self._breaks_until = time.monotonic() + seconds

    async def announce_leaving(self) -> None:
        """Announce only in answers that the engine leaves, and end it later.

        The entry still says `ready`.
        """
        if self._server is not None:
            self._leaving_incarnation = self.incarnation
            self._start_task(self._terminate_after_leaving(self.incarnation))

    async def _terminate_after_leaving(self, incarnation: str) -> None:
        await asyncio.sleep(_LEAVE_DELAY_SECONDS)
        if self.incarnation == incarnation:
            await self.terminate()

    async def stop(self) -> None:
        """Stop for the end of the test, without a restart."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            await self._server.close()

    async def _terminate_after_drain(self, incarnation: str, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if self.incarnation == incarnation:
            await self.terminate()

    async def _restart(self) -> None:
        await asyncio.sleep(_RESTART_DELAY_SECONDS)
        await self.start()

    def _start_task(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, seen: ReceivedRequest) -> None:
        now = time.monotonic()
        server = self._server
        if seen.headers.get("target-instance") != self.name or server is None:
            seen.answer("421 Other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n")
            return
        self._ledger.arrivals.append(Arrival(seen.id, self.incarnation, now))
        if now < self._rejects_until:
            self._ledger.cooldowns.append(
                Cooldown(seen.id, self.incarnation, now, self._cooldown_seconds)
            )
            seen.answer(
                f"503 Busy{self._statement_headers(seen)}\r\nNot-Executed: 1\r\n"
                f"Content-Length: 0\r\nRetry-After: {self._cooldown_seconds}\r\n"
            )
            return
        await self._execute(seen, server)

    async def _execute(self, seen: ReceivedRequest, server: ScriptedUpstream) -> None:
        """Run a request that is accepted, or crash under it."""
        now = time.monotonic()
        varying = seen.body.startswith(VARYING_PREFIX)
        if varying or seen.body == DEADLY_BODY:
            sends = self._ledger.varying_sends if varying else self._ledger.deadly_sends
            sends.append(now)
            await asyncio.sleep(self._rng.uniform(0.03, 0.1))
            crashes = self._ledger.varying_crashes if varying else self._ledger.deadly_crashes
            self._crash(seen, server, crashes)
        part = deadly_part(seen.headers)
        if part is not None:
            self._ledger.parts.sends[part].append(now)
            await asyncio.sleep(self._rng.uniform(0.02, 0.08))
            self._crash(seen, server, self._ledger.parts.crashes[part])
        self._ledger.runs.append(Arrival(seen.id, self.incarnation, now))
        path = seen.line.split()[1]
        if path.startswith(VERSIONED_PATH):
            await self._stream_versions(seen)
            return
        if path.startswith(_STREAM_PATH):
            await self._stream_events(seen)
            return
        await asyncio.sleep(self._rng.uniform(0.01, 0.15))
        seen.answer_whole(f"{seen.id} done".encode(), f"200 OK{self._statement_headers(seen)}")

    def _crash(self, seen: ReceivedRequest, server: ScriptedUpstream, crashes: list[float]) -> None:
        """End with all that runs here, and start again after a delay."""
        crashes.append(time.monotonic())
        if self._server is server:
            self._server = None
            self._start_task(self._restart())
        server.crash(seen)

    def _statement_headers(self, seen: ReceivedRequest) -> str:
        """Return the headers on leaving and on the limit, and record what they state."""
        now, headers = time.monotonic(), ""
        if self._leaving_incarnation == self.incarnation:
            self._ledger.leaving_answers.append(Arrival(seen.id, self.incarnation, now))
            headers += "\r\nServer-Leaving: 1"
        if self._limited_incarnation != self.incarnation:
            return headers
        self._ledger.stated_limits.append(
            StatedLimit(seen.id, self.incarnation, now, self._limit_rate)
        )
        return (
            headers
            if self._limit_rate == math.inf
            else f"{headers}\r\nServer-Limit: {self._limit_rate:g}"
        )

    async def _stream_events(self, seen: ReceivedRequest) -> None:
        """Send the events after the one in the request's Last-Event-ID header."""
        self._start_events(seen)
        done = int(seen.headers.get("last-event-id") or 0)
        with self._reset_if_cancelled(seen):
            for event in events(seen.id)[done:]:
                await self._break_if_due(seen, event)
                seen.chunk(event)
                await seen.writer.drain()
                await asyncio.sleep(self._rng.uniform(0.01, 0.1))
            seen.end_events()

    @contextlib.contextmanager
    def _reset_if_cancelled(self, seen: ReceivedRequest) -> Iterator[None]:
        """Reset the connection of a stream if this engine ends meanwhile.

        Only a stream that is complete, or broken off inside an event, is closed in order.
        """
        try:
            yield
        except asyncio.CancelledError:
            seen.reset()
            raise

    async def _stream_versions(self, seen: ReceivedRequest) -> None:
        """Send events that name the version, after the one in the Last-Event-ID header."""
        self._start_events(seen)
        done = int(seen.headers.get("last-event-id") or 0)
        with self._reset_if_cancelled(seen):
            for number in range(done + 1, EVENT_COUNT + 1):
                event = versioned_event(number, seen.id, self._running_version)
                await self._break_if_due(seen, event)
                seen.chunk(event)
                await seen.writer.drain()
                await asyncio.sleep(self._rng.uniform(0.02, 0.08))
                if seen.reader.at_eof():
                    raise ConnectionResetError
            seen.end_events()

    def _start_events(self, seen: ReceivedRequest) -> None:
        """Write the head of a stream, with or without chunks."""
        seen.frames_events = self.frames_events
        seen.start_events(self._statement_headers(seen))

    async def _break_if_due(self, seen: ReceivedRequest, event: bytes) -> None:
        """Send a part of `event` and end the connection, if this stream is to be broken off."""
        is_due = time.monotonic() < self._breaks_until
        if not is_due or self._rng.random() >= _BREAK_PROBABILITY:
            return
        seen.chunk(event[: self._rng.randrange(1, len(event))])
        await seen.writer.drain()
        self._ledger.broken_streams.append(Arrival(seen.id, self.incarnation, time.monotonic()))
        if self._rng.random() < _BROKEN_BY_RESET_PROBABILITY:
            # Bytes that were not read yet are lost with a reset, and the break with them.
            await asyncio.sleep(_RESET_DELAY_SECONDS)
            seen.reset()
        raise ConnectionResetError
