"""Tells the other gateways beside which parts of prompts upstreams failed, and what clears them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.quarantine_messages import BegunPart
from lotushill.links.quarantine_messages import SuspectState

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.quarantine.failure_watch import InterruptedRequest
    from lotushill.quarantine.quarantine import Quarantine
    from lotushill.quarantine.suspected_part import SuspectedPart
    from lotushill.quarantine.update_schedule import UpdateSchedule
    from lotushill.scheduling.request import Request

_MAX_UPSTREAMS_SENT = 8
"""Maximum number of failed upstreams sent with a part, several of which may count as one round."""


class PartGossip:
    """Connects the request path and the other gateways to the suspected parts."""

    def __init__(
        self,
        quarantine: Quarantine,
        schedule: UpdateSchedule,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        """Schedule updates with `schedule`, whose owner sends them."""
        self._quarantine = quarantine
        self._schedule = schedule
        self._log = log
        self._clock = clock

    def held_labels(self, request: Request) -> list[str]:
        """Return the names of the parts of a request that are held."""
        now = self._clock()
        return [
            part.label
            for part in request.shared_parts
            if self._quarantine.is_held(part.identity, now)
        ]

    def has_doubtful(self, request: Request) -> bool:
        """Return whether several upstreams failed beside a part that was never begun."""
        parts = self._quarantine.parts
        return any(parts.is_doubtful(part.identity) for part in request.shared_parts)

    def record_begun(self, request: Request) -> bool:
        """Record a first event; return whether an update on it was scheduled."""
        now, is_scheduled = self._clock(), False
        for part in request.shared_parts:
            if self._quarantine.parts.record_local_event(part.identity, now):
                self._schedule.schedule_begun(part.identity, now)
                is_scheduled = True
        return is_scheduled

    def record_failure(self, interrupted: InterruptedRequest) -> None:
        """Record the failure beside each part of the prompt of a request without an event."""
        now = self._clock()
        for part in interrupted.shared_parts:
            if self._quarantine.record_part_failure(
                part, interrupted.upstream, interrupted.at, now
            ):
                self._schedule.schedule_failure(part.identity, now)
            self.schedule_begun(part.identity)

    def schedule_begun(self, identity: bytes) -> None:
        """Schedule an update if this gateway knows an event that may clear a failure."""
        part = self._quarantine.parts.find(identity)
        if part is not None and part.has_untold_event:
            self._schedule.schedule_begun(identity, self._clock())

    def receive_begun(self, begun: BegunPart) -> None:
        """Record an event that a peer tells; do not tell of an older one."""
        now, parts = self._clock(), self._quarantine.parts
        was_held = self._quarantine.is_held(begun.identity, now)
        parts.record_peer_event(begun.identity, now - begun.age)
        if was_held and not self._quarantine.is_held(begun.identity, now):
            self._log.note("quarantine.cleared", identity=begun.identity.hex())
        part = parts.find(begun.identity)
        if part is not None and not part.has_untold_event:
            self._schedule.cancel_begun(begun.identity)

    def judge(self) -> None:
        """Judge the parts that are due; log and schedule the verdicts."""
        now = self._clock()
        for identity in self._quarantine.judge_parts(now):
            self._schedule.schedule_failure(identity, now)
            part = self._quarantine.parts.find(identity)
            if part is not None:
                self._log.note(
                    "quarantine.part_held",
                    identity=identity.hex(),
                    part=part.path,
                    upstreams=list(part.failed_upstreams),
                )

    def pop_begun(self, identities: tuple[bytes, ...]) -> tuple[BegunPart, ...]:
        """Return the latest events of parts, which are told from now on."""
        now = self._clock()
        begun = []
        for identity in identities:
            part = self._quarantine.parts.find(identity)
            if part is not None and part.known_good:
                part.told_begun_at = part.begun_at
                begun.append(BegunPart(identity, now - part.begun_at))
        return tuple(begun)

    def state(self, identity: bytes, part: SuspectedPart) -> SuspectState:
        """Return the evidence against a part as other gateways receive it."""
        now = self._clock()
        latest = list(part.failed_upstreams.items())[-_MAX_UPSTREAMS_SENT:]
        return SuspectState(
            identity,
            part.team,
            part.path,
            tuple(upstream for upstream, _ in latest),
            tuple(now - at for _, at in latest),
            part.convicted,
        )
