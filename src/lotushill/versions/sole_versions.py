"""Versions that have been the only one of their service for some time."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.routing.upstream import Upstream


@dataclass(frozen=True)
class _Observed:
    versions: frozenset[str]
    since: float
    is_first: bool
    """Whether the service has had these versions in all views so far."""


class SoleVersions:
    """Follows which versions each service has had in the views of one gateway; pure."""

    def __init__(self) -> None:
        self._observed: dict[str, _Observed] = {}

    def observe(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Record the upstreams of a view, including those that are leaving.

        A service without upstreams keeps its versions: the next ones may be others.
        """
        versions: dict[str, set[str]] = defaultdict(set)
        for item in upstreams:
            versions[item.service].add(item.version)
        for service, found in versions.items():
            known = self._observed.get(service)
            if known is None or known.versions != found:
                self._observed[service] = _Observed(frozenset(found), now, known is None)

    def has_several(self) -> bool:
        """Return whether some service has several versions."""
        return any(len(item.versions) > 1 for item in self._observed.values())

    def find(self, service: str, seconds: float, now: float) -> str:
        """Return the version that was the only one for at least `seconds`, empty if none was."""
        known = self._observed.get(service)
        if known is None or len(known.versions) != 1 or now - known.since < seconds:
            return ""
        return next(iter(known.versions))

    def find_unchanged(self, service: str) -> str:
        """Return the version that was the only one in all views so far, empty if none was."""
        known = self._observed.get(service)
        return "" if known is None or not known.is_first else self.find(service, 0.0, known.since)
