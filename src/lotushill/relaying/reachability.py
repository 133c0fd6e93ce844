"""Keeps which upstreams this gateway cannot reach although another gateway does. Pure.

An upstream that no gateway reaches is not partitioned from this one but dead. Only attempts to open
a connection count: open connections may live on while new ones are refused.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

_PROBE_INTERVAL_SECONDS = 1.0
"""Interval between two attempts to reach a partitioned upstream directly."""
_MIN_PARTED_FROM_ALL = 2
"""Number of partitioned upstreams that stand for all of them if nothing is heard of any other."""
_HEARD_SECONDS = 0.5
"""Time after the last bytes of an upstream for which it counts as heard of."""


@dataclass(frozen=True)
class _Partitioned:
    next_probe_at: float


class Reachability:
    """Upstreams that are partitioned from this gateway, by address."""

    def __init__(self) -> None:
        self._partitioned: dict[str, _Partitioned] = {}
        self._heard_at = float("-inf")
        """When bytes last arrived on a direct connection to an upstream that is not partitioned."""
        self._partitioned_from_all_since: float | None = None
        self._next_probe_at = 0.0
        """Next probe of any upstream while this gateway is partitioned from all."""

    @property
    def partitioned_count(self) -> int:
        """Return the number of upstreams that are known to be partitioned."""
        return len(self._partitioned)

    @property
    def is_partitioned_from_all(self) -> bool:
        """Return whether this gateway seems to reach no upstream itself."""
        return self._partitioned_from_all_since is not None

    def is_partitioned(self, address: str) -> bool:
        """Return whether an upstream cannot be reached from here, as far as known."""
        return address in self._partitioned or self.is_partitioned_from_all

    def partitioned_seconds(self, now: float) -> float:
        """Return the seconds since a partition from all upstreams began, 0 if there is none."""
        since = self._partitioned_from_all_since
        return 0.0 if since is None else now - since

    def note_heard(self, address: str, now: float) -> bool:
        """Record bytes on a direct connection; return whether this ends a partition from all.

        An open connection to a partitioned upstream may live on, which says nothing of new ones.
        """
        if address in self._partitioned:
            return False
        self._heard_at = now
        return self._end_partition()

    def due_probes(self, now: float) -> list[str]:
        """Return the upstreams to which a direct connection is to be tried now.

        They count as probed. While all are partitioned, one of them stands for the others.
        """
        due = [
            address
            for address, partitioned in self._partitioned.items()
            if now >= partitioned.next_probe_at
        ]
        if self.is_partitioned_from_all:
            if now < self._next_probe_at or not due:
                return []
            self._next_probe_at = now + _PROBE_INTERVAL_SECONDS
            due = due[:1]
        for address in due:
            # The next probe is of another one, if there is any.
            partitioned = self._partitioned.pop(address)
            self._partitioned[address] = replace(
                partitioned, next_probe_at=now + _PROBE_INTERVAL_SECONDS
            )
        return due

    def note_reached(self, address: str) -> bool:
        """Record a direct connection; return whether this ends a partition from all upstreams.

        Other partitioned upstreams are probed at once.
        """
        self._partitioned.pop(address, None)
        for other in self._partitioned:
            self._partitioned[other] = _Partitioned(next_probe_at=0.0)
        return self._end_partition()

    def _end_partition(self) -> bool:
        """End a partition from all upstreams; return whether there was one."""
        was_partitioned_from_all = self.is_partitioned_from_all
        self._partitioned_from_all_since = None
        return was_partitioned_from_all

    def note_partitioned(self, address: str, now: float) -> bool:
        """Record that another gateway reaches an upstream that this one does not.

        Return whether this gateway counts as partitioned from all upstreams from now on.
        """
        next_probe_at = now + _PROBE_INTERVAL_SECONDS
        self._partitioned[address] = _Partitioned(next_probe_at)
        if self.is_partitioned_from_all or len(self._partitioned) < _MIN_PARTED_FROM_ALL:
            return False
        if now - self._heard_at < _HEARD_SECONDS:
            return False
        self._partitioned_from_all_since = now
        self._next_probe_at = next_probe_at
        return True

    def retain_only(self, known: set[str]) -> None:
        """Drop the upstreams whose addresses are not in `known`.

        With none left, nothing would be probed: all others count as reachable again.
        """
        for address in self._partitioned.keys() - known:
            del self._partitioned[address]
        if not self._partitioned:
            self._end_partition()
