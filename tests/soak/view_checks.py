"""Checks which configuration and which upstreams each gateway of a soak run has in force.

A gateway that was undisturbed for `IN_TOUCH_SECONDS` has to have put a configuration in force
`APPLY_SECONDS` after the store took it, and sends nothing to an engine `DRAIN_SECONDS` after the
store took that it leaves.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from tests.soak.records import Arrival

IN_TOUCH_SECONDS = 3.0
"""Time since the last disturbance after which a gateway is held to the other bounds."""
APPLY_SECONDS = 2.0
"""Time in which a configuration that the store took is in force."""
DRAIN_SECONDS = 2.0
"""Time after which nothing reaches an engine that the store knows to leave."""
EVERY_GATEWAY = ""
"""Name that stands for all gateways in a disturbance."""


@dataclass(frozen=True)
class Disturbance:
    """Period in which a gateway, or every one, is not held to time bounds."""

    gateway: str
    since: float
    until: float
    is_silence: bool = False
    """Whether it disturbed connections, and nothing else."""


@dataclass(frozen=True)
class StoredVersion:
    """Version of the configuration that the store took at a time."""

    version: int
    at: float


@dataclass(frozen=True)
class ObservedView:
    """State that a gateway reported in answer to a query sent at a time."""

    gateway: str
    at: float
    version: int
    unconfirmed_seconds: float = 0.0
    """Longest time for which the store had not confirmed a view that the gateway reads there."""
    behind_seconds: float = 0.0
    """Longest time for which the gateway had known that another one had a newer view."""


@dataclass
class ViewChecks:
    """What the store took and what gateways had in force; times are of one monotonic clock."""

    stored: list[StoredVersion] = field(default_factory=list)
    observed: list[ObservedView] = field(default_factory=list)
    drained_at: dict[str, float] = field(default_factory=dict)
    """Time at which the store took that an engine incarnation leaves."""
    disturbances: list[Disturbance] = field(default_factory=list)

    def violations(
        self, arrivals: Iterable[Arrival], gateways_by_attempt: Mapping[str, str]
    ) -> list[str]:
        """Return late configurations, configurations that went back, and late requests."""
        return [
            *self._late_configurations(),
            *self._older_configurations(),
            *self._old_views(),
            *self._sent_to_drained(arrivals, gateways_by_attempt),
        ]

    def is_in_touch(self, gateway: str, at: float) -> bool:
        """Return whether a gateway was undisturbed long enough at a time."""
        return not any(
            item.gateway in (gateway, EVERY_GATEWAY)
            and item.since <= at
            and item.until > at - IN_TOUCH_SECONDS
            for item in self.disturbances
        )

    def _late_configurations(self) -> list[str]:
        found: dict[tuple[str, int], str] = {}
        for view in self.observed:
            due = [item for item in self.stored if item.at < view.at - APPLY_SECONDS]
            newest = max(due, key=lambda item: item.version, default=None)
            if newest is None or view.version >= newest.version:
                continue
            if self.is_in_touch(view.gateway, view.at):
                found.setdefault(
                    (view.gateway, newest.version),
                    f"{view.gateway}: version {view.version} in force at {view.at:.3f}, "
                    f"{view.at - newest.at:.2f} s after version {newest.version} was stored"
                    f"{self._last_silence(view.at)}",
                )
        return list(found.values())

    def _older_configurations(self) -> list[str]:
        """Return versions that went back within one life of a gateway."""
        found = []
        for gateway in sorted({view.gateway for view in self.observed}):
            views = [view for view in self.observed if view.gateway == gateway]
            for former, view in itertools.pairwise(views):
                if view.version < former.version and self.is_in_touch(gateway, view.at):
                    found.append(
                        f"{gateway}: version {view.version} in force at {view.at:.3f} after "
                        f"version {former.version}"
                    )
        return found

    def _old_views(self) -> list[str]:
        """Return gateways whose view was unconfirmed, or known to be behind, for too long."""
        found: dict[str, str] = {}
        for view in self.observed:
            is_old = view.unconfirmed_seconds > IN_TOUCH_SECONDS
            if (is_old or view.behind_seconds > APPLY_SECONDS) and self.is_in_touch(
                view.gateway, view.at
            ):
                found.setdefault(
                    view.gateway,
                    f"{view.gateway}: view unconfirmed for {view.unconfirmed_seconds:.2f} s and "
                    f"behind for {view.behind_seconds:.2f} s at {view.at:.3f}"
                    f"{self._last_silence(view.at)}",
                )
        return list(found.values())

    def _sent_to_drained(
        self, arrivals: Iterable[Arrival], gateways_by_attempt: Mapping[str, str]
    ) -> list[str]:
        found = []
        for item in arrivals:
            drained_at = self.drained_at.get(item.engine)
            gateway = gateways_by_attempt.get(item.attempt)
            if drained_at is None or gateway is None or item.at <= drained_at + DRAIN_SECONDS:
                continue
            if self.is_in_touch(gateway, item.at):
                found.append(
                    f"{item.attempt}: sent by {gateway} to {item.engine} at {item.at:.3f}, "
                    f"{item.at - drained_at:.2f} s after the store took that it leaves"
                    f"{self._last_silence(item.at)}"
                )
        return found

    def _last_silence(self, at: float) -> str:
        silences = [item.since for item in self.disturbances if item.is_silence and item.since < at]
        return f", {at - max(silences):.2f} s after a silence" if silences else ""
