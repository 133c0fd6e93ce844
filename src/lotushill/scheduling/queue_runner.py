"""Keeps the line of one gateway moving: looks for room, and answers whoever waits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import anyio

from lotushill.links.messages import WaitingNews
from lotushill.placement.choice import Choice
from lotushill.waiting.entry import Queued
from lotushill.waiting.slot_turns import QUEUE_REPORT_INTERVAL_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from lotushill.event_log import EventLog
    from lotushill.placement.choice import NoChoice
    from lotushill.routing.service import Service
    from lotushill.routing.upstream import Upstream
    from lotushill.waiting.admission_queue import AdmissionQueue
    from lotushill.waiting.entry import QueueEntry

    Answer = Callable[[QueueEntry, Choice | NoChoice, float], None]

POLL_INTERVAL_SECONDS = 0.01
"""Between two looks while requests wait: an engine of 16 slots frees one in ten times as long."""
_SOON_SECONDS = 0.001
"""After one of this gateway's own was placed, which counts itself in as it is sent."""
_LOG_SECONDS = 1.0
"""Between two lines of the log on one service."""
_LAST_TIER = 255
"""What is less urgent is told as this tier."""


class QueueRunner:
    """Joins the line to the clock, to other schedulers and to those who wait."""

    def __init__(
        self,
        name: str,
        queue: AdmissionQueue,
        service_named: Callable[[str], Service | None],
        upstreams_of: Callable[[str], Sequence[Upstream]],
        broadcast: Callable[[WaitingNews], None],
        clock: Callable[[], float],
        log: EventLog | None = None,
    ) -> None:
        """Keep the line of the gateway `name`; `tell` tells the other schedulers."""
        self._name = name
        self.queue = queue
        self._service_named = service_named
        self._upstreams_of = upstreams_of
        self._tell = broadcast
        self._clock = clock
        self._log = log
        self._answers: dict[int, Answer] = {}
        self._something = asyncio.Event()
        self._told: dict[str, float] = {}
        """Services of which others were told that requests wait, and when."""
        self._logged: dict[str, float] = {}

    def place(
        self, entry: QueueEntry, service: Service, upstreams: Sequence[Upstream], answer: Answer
    ) -> Choice | NoChoice | Queued:
        """Return where a request goes, that it waits, or why it does neither.

        One that waits is answered later through `answer`, which counts it in where it is placed.
        """
        found = self.queue.place(entry, service, upstreams, self._clock())
        if isinstance(found, Queued):
            self._answers[entry.key] = answer
            self._something.set()
        else:
            self._answers.pop(entry.key, None)
        return found

    def drop(self, key: int) -> None:
        """Forget a request that waits no longer."""
        self.queue.requests.drop(key)
        self._answers.pop(key, None)

    def drop_gateway(self, name: str) -> None:
        """Forget what a gateway asked for that is gone."""
        self.queue.remote_queues.drop(name)
        for key in [entry.key for entry in self.queue.requests if entry.gateway == name]:
            self.drop(key)

    async def run(self) -> None:
        """Look for room for ever, while requests wait."""
        while True:
            await self._something.wait()
            pause = self.process_due()
            if not len(self.queue.requests):
                self._something.clear()
            await anyio.sleep(pause)

    def process_due(self) -> float:
        """Place and refuse what is due, and return after how long to look again."""
        now = self._clock()
        for key in self.queue.requests.expire(now):
            self._answers.pop(key, None)
        pause = POLL_INTERVAL_SECONDS
        for name in self.queue.requests.services():
            service = self._service_named(name)
            if service is not None:
                pause = min(pause, self._look_at(service, now))
        self._tell_due(now)
        return pause

    def _look_at(self, service: Service, now: float) -> float:
        for entry, found in self.queue.due(service, self._upstreams_of(service.name), now):
            answer = self._answers.pop(entry.key, None)
            if answer is None:
                continue
            answer(entry, found, now)
            if not entry.gateway and isinstance(found, Choice):
                return _SOON_SECONDS
        return POLL_INTERVAL_SECONDS

    def _tell_due(self, now: float) -> None:
        """Tell other schedulers how many wait, and once that none does any longer."""
        waiting = self.queue.requests.services()
        for name in {*waiting, *self._told}:
            if (
                now - self._told.get(name, float("-inf")) < QUEUE_REPORT_INTERVAL_SECONDS
                and name in waiting
            ):
                continue
            tiers = self.queue.requests.tiers(name)
            told = tuple(min(_LAST_TIER, tier) for tier in tiers)
            self._tell(WaitingNews(self._name, name, told, tuple(tiers.values())))
            self._note(name, now)
            if tiers:
                self._told[name] = now
            else:
                self._told.pop(name, None)

    def receive(self, news: WaitingNews) -> None:
        """Take in how many wait at another scheduler."""
        tiers = {tier: count for tier, count in zip(news.tiers, news.counts) if count}
        self.queue.remote_queues.set_counts(news.sender, news.service, tiers, self._clock())

    def _note(self, service: str, now: float) -> None:
        if self._log is None or now - self._logged.get(service, float("-inf")) < _LOG_SECONDS:
            return
        self._logged[service] = now
        self._log.note(
            "waiting.line",
            service=service,
            waiting=self.queue.requests.count(service),
            tiers=self.queue.requests.tiers(service),
            bytes=self.queue.requests.bytes,
            held=self.queue.held,
            placed=self.queue.placed,
            given_up=self.queue.given_up,
        )
