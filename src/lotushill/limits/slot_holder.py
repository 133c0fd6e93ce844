"""Tells the owners of brittle upstreams which of their slots this gateway holds."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from lotushill.links.slot_messages import EndedSlot
from lotushill.links.slot_messages import HeldSlot
from lotushill.links.slot_messages import SlotEnd
from lotushill.links.slot_messages import SlotReport

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.limits.limit_owners import LimitOwners
    from lotushill.links.messages import MemberState
    from lotushill.routing.upstream import Upstream

_REPEAT_SECONDS = 0.1
"""Interval at which a report is repeated until it is acknowledged."""
_MAX_REPEATS = 30
"""Repetitions after which the owner counts as lost; the next one is sent all that is held."""
_MAX_HELD_PER_REPORT = 64
"""Attempts in one datagram."""


@dataclass
class _Hold:
    upstream: Upstream
    until: float
    owners: set[str] = field(default_factory=set)
    """Names of the owners that count this attempt."""


@dataclass
class _Unacknowledged:
    report: SlotReport
    owner: MemberState
    repeated_at: float
    repeats: int = 0


class SlotHolder:
    """Attempts of this gateway under way, and the reports on them that owners have not confirmed.

    Attempts are noted whether their upstream is brittle or not, since it may state so meanwhile.
    """

    def __init__(
        self,
        owners: LimitOwners,
        send: Callable[[SlotReport, MemberState], None],
        rng: random.Random,
    ) -> None:
        """Create it; `send` sends a report to an owner, which may be this gateway itself."""
        self._owners = owners
        self._send = send
        self._numbers = itertools.count(rng.getrandbits(48) << 14)
        self._holds: dict[int, _Hold] = {}
        self._unacknowledged: dict[int, _Unacknowledged] = {}

    def new_number(self) -> int:
        """Return a number that this gateway has not used, also not before it was restarted."""
        return next(self._numbers)

    def begin(self, number: int, upstream: Upstream, until: float, owner: str = "") -> None:
        """Note an attempt that ends by `until`; `owner` is the gateway that granted its slot."""
        self._holds[number] = _Hold(upstream, until, {owner} if owner else set())

    def end(self, number: int, how: SlotEnd, now: float) -> None:
        """Note the end of an attempt and tell the owners that count it.

        A rejection is told to all gateways that may become the owner: while views differ, several
        grant slots, and together they must not cause more than the upstream bears.
        """
        hold = self._holds.pop(number, None)
        if hold is None:
            return
        names = hold.owners
        if names and how is SlotEnd.REJECTED:
            names = names.union(self._owners.candidates(hold.upstream))
        for name in sorted(names):
            self.report_end(number, hold.upstream.id, name, how, now)

    def report_end(
        self, number: int, upstream_id: str, owner_name: str, how: SlotEnd, now: float
    ) -> None:
        """Tell one owner that a permit is given back."""
        owner = self._owners.find(owner_name)
        if owner is not None:
            ended = (EndedSlot(number, how),)
            self._post(
                SlotReport(self._owners.own_name, self.new_number(), upstream_id, ended=ended),
                owner,
                now,
            )

    def acknowledge(self, sequence: int) -> None:
        """Stop repeating a report."""
        self._unacknowledged.pop(sequence, None)

    def report_new(self, services: frozenset[str], now: float) -> None:
        """Report the attempts at upstreams of brittle services whose owner does not count them."""
        unknown: dict[str, list[int]] = {}
        owners: dict[str, MemberState] = {}
        for number, hold in self._holds.items():
            upstream = hold.upstream
            if upstream.service not in services:
                continue
            owner = owners.get(upstream.id)
            if owner is None:
                owner = owners[upstream.id] = self._owners.owner_of(upstream)
            if owner.name not in hold.owners:
                hold.owners.add(owner.name)
                unknown.setdefault(upstream.id, []).append(number)
        for upstream_id, numbers in unknown.items():
            for start in range(0, len(numbers), _MAX_HELD_PER_REPORT):
                held = tuple(
                    HeldSlot(number, max(0.0, self._holds[number].until - now))
                    for number in numbers[start : start + _MAX_HELD_PER_REPORT]
                )
                report = SlotReport(
                    self._owners.own_name, self.new_number(), upstream_id, held=held
                )
                self._post(report, owners[upstream_id], now)

    def repeat_due(self, now: float) -> None:
        """Repeat the reports that are not acknowledged yet."""
        for sequence, item in list(self._unacknowledged.items()):
            if now - item.repeated_at < _REPEAT_SECONDS:
                continue
            if item.repeats >= _MAX_REPEATS:
                del self._unacknowledged[sequence]
                continue
            item.repeats += 1
            item.repeated_at = now
            self._send(item.report, item.owner)

    def _post(self, report: SlotReport, owner: MemberState, now: float) -> None:
        if owner.name != self._owners.own_name:
            self._unacknowledged[report.sequence] = _Unacknowledged(report, owner, now)
        self._send(report, owner)
