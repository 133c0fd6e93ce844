"""Streams of the soak test whose events name the software version of their engine.

Their clients leave some of them and take them up again at any gateway, as they do with streams that
are cut. What two versions write does not fit together, so a stream may have one version only.
"""

from __future__ import annotations

import asyncio
import itertools
import re
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from tests.requests.rig import request_bytes

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

VERSIONS = ("v1", "v2")
VERSIONED_PATH = "/stream/versions/"
EVENT_COUNT = 30
_DEADLINE_SECONDS = 12.0
_EVENT_TIMEOUT_SECONDS = 2.5
"""Time for which a client waits for the next event."""
_LEAVE_PROBABILITY = 0.5
_MAX_AWAY_SECONDS = 1.0
_MAX_TAKE_UPS = 4
_REFUSED_PAUSE_SECONDS = 0.3
_VIEW_SECONDS = 1.0
"""Time within which gateways know of a change of the engines."""
_EVENT = re.compile(r"id: (\d+)\ndata: (\S+) (\S+)\n\n")


def versioned_event(number: int, attempt: str, version: str) -> bytes:
    """Return one event, with the version of its engine."""
    return f"id: {number}\ndata: {attempt} {version}\n\n".encode()


@dataclass(frozen=True)
class TakeUp:
    """One attempt of a client to go on with a stream."""

    attempt: str
    gateway: str
    at: float
    version: str
    """Version at which the stream had begun."""
    status: int
    """Status of the answer, 0 if none came."""
    went_on: bool
    """Whether it brought an event."""


@dataclass
class VersionedStream:
    """What a client has of one stream, over all its attempts."""

    first_attempt: str
    """Attempt that brought the first event; empty while none has come."""
    sent_at: float
    numbers: list[int] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    """Version of each event."""
    take_ups: list[TakeUp] = field(default_factory=list)
    has_begun_at_once: bool = False
    """Whether the first attempt brought an event."""

    @property
    def is_mixed(self) -> bool:
        """Return whether it has events of two versions."""
        return len(set(self.versions)) > 1

    @property
    def is_in_order(self) -> bool:
        """Return whether its events are the first ones, each once."""
        return self.numbers == list(range(1, len(self.numbers) + 1))


class ResumingClient:
    """Reads one stream after another, and takes them up again where they ended early."""

    _numbers = itertools.count(1)

    def __init__(
        self, addresses: Sequence[str], streams: list[VersionedStream], rng: random.Random
    ) -> None:
        """Record the streams in `streams`."""
        self._addresses = addresses
        self._streams = streams
        self._rng = rng

    async def run(self, pause: float) -> None:
        """Read streams about `pause` seconds apart until cancelled."""
        while True:
            await self._read_stream()
            await asyncio.sleep(pause * self._rng.uniform(0.5, 1.5))

    async def _read_stream(self) -> None:
        stream = VersionedStream("", time.monotonic())
        self._streams.append(stream)
        for number in range(1 + _MAX_TAKE_UPS):
            leaves = self._rng.random() < _LEAVE_PROBABILITY
            leave_after = self._rng.randint(1, EVENT_COUNT - 1) if leaves else EVENT_COUNT
            gateway = self._rng.choice(self._addresses)
            attempt = f"s{next(self._numbers)}"
            events, sent_at = len(stream.numbers), time.monotonic()
            status = await self._read_attempt(stream, attempt, gateway, leave_after)
            has_events = len(stream.numbers) > events
            if number == 0:
                stream.has_begun_at_once = has_events
            elif events:
                version = stream.versions[0]
                stream.take_ups.append(
                    TakeUp(attempt, gateway, sent_at, version, status, has_events)
                )
            if len(stream.numbers) >= EVENT_COUNT:
                return
            if time.monotonic() - stream.sent_at > _DEADLINE_SECONDS:
                return
            away = self._rng.uniform(0.0, _MAX_AWAY_SECONDS)
            await asyncio.sleep(away if has_events else _REFUSED_PAUSE_SECONDS)

    async def _read_attempt(
        self, stream: VersionedStream, attempt: str, gateway: str, leave_after: int
    ) -> int:
        """Read events until the stream ends or the client leaves; return the status, 0 if none."""
        left = stream.sent_at + _DEADLINE_SECONDS - time.monotonic()
        headers = f"Deadline-Ms: {max(1, int(left * 1000))}\r\n"
        if stream.numbers:
            headers += f"Last-Event-Id: {stream.numbers[-1]}\r\nResumes: {stream.first_attempt}\r\n"
        host, _, port = gateway.partition(":")
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_bytes(attempt, headers, b"go on", f"{VERSIONED_PATH}x"))
            async with asyncio.timeout(_EVENT_TIMEOUT_SECONDS):
                head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split()[1])
            if status == 200:
                await self._read_events(reader, stream, attempt, leave_after)
            return status
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            if writer is not None:
                writer.close()

    async def _read_events(
        self,
        reader: asyncio.StreamReader,
        stream: VersionedStream,
        attempt: str,
        leave_after: int,
    ) -> None:
        pending, count = "", 0
        while count < leave_after:
            async with asyncio.timeout(_EVENT_TIMEOUT_SECONDS):
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                pending += (await reader.readexactly(size + 2))[:size].decode()
            if not size:
                return
            for match in list(_EVENT.finditer(pending)):
                stream.first_attempt = stream.first_attempt or attempt
                stream.numbers.append(int(match[1]))
                stream.versions.append(match[3])
                count += 1
                pending = pending[match.end() - match.start() :]


