"""Request rates that upstreams accept from all gateways together, by their newest statements."""

from __future__ import annotations

import math
from dataclasses import dataclass

NO_LIMIT = math.inf
_RETENTION_SECONDS = 30.0
"""Time for which the end of a limit is kept, and a limit of an upstream that is in no view: longer
than gossip is in flight, and than an entry is missing when it expires."""


@dataclass(frozen=True)
class LimitReport:
    """The limit that an upstream stated in one answer, at some moment between two times."""

    rate: float
    """Requests per second from all gateways together, `NO_LIMIT` if the answer stated none."""
    sent_at: float
    """When the request was sent: the earliest time of the statement."""
    received_at: float
    """When its answer was received: the latest time of the statement."""


class StatedLimits:
    """The newest limit report of each upstream's incarnation. Pure, with the clock passed in.

    Upstreams do not number their statements, so the order of two reports is known only if their
    times do not overlap. Of two that overlap the lower rate applies: a later answer settles it.
    """

    def __init__(self) -> None:
        self._reports: dict[str, LimitReport] = {}

    def merge(self, upstream_id: str, report: LimitReport) -> bool:
        """Merge a report of this or another gateway; return whether the known rate changed.

        Nothing is stored for an upstream that never stated a limit.
        """
        known = self._reports.get(upstream_id)
        if known is None:
            if report.rate < NO_LIMIT:
                self._reports[upstream_id] = report
                return True
            return False
        if not _replaces(report, known):
            return False
        self._reports[upstream_id] = report
        return report.rate != known.rate

    def rate(self, upstream_id: str) -> float:
        """Return the requests per second that an upstream accepts, `NO_LIMIT` if unlimited."""
        known = self._reports.get(upstream_id)
        return known.rate if known is not None else NO_LIMIT

    def report(self, upstream_id: str) -> LimitReport | None:
        """Return the newest report of an upstream, None if it never stated a limit."""
        return self._reports.get(upstream_id)

    def reports(self) -> dict[str, LimitReport]:
        """Return all stored reports, including those that ended a limit."""
        return dict(self._reports)

    def limited_rates(self) -> dict[str, float]:
        """Return the rates of all upstreams that have a limit."""
        return {name: item.rate for name, item in self._reports.items() if item.rate < NO_LIMIT}

    @property
    def empty(self) -> bool:
        """Whether no report is stored."""
        return not self._reports

    def retain_only(self, known: set[str], now: float) -> None:
        """Drop ended limits, and limits of upstreams that are in no view, once they are old."""
        for upstream_id, report in list(self._reports.items()):
            is_obsolete = report.rate == NO_LIMIT or upstream_id not in known
            if is_obsolete and now - report.received_at > _RETENTION_SECONDS:
                del self._reports[upstream_id]


def finite_or_none(rate: float | None) -> float | None:
    """Return a rate in the form that log lines can hold: None if there is no limit."""
    return rate if rate is not None and rate < NO_LIMIT else None


def _replaces(report: LimitReport, known: LimitReport) -> bool:
    """Return whether a report replaces the known one."""
    if report.rate == known.rate:
        return report.received_at > known.received_at
    if report.sent_at >= known.received_at:
        return True
    overlap = known.sent_at < report.received_at
    return overlap and report.rate < known.rate
