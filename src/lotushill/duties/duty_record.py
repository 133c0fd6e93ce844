"""What the platform's store holds of the duties: who has them, and what was promised to be sent."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

Counts = dict[str, int]
"""Requests by team."""
WindowCounts = dict[int, Counts]
"""Requests by team for each window, by its number."""


@dataclass(frozen=True)
class Checkpoint:
    """What the holder knew at some moment of windows that are not recorded yet.

    It outlasts the loss of power of all hosts at once.
    """

    at: float = 0.0
    """Seconds of true time since 1970."""
    windows: WindowCounts = field(default_factory=dict)


@dataclass(frozen=True)
class StandingOrders:
    """How many engines were last ordered in one hall."""

    ordinary: int
    reclaimable: int


@dataclass(frozen=True)
class DutyRecord:
    """One object of the store, changed only at its revision."""

    holder: str
    """Name of the gateway, empty where the last one handed over."""
    life: int
    """Which of its processes."""
    beat: int = 0
    """Rises with every write, so that each of them changes something."""
    settled: int = -1
    """The last window whose counts are recorded; those of earlier ones never change."""
    reports: WindowCounts = field(default_factory=dict)
    """Recorded windows that may not have been reported yet."""
    checkpoint: Checkpoint = Checkpoint()
    orders: dict[str, StandingOrders] = field(default_factory=dict)
    """By service and hall, as `service/hall`."""
    bases: dict[str, int] = field(default_factory=dict)
    """How many engines of each service stood before anything was ordered."""

    def is_of(self, holder: str, life: int) -> bool:
        """Return whether one process of one gateway holds the duties."""
        return self.holder == holder and self.life == life


def to_spec(record: DutyRecord) -> dict[str, Any]:
    """Return a record as plain data."""
    return {
        "holder": record.holder,
        "life": record.life,
        "beat": record.beat,
        "settled": record.settled,
        "reports": _plain(record.reports),
        "checkpoint": {"at": record.checkpoint.at, "windows": _plain(record.checkpoint.windows)},
        "orders": {
            place: [orders.ordinary, orders.reclaimable] for place, orders in record.orders.items()
        },
        "bases": record.bases,
    }


def from_spec(spec: Any) -> DutyRecord | None:
    """Return the record of plain data, None for what cannot be read."""
    try:
        checkpoint = spec["checkpoint"]
        return DutyRecord(
            holder=str(spec["holder"]),
            life=int(spec["life"]),
            beat=int(spec["beat"]),
            settled=int(spec["settled"]),
            reports=_windows(spec["reports"]),
            checkpoint=Checkpoint(float(checkpoint["at"]), _windows(checkpoint["windows"])),
            orders={
                str(place): StandingOrders(int(ordinary), int(reclaimable))
                for place, (ordinary, reclaimable) in spec["orders"].items()
            },
            bases={str(name): int(count) for name, count in spec["bases"].items()},
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError):
        return None


def _plain(windows: WindowCounts) -> dict[str, Counts]:
    return {str(window): counts for window, counts in windows.items()}


def _windows(value: Any) -> WindowCounts:
    return {
        int(window): {str(team): int(count) for team, count in counts.items()}
        for window, counts in value.items()
    }
