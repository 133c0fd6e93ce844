"""Ejects upstreams that answer nothing but failures. Pure; the time is an argument.

The target load is a service some of whose upstreams fail every request at once. Failing looks like
being free: once the sound upstreams have no free slot, such an upstream gets every request, and its
callers a failure in place of a wait. All gateways report how attempts end, so that an upstream is
ejected after a few failures in a row in the whole fleet. One that fails some requests in fifty has
successes between them and is not ejected. After a while one request at a time shows whether it has
recovered.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

MIN_FAILURES = 5.0
"""Failures in a row, those reported from other halls in part, for which an upstream is ejected."""
_DOUBTFUL_FAILURES = 2.0
"""Failures in a row from which an upstream counts as failing when the others are counted."""
_FORGET_SECONDS = 10.0
"""Time after which a row of failures is over that nothing was added to."""
_FIRST_EJECTION_SECONDS = 1.0
_MAX_EJECTION_SECONDS = 8.0
_PROBE_SECONDS = 2.0
"""Time for which the outcome of a probe is awaited before there may be another one."""


@dataclass
class _Row:
    """Failures in a row of one upstream."""

    failures: float = 0.0
    last_failed_at: float = float("-inf")
    ejected_until: float = float("-inf")
    """When a probe may be sent; without meaning before the upstream is ejected."""
    ejection_seconds: float = 0.0
    """Length of the last ejection, 0 if the upstream is not ejected."""
    is_probed: bool = False
    """Whether the outcome of a probe is awaited."""

    @property
    def is_ejected(self) -> bool:
        """Return whether only probes are sent."""
        return self.ejection_seconds > 0.0


@dataclass(frozen=True)
class EjectionChange:
    """An upstream was ejected, or is used again."""

    upstream: str
    is_ejected: bool
    failures: float
    """Failures in a row before the change."""


class Ejections:
    """The upstreams of all services that fail, and which of them get no request now."""

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}
        """Rows of failures of the upstreams that do not succeed."""
        self._changes: list[EjectionChange] = []

    def note_failure(self, upstream: str, now: float, weight: float = 1.0) -> None:
        """Record that an attempt failed before its first event."""
        row = self._rows.setdefault(upstream, _Row())
        if now - row.last_failed_at > _FORGET_SECONDS and not row.is_ejected:
            row.failures = 0.0
        row.failures += weight
        row.last_failed_at = now
        if row.failures < MIN_FAILURES:
            return
        if not row.is_ejected:
            self._changes.append(EjectionChange(upstream, True, row.failures))
        elif not row.is_probed and now < row.ejected_until:
            # This request was sent before the upstream was ejected.
            return
        row.is_probed = False
        row.ejection_seconds = min(
            _MAX_EJECTION_SECONDS, max(_FIRST_EJECTION_SECONDS, 2 * row.ejection_seconds)
        )
        row.ejected_until = now + row.ejection_seconds

    def note_success(self, upstream: str) -> None:
        """Record that an upstream has begun an answer, or completed one."""
        if self._rows:
            row = self._rows.pop(upstream, None)
            if row is not None and row.is_ejected:
                self._changes.append(EjectionChange(upstream, False, row.failures))

    def note_started(self, upstream: str, now: float) -> None:
        """Record that a request is sent; to an ejected upstream it is a probe."""
        row = self._rows.get(upstream) if self._rows else None
        if row is not None and row.is_ejected:
            row.is_probed = True
            row.ejected_until = max(row.ejected_until, now + _PROBE_SECONDS)

    def among(self, upstreams: Sequence[str], now: float) -> frozenset[str]:
        """Return which of the upstreams of a request get none now.

        None of them if more than half are failing: then the cause is likely not theirs, and the
        others could not take over what they do.
        """
        if not self._rows:
            return frozenset()
        failing = [name for name in upstreams if self._is_failing(name, now)]
        if 2 * len(failing) > len(upstreams):
            return frozenset()
        return frozenset(
            name
            for name in failing
            if self._rows[name].is_ejected and now < self._rows[name].ejected_until
        )

    def ejected(self) -> list[str]:
        """Return the upstreams that get no request but probes, while others are sound."""
        return sorted(name for name, row in self._rows.items() if row.is_ejected)

    def take_changes(self) -> list[EjectionChange]:
        """Return what changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def retain_only(self, known: set[str]) -> None:
        """Drop the upstreams that are not in `known`."""
        for name in [name for name in self._rows if name not in known]:
            del self._rows[name]

    def _is_failing(self, upstream: str, now: float) -> bool:
        row = self._rows.get(upstream)
        if row is None or row.failures < _DOUBTFUL_FAILURES:
            return False
        return row.is_ejected or now - row.last_failed_at <= _FORGET_SECONDS
