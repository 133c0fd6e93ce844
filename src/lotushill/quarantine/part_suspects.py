"""Decides which part of prompts makes upstreams fail, and which are only beside it.

The module has no side effects; the time is an argument.

The target load is a few requests per second that share one part, of any callers and at any
gateways, beside sound requests that share all other parts. All requests that run at an upstream
fail with the cause, so many parts are at each failure, and the cause is at all of them.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from lotushill.quarantine.recent_events import RecentEvents
from lotushill.quarantine.suspected_part import FAILURES_TO_CONVICT
from lotushill.quarantine.suspected_part import SuspectedPart

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterator

    from lotushill.quarantine.shared_part import SharedPart

_MAX_PARTS = 2048
_EXPLAINED_FRACTION = 0.6
"""Fraction of the failures of a suspect at which another one has been, to explain them."""
_FAILURES_TO_DOUBT = 2
_FAILURES_TO_CONVICT_EQUALS = 6
"""Number of failures from which several parts are convicted that were at the same failures."""
_JUDGEMENT_DELAY_SECONDS = 0.1
"""Time from new evidence to the verdict, within which the reports of other gateways on the same
failure arrive: the parts at fault and those beside them are at different gateways."""
_MAX_QUIET_SECONDS = 600.0
"""Time after which a part without failures, or one with too few of them, is forgotten."""


class PartSuspects:
    """Suspected parts by identity, from local observation and peers."""

    def __init__(self) -> None:
        self._parts: OrderedDict[bytes, SuspectedPart] = OrderedDict()
        self._events = RecentEvents()
        self._stored: dict[bytes, str] = {}
        """Names of the objects that are held in the store, parts and others, by identity."""
        self._judge_at: dict[bytes, float] = {}
        """Parts with new evidence, and when they are judged."""

    def __len__(self) -> int:
        return len(self._parts)

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)

    def find(self, identity: bytes) -> SuspectedPart | None:
        """Return the suspect with an identity, or None if there is none."""
        return self._parts.get(identity)

    def is_convicted(self, identity: bytes) -> bool:
        """Return whether no request with the part may reach an upstream."""
        part = self._parts.get(identity)
        return part is not None and part.convicted

    def convicted_labels(self) -> list[str]:
        """Return the names of the parts that are held."""
        return [part.path for part in self._parts.values() if part.convicted]

    def is_acquitted(self, identity: bytes) -> bool:
        """Return whether an event has disproved a verdict on the part."""
        part = self._parts.get(identity)
        return part is not None and part.acquitted

    def is_doubtful(self, identity: bytes) -> bool:
        """Return whether several upstreams failed beside a part that was never begun."""
        part = self._parts.get(identity)
        return (
            part is not None
            and not part.known_good
            and len(part.failed_upstreams) >= _FAILURES_TO_DOUBT
        )

    def record_local_failure(self, part: SharedPart, upstream: str, at: float, now: float) -> bool:
        """Record a failure that this gateway observed; return whether it is new evidence."""
        suspect = self._get_or_add(part.identity, part.label)
        suspect.observed_locally = True
        return self._add_failures(part.identity, {upstream: at}, now)

    def merge_failures(
        self, identity: bytes, label: str, failures: dict[str, float], now: float
    ) -> bool:
        """Merge failures with their times; return whether any of them is new evidence."""
        self._get_or_add(identity, label)
        return self._add_failures(identity, failures, now)

    def adopt_verdict(self, identity: bytes) -> bool:
        """Hold a part that a peer holds; return whether that is new.

        The verdict is not adopted if an event that is known here clears most of its failures.
        """
        suspect = self._parts.get(identity)
        if suspect is None or suspect.convicted:
            return False
        if len(suspect.failed_upstreams) < FAILURES_TO_CONVICT:
            return False
        suspect.convict()
        return True

    def record_local_event(self, identity: bytes, now: float) -> bool:
        """Record a first event at this gateway; return whether other gateways need to know it."""
        self._events.add(identity, now)
        suspect = self._parts.get(identity)
        if suspect is None and identity in self._stored:
            suspect = self._parts[identity] = SuspectedPart(self._stored[identity])
        if suspect is None:
            return False
        suspect.record_begun(now)
        if identity in self._stored and not suspect.convicted:
            # The run began after this gateway had learned that the part is held.
            suspect.acquit()
        return suspect.has_untold_event

    def record_peer_event(self, identity: bytes, at: float) -> None:
        """Record the latest first event that a peer tells."""
        suspect = self._parts.get(identity)
        if suspect is not None:
            suspect.told_begun_at = max(suspect.told_begun_at, at)
            suspect.record_begun(at)

    def next_judgement(self) -> float:
        """Return when the next part is judged, infinity if none is."""
        return min(self._judge_at.values(), default=math.inf)

    def judge_due(self, is_explained: Callable[[SuspectedPart], bool], now: float) -> list[bytes]:
        """Convict the parts that are due and at fault, and return their identities.

        `is_explained` returns whether a single request explains the failures beside a part.
        """
        due = [identity for identity, at in self._judge_at.items() if at <= now]
        convicted = []
        for identity in due:
            del self._judge_at[identity]
            part = self._parts.get(identity)
            if part is None or part.convicted or not part.has_enough_evidence:
                continue
            if not self._is_beside_another(part) and not is_explained(part):
                part.convict()
                convicted.append(identity)
        return convicted

    def judge_again(self, now: float) -> None:
        """Judge the parts with enough evidence, since what explained them may be cleared."""
        for identity, part in self._parts.items():
            if not part.convicted and part.has_enough_evidence:
                self._judge_at.setdefault(identity, now)

    def explains_request(self, failures: Collection[str]) -> bool:
        """Return whether convicted parts explain the failures during one request."""
        return _explain([part for part in self._parts.values() if part.convicted], failures)

    def explains_group(self, failures: Collection[str]) -> bool:
        """Return whether suspected parts explain the failures during a group of requests.

        Unless they are convicted, one of them must explain all alone: at nearly every failure there
        is some part that is beside the cause.
        """
        if any(_explain([part], failures) for part in self._parts.values()):
            return True
        return self.explains_request(failures)

    def replace_stored(self, labels: dict[bytes, str]) -> None:
        """Replace the parts that are held in the store; release those that were removed there."""
        for identity in self._stored.keys() - labels.keys():
            part = self._parts.get(identity)
            if part is not None and not part.acquitted:
                part.release()
        for identity in labels.keys() - self._stored.keys():
            part = self._parts.get(identity)
            if part is not None:
                part.acquitted = False
        self._stored = dict(labels)

    def expire(self, now: float) -> None:
        """Remove the parts that have had no failure for a long time, and that are not held."""
        expired = [
            identity
            for identity, part in self._parts.items()
            if not part.convicted and now - part.last_failure_at > _MAX_QUIET_SECONDS
        ]
        for identity in expired:
            del self._parts[identity]

    def _add_failures(self, identity: bytes, failures: dict[str, float], now: float) -> bool:
        suspect = self._parts[identity]
        is_new = [suspect.add_failure(upstream, at) for upstream, at in failures.items()]
        if any(is_new):
            self._judge_at.setdefault(identity, now + _JUDGEMENT_DELAY_SECONDS)
        return any(is_new)

    def _is_beside_another(self, part: SuspectedPart) -> bool:
        """Return whether other parts explain the failures beside a part.

        Parts that are suspected as strongly, or would be with one more failure that this gateway
        may not know yet, wait for what tells them apart: an event or a failure. They do not wait
        forever.
        """
        others = [other for other in self._parts.values() if other is not part]
        if len(part.failed_upstreams) < _FAILURES_TO_CONVICT_EQUALS:
            stronger = [other for other in others if other.weight(1) >= part.weight()]
        else:
            stronger = [other for other in others if other.weight() > part.weight()]
        return _explain(stronger, part.failed_upstreams)

    def _get_or_add(self, identity: bytes, label: str) -> SuspectedPart:
        suspect = self._parts.get(identity)
        if suspect is None:
            if len(self._parts) >= _MAX_PARTS:
                self._evict_one()
            suspect = self._parts[identity] = SuspectedPart(label)
            suspect.record_begun(self._events.latest(identity))
        self._parts.move_to_end(identity)
        return suspect

    def _evict_one(self) -> None:
        """Evict the oldest part with at most one failure, so that made-up parts give way first."""
        parts = self._parts.items()
        once = (identity for identity, part in parts if len(part.failed_upstreams) <= 1)
        unheld = (identity for identity, part in parts if not part.convicted)
        evicted = next(once, None) or next(unheld, None) or next(iter(self._parts))
        del self._parts[evicted]
        self._judge_at.pop(evicted, None)


def _explain(parts: list[SuspectedPart], failures: Collection[str]) -> bool:
    """Return whether parts, together, were at most of the given failures."""
    explained = sum(
        any(upstream in part.failed_upstreams for part in parts) for upstream in failures
    )
    return bool(failures) and explained >= _EXPLAINED_FRACTION * len(failures)
