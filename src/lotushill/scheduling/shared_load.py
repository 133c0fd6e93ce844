"""Replicates load: publishes this gateway's running requests and merges those of others."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.placement.messages import Began
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Load
from lotushill.placement.messages import Outcome
from lotushill.placement.messages import Paced

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from lotushill.placement.engine_pace import LongTermPace
    from lotushill.placement.fleet import Fleet
    from lotushill.placement.messages import Placed
    from lotushill.routing.service import Service

_EXPIRY_MARGIN_SECONDS = 1.0
"""Margin after twice the expected run time until a request expires whose gateway has been
silent."""
_SNAPSHOT_INTERVAL_SECONDS = 0.5
"""Interval between two snapshots of one gateway in a small fleet."""
_MAX_SNAPSHOTS_PER_SECOND = 40.0
"""Maximum rate of the snapshots of all gateways together, so that receiving them costs the same in
a large fleet."""
_SNAPSHOTS_PER_FULL_ONE = 6
"""Number of snapshots after which one repeats all starts, for gateways that joined later."""
_MAX_EMPTY_SNAPSHOTS = 3
"""Number of empty snapshots that a gateway without requests sends before it stops."""
_MAX_PLACED_PER_DATAGRAM = 16
"""Maximum number of started requests in one datagram."""
_MAX_NUMBERS_PER_DATAGRAM = 110
"""Maximum number of request numbers in one datagram; each is sent twice if all have begun."""
_MIN_REPEATED_AGE_SECONDS = 0.001
"""Minimum age in seconds of a repeated start. An age above 0 marks the repetition, so that
receivers do not count its prefill in the mix of prompts twice."""
_SNAPSHOT_TRANSIT_SECONDS = 0.3
"""Age up to which a request may be missing from a snapshot that was already in transit."""


class SharedLoad:
    """Keeps the fleet model consistent over all gateways; pure, with the clock passed in."""

    def __init__(
        self,
        name: str,
        fleet: Fleet,
        clock: Callable[[], float],
        service_of: Callable[[str], Service | None],
        publish: Callable[[Load], None],
        is_same_hall: Callable[[str], bool] = lambda _: True,
    ) -> None:
        """Update `fleet` by load updates; `service_of` finds an upstream's service by its id.

        `is_same_hall` returns whether a gateway is in the same hall.
        """
        self._name = name
        self._fleet = fleet
        self._clock = clock
        self._service_of = service_of
        self._publish = publish
        self._is_same_hall = is_same_hall
        self._own: dict[int, tuple[Placed, float]] = {}
        self._others: dict[str, dict[int, float]] = {}
        self._snapshot_count = 0
        self._snapshot_due_at = float("-inf")
        self._last_snapshot_at = float("-inf")
        self._previous_snapshot_at = float("-inf")
        """When the last snapshot but one was sent: requests started since are repeated."""
        self._empty_snapshots = 0
        self._expires_at: dict[int, float] = {}

    def start(self, placed: Placed, service: Service, announced: bool = False) -> None:
        """Add a request of this gateway; publish it unless the scheduler that placed it has."""
        if placed.request in self._own:
            return
        now = self._clock()
        self._own[placed.request] = (placed, now)
        self._fleet.start(placed, service, now)
        self._fleet.pace(service.name).note_prefill(placed.prefill_tokens)
        if not announced:
            self._publish(Load(self._name, False, placed=(placed,)))

    def start_for(self, sender: str, placed: Placed, service: Service) -> None:
        """Add a request that this scheduler placed for another gateway, and publish it."""
        self._add(placed, self._others.setdefault(sender, {}), self._clock(), service)
        self._publish(Load(sender, False, placed=(placed,)))

    def begin(self, request: int, seconds: float) -> None:
        """Note the first event of a request of this gateway, `seconds` after it was sent."""
        known = self._own.get(request)
        if known is not None:
            began = Began(request, seconds)
            self._own[request] = (replace(known[0], began=True), known[1])
            self._fleet.begin(began, self._clock())
            self._publish(Load(self._name, False, began=(began,)))

    def note_paced(self, request: int, pause: float) -> None:
        """Publish a typical pause of a stream of this gateway, which sees all of its pauses."""
        if request in self._own:
            self._publish(Load(self._name, False, paced=(Paced(request, pause),)))

    def end(self, request: int, outcome: Outcome = Outcome.UNKNOWN, seconds: float = 0.0) -> None:
        """Remove a request of this gateway that ran for `seconds`, and publish its end."""
        if self._own.pop(request, None) is not None:
            ended = Ended(request, outcome, seconds)
            self._fleet.end(ended, self._clock())
            self._publish(Load(self._name, False, ended=(ended,)))

    def give_up(self, request: int) -> None:
        """Publish that a request that was placed for this gateway is not sent."""
        self._publish(Load(self._name, False, ended=(Ended(request),)))

    def due_snapshots(self, gateways: int) -> list[Load]:
        """Return the snapshot due now in a fleet of `gateways`, empty if none is due."""
        now = self._clock()
        if now < self._snapshot_due_at:
            return []
        self._snapshot_due_at = now + max(
            _SNAPSHOT_INTERVAL_SECONDS, gateways / _MAX_SNAPSHOTS_PER_SECOND
        )
        return self.snapshot()

    def all_running(self) -> list[Load]:
        """Return all requests known to run, for a gateway that becomes a scheduler."""
        now = self._clock()
        loads = [
            _load_update(self._name, [(item, since) for item, since in self._own.values()], now)
        ]
        for sender, started_at in self._others.items():
            running = [
                (placed, since)
                for request, since in started_at.items()
                if (placed := self._fleet.running_request(request)) is not None
            ]
            loads.append(_load_update(sender, running, now))
        return [load for load in loads if load.placed]

    def paces(self) -> list[LongTermPace]:
        """Return the known paces of upstreams, for a gateway that becomes a scheduler."""
        return self._fleet.engine_paces.known_paces()

    def merge_paces(self, paces: Sequence[LongTermPace]) -> None:
        """Merge paces from another scheduler, for upstreams whose pace is unknown here."""
        for reported in paces:
            service = self._service_of(reported.upstream)
            if service is not None:
                self._fleet.adopt_reported_pace(reported, service.name)

    def snapshot(self) -> list[Load]:
        """Return a snapshot of this gateway's requests, which repairs what others have missed.

        The numbers of all its requests end those that others still count; the ones that started
        recently are sent again, in case the update on their start was lost.
        """
        now = self._clock()
        self._snapshot_count += 1
        is_full = self._snapshot_count % _SNAPSHOTS_PER_FULL_ONE == 0
        recent = [
            replace(item, age=now - since, part_ids=(), part_tokens=())
            for item, since in self._own.values()
            if is_full or since >= self._previous_snapshot_at
        ]
        self._previous_snapshot_at, self._last_snapshot_at = self._last_snapshot_at, now
        began = tuple(Began(number) for number, (item, _) in self._own.items() if item.began)
        loads = [
            Load(self._name, False, placed=tuple(recent[start : start + _MAX_PLACED_PER_DATAGRAM]))
            for start in range(0, len(recent), _MAX_PLACED_PER_DATAGRAM)
        ]
        if self._own:
            self._empty_snapshots = 0
        elif self._empty_snapshots >= _MAX_EMPTY_SNAPSHOTS:
            return []
        else:
            self._empty_snapshots += 1
        if len(self._own) <= _MAX_NUMBERS_PER_DATAGRAM:
            # Only one datagram can carry the complete list: a part must not be taken for all.
            loads.append(Load(self._name, True, began=began, running=tuple(self._own)))
        return loads

    def receive(self, load: Load) -> None:
        """Merge a load update of another gateway."""
        if load.sender == self._name:
            return
        now = self._clock()
        started_at = self._others.setdefault(load.sender, {})
        for placed in load.placed:
            self._add(placed, started_at, now)
        for began in load.began:
            self._fleet.begin(began, now)
        for paced in load.paced:
            self._fleet.note_paced(paced, now)
        for ended in load.ended:
            self._remove(ended, started_at, self._is_same_hall(load.sender))
        if load.whole:
            reported = set(load.running)
            for request, since in list(started_at.items()):
                if request not in reported and now - since > _SNAPSHOT_TRANSIT_SECONDS:
                    self._remove(Ended(request), started_at)

    def expire(self) -> None:
        """Drop requests whose end was never received, long after they should have ended."""
        now = self._clock()
        for started_at in self._others.values():
            for request in [item for item in started_at if self._expires_at[item] < now]:
                self._remove(Ended(request), started_at)

    def drop_sender(self, name: str) -> None:
        """Drop all requests of a gateway that has left."""
        started_at = self._others.pop(name, {})
        for request in list(started_at):
            self._remove(Ended(request), started_at)

    def _add(
        self,
        placed: Placed,
        started_at: dict[int, float],
        now: float,
        known_service: Service | None = None,
    ) -> None:
        if placed.request in started_at:
            if placed.began:
                self._fleet.begin(Began(placed.request), now)
            return
        service = known_service or self._service_of(placed.upstream)
        if service is None:
            return
        started_at[placed.request] = now
        self._expires_at[placed.request] = now + 2 * placed.seconds + _EXPIRY_MARGIN_SECONDS
        self._fleet.start(placed, service, now)
        if not placed.age:
            self._fleet.pace(service.name).note_prefill(placed.prefill_tokens)

    def _remove(self, ended: Ended, started_at: dict[int, float], same_hall: bool = True) -> None:
        started_at.pop(ended.request, None)
        self._expires_at.pop(ended.request, None)
        self._fleet.end(ended, self._clock(), same_hall)


def _load_update(sender: str, running: list[tuple[Placed, float]], now: float) -> Load:
    """Return a load update on running requests, given with the times of their starts."""
    placed = tuple(
        replace(item, age=max(_MIN_REPEATED_AGE_SECONDS, now - since)) for item, since in running
    )
    return Load(sender, False, placed=placed)