def version_violations(streams: list[VersionedStream]) -> list[str]:
    """Return the streams that have events of two versions, or events twice or out of order."""
    violations = []
    for stream in streams:
        attempts = ", ".join([stream.first_attempt, *(item.attempt for item in stream.take_ups)])
        if stream.is_mixed:
            violations.append(f"{attempts}: events of versions {_changes(stream.versions)}")
        if not stream.is_in_order:
            violations.append(f"{attempts}: events {stream.numbers}")
    return violations


def _changes(versions: list[str]) -> str:
    return " then ".join(f"{len(list(run))} of {name}" for name, run in itertools.groupby(versions))


@dataclass(frozen=True)
class VersionCounts:
    """What became of streams whose clients took them up again."""

    streams: int
    begun: int
    """Number of streams whose first attempt brought an event."""
    taken_up: int
    """Number of attempts to take a stream up while two engines of its version served."""
    went_on: int
    """Number of these that brought an event."""

    @property
    def begun_fraction(self) -> float:
        """Return the fraction of new streams that began."""
        return self.begun / max(1, self.streams)

    @property
    def went_on_fraction(self) -> float:
        """Return the fraction of streams that went on."""
        return self.went_on / max(1, self.taken_up)


class ServingVersions:
    """Number of engines that serve at each version, over time."""

    def __init__(self) -> None:
        self._counts: list[tuple[float, dict[str, int]]] = []

    def note(self, counts: dict[str, int], now: float) -> None:
        """Record how many engines serve at each version from `now` on."""
        self._counts.append((now, counts))

    def has_two(self, version: str, since: float, until: float) -> bool:
        """Return whether two engines of a version served throughout."""
        before = [counts for at, counts in self._counts if at <= since][-1:]
        during = [counts for at, counts in self._counts if since < at <= until]
        return all(counts.get(version, 0) >= 2 for counts in [*before, *during])


def count_versions(streams: list[VersionedStream], serving: ServingVersions) -> VersionCounts:
    """Return what became of the streams; a view of the engines may be a moment old."""
    due = [
        item
        for stream in streams
        for item in stream.take_ups
        if serving.has_two(item.version, item.at - _VIEW_SECONDS, item.at + _VIEW_SECONDS)
    ]
    return VersionCounts(
        streams=len(streams),
        begun=sum(stream.has_begun_at_once for stream in streams),
        taken_up=len(due),
        went_on=sum(item.went_on for item in due),
    )
