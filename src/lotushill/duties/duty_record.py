"""The stored record of the duties: their holder, and the reports and orders to be sent."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

Counts = dict[str, int]
"""Requests by team."""
WindowCounts = dict[int, Counts]
"""Requests by team for each window number."""


@dataclass(frozen=True)
class Checkpoint:
    """The counts that the holder had at some time for windows that are not recorded yet.

    The checkpoint survives a simultaneous loss of power of all hosts.
    """

    at: float = 0.0
    """True time of the checkpoint in seconds since 1970."""
    windows: WindowCounts = field(default_factory=dict)


@dataclass(frozen=True)
class StandingOrders:
    """The numbers of engines that were last ordered in one hall."""

    ordinary: int
    reclaimable: int


@dataclass(frozen=True)
class DutyRecord:
    """The record of the duties, an object of the store that is changed only at its revision."""

    holder: str
    """Name of the gateway that holds the duties, or empty after the last one handed over."""
    life: int
    """Incarnation of the holder, which identifies its process."""
    beat: int = 0
    """Counter that increases with every write, so that each write changes the object."""
    settled: int = -1
    """The last window whose counts are recorded; recorded counts never change."""
    reports: WindowCounts = field(default_factory=dict)
    """Counts of recorded windows that may not have been reported yet."""
    checkpoint: Checkpoint = Checkpoint()
    orders: dict[str, StandingOrders] = field(default_factory=dict)
    """Engine orders by service and hall; the key is `service/hall`."""
    bases: dict[str, int] = field(default_factory=dict)
    """Number of engines of each service that existed before anything was ordered."""

    def is_held_by(self, holder: str, incarnation: int) -> bool:
        """Return whether a given process of a given gateway holds the duties."""
        return self.holder == holder and self.life == incarnation


def to_spec(record: DutyRecord) -> dict[str, Any]:
    """Return a record as plain data for the store."""
    return {
        "holder": record.holder,
        "life": record.life,
        "beat": record.beat,
        "settled": record.settled,
        "reports": _to_plain(record.reports),
        "checkpoint": {"at": record.checkpoint.at, "windows": _to_plain(record.checkpoint.windows)},
        "orders": {
            place: [orders.ordinary, orders.reclaimable] for place, orders in record.orders.items()
        },
        "bases": record.bases,
    }


def from_spec(spec: Any) -> DutyRecord | None:
    """Return the record that plain data represents, or None if the data cannot be read."""
    try:
        checkpoint = spec["checkpoint"]
        return DutyRecord(
            holder=str(spec["holder"]),
            life=int(spec["life"]),
            beat=int(spec["beat"]),
            settled=int(spec["settled"]),
            reports=_from_plain(spec["reports"]),
            checkpoint=Checkpoint(float(checkpoint["at"]), _from_plain(checkpoint["windows"])),
            orders={
                str(place): StandingOrders(int(ordinary), int(reclaimable))
                for place, (ordinary, reclaimable) in spec["orders"].items()
            },
            bases={str(name): int(count) for name, count in spec["bases"].items()},
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError):
        return None


def _to_plain(windows: WindowCounts) -> dict[str, Counts]:
    return {str(window): counts for window, counts in windows.items()}


def _from_plain(value: Any) -> WindowCounts:
    return {
        int(window): {str(team): int(count) for team, count in counts.items()}
        for window, counts in value.items()
    }
