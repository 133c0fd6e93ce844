"""Runs the admission queue of one gateway: polls for free slots and answers queued requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import anyio

from lotushill.links.messages import WaitingNews
from lotushill.placement.choice import Choice
from lotushill.waiting.entry import Queued
from lotushill.waiting.slot_turns import QUEUE_UPDATE_INTERVAL_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from lotushill.event_log import EventLog
    from lotushill.placement.choice import NoChoice
    from lotushill.routing.service import Service
    from lotushill.routing.upstream import Upstream
    from lotushill.waiting.admission_queue import AdmissionQueue
    from lotushill.waiting.entry import QueueEntry

    AnswerCallback = Callable[[QueueEntry, Choice | NoChoice, float], None]

POLL_INTERVAL_SECONDS = 0.01
"""Interval between two polls while requests are queued. An engine of 16 slots frees a slot in ten
times as long."""
_AFTER_OWN_PLACEMENT_SECONDS = 0.001
"""Pause after a request of this gateway itself was placed: it is added to the model only when it is
sent."""
_LOG_INTERVAL_SECONDS = 1.0
"""Minimum interval between two log lines on one service."""
_MAX_TIER = 255
"""Highest tier that an update can hold: less urgent tiers are sent as this one."""


class QueueRunner:
    """Connects the admission queue to the clock, to other schedulers and to the callers."""

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
        """Run the queue of the gateway `name`; `broadcast` sends updates to other schedulers."""
        self._name = name
        self.queue = queue
        self._service_named = service_named
        self._upstreams_of = upstreams_of
        self._broadcast = broadcast
        self._clock = clock
        self._log = log
        self._callbacks: dict[int, AnswerCallback] = {}
        self._has_entries = asyncio.Event()
        self._last_updates: dict[str, float] = {}
        """Times of the last updates by service, for services whose last update was not empty."""
        self._last_logged: dict[str, float] = {}

    def place(
        self,
        entry: QueueEntry,
        service: Service,
        upstreams: Sequence[Upstream],
        answer: AnswerCallback,
    ) -> Choice | NoChoice | Queued:
        """Return a request's upstream, `Queued` if it was queued, or the reason for its refusal.

        A queued request is answered later through `answer`, which adds it to the model if it was
        placed.
        """
        decision = self.queue.place(entry, service, upstreams, self._clock())
        if isinstance(decision, Queued):
            self._callbacks[entry.key] = answer
            self._has_entries.set()
        else:
            self._callbacks.pop(entry.key, None)
        return decision

    def drop(self, key: int) -> None:
        """Drop a request that is no longer to be queued."""
        self.queue.requests.drop(key)
        self._callbacks.pop(key, None)

    def drop_gateway(self, name: str) -> None:
        """Drop the queued requests and the queue update of a gateway that has left."""
        self.queue.remote_queues.drop(name)
        for key in [entry.key for entry in self.queue.requests if entry.gateway == name]:
            self.drop(key)

    async def run(self) -> None:
        """Poll for free slots while requests are queued; never returns."""
        while True:
            await self._has_entries.wait()
            pause = self.process_due()
            if not len(self.queue.requests):
                self._has_entries.clear()
            await anyio.sleep(pause)

    def process_due(self) -> float:
        """Place and refuse the requests that are due; return the seconds until the next poll."""
        now = self._clock()
        for key in self.queue.requests.expire(now):
            self._callbacks.pop(key, None)
        pause = POLL_INTERVAL_SECONDS
        for name in self.queue.requests.services():
            service = self._service_named(name)
            if service is not None:
                pause = min(pause, self._process_service(service, now))
        self._send_due_updates(now)
        return pause

    def _process_service(self, service: Service, now: float) -> float:
        for entry, decision in self.queue.due(service, self._upstreams_of(service.name), now):
            answer = self._callbacks.pop(entry.key, None)
            if answer is None:
                continue
            answer(entry, decision, now)
            if not entry.gateway and isinstance(decision, Choice):
                return _AFTER_OWN_PLACEMENT_SECONDS
        return POLL_INTERVAL_SECONDS

    def _send_due_updates(self, now: float) -> None:
        """Send the queue lengths to other schedulers, and an empty queue once."""
        waiting = self.queue.requests.services()
        for name in {*waiting, *self._last_updates}:
            if (
                now - self._last_updates.get(name, float("-inf")) < QUEUE_UPDATE_INTERVAL_SECONDS
                and name in waiting
            ):
                continue
            tiers = self.queue.requests.tiers(name)
            capped_tiers = tuple(min(_MAX_TIER, tier) for tier in tiers)
            self._broadcast(WaitingNews(self._name, name, capped_tiers, tuple(tiers.values())))
            self._log_queue(name, now)
            if tiers:
                self._last_updates[name] = now
            else:
                self._last_updates.pop(name, None)

    def receive(self, update: WaitingNews) -> None:
        """Store the queue update of another scheduler."""
        tiers = {tier: count for tier, count in zip(update.tiers, update.counts) if count}
        self.queue.remote_queues.set_counts(update.sender, update.service, tiers, self._clock())

    def _log_queue(self, service: str, now: float) -> None:
        if (
            self._log is None
            or now - self._last_logged.get(service, float("-inf")) < _LOG_INTERVAL_SECONDS
        ):
            return
        self._last_logged[service] = now
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
