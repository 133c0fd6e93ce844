"""Incarnations of upstreams that have ended although the view still lists them.

An upstream may restart in place, at its address and under its name, with another software version,
and its entry says so only once the store answers. What reaches its address meanwhile may come from
either version. An address that refuses connections shows that its incarnation has ended; every
gateway is told, as the next connection may succeed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.links.origin_messages import EndedNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.routing.upstream import Upstream
    from lotushill.views.upstream_view import UpstreamView

_MAX_RECORDS = 4096
"""Maximum number of records: several times the upstreams of the largest fleet."""
_SENDS = 2
"""Number of times that gateways are told: one datagram may be lost."""
_REFUTED_SECONDS = 6.0
"""Time for which the store has to confirm an entry until its incarnation counts as running.

The entry of an upstream that has ended lapses within three of its heartbeats, and that of one that
has restarted is replaced."""


@dataclass
class _Record:
    confirmed_since: float
    sends_left: int


class EndedIncarnations:
    """Keeps, tells and forgets which listed incarnations have ended."""

    def __init__(
        self,
        upstreams: UpstreamView,
        broadcast: Callable[[EndedNews], None],
        view_is_confirmed: Callable[[], bool],
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        """Tell other gateways by `broadcast`.

        `view_is_confirmed` returns whether the store has recently confirmed the view of upstreams.
        """
        self._upstreams = upstreams
        self._broadcast = broadcast
        self._view_is_confirmed = view_is_confirmed
        self._clock = clock
        self._log = log
        self._records: dict[str, _Record] = {}

    def __len__(self) -> int:
        """Return the number of incarnations that are listed and have ended."""
        return len(self._records)

    def has_ended(self, upstream: Upstream) -> bool:
        """Return whether another incarnation may run at the address of an upstream."""
        return upstream.id in self._records

    def note_refused(self, upstream: Upstream) -> None:
        """Record that the address of an upstream refuses connections."""
        self._add(upstream.id, _SENDS, "refused")

    def receive(self, update: EndedNews) -> None:
        """Record what another gateway has found."""
        for name in update.upstreams:
            if self._upstreams.find(name) is not None:
                self._add(name, 0, "peer")

    def _add(self, name: str, sends: int, source: str) -> None:
        if name in self._records:
            return
        self._records[name] = _Record(self._clock(), sends)
        self._log.note("upstream.ended", upstream=name, source=source)
        while len(self._records) > _MAX_RECORDS:
            del self._records[next(iter(self._records))]

    def process_due(self) -> None:
        """Tell other gateways, and forget incarnations that are gone or run after all."""
        now, is_confirmed = self._clock(), self._view_is_confirmed()
        for name, record in list(self._records.items()):
            if not is_confirmed:
                record.confirmed_since = now
            is_refuted = now - record.confirmed_since >= _REFUTED_SECONDS
            if is_refuted or self._upstreams.find(name) is None:
                del self._records[name]
        due = [name for name, record in self._records.items() if record.sends_left]
        if due:
            self._broadcast(EndedNews(tuple(due)))
        for name in due:
            self._records[name].sends_left -= 1
