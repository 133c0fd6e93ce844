"""Decides which requests and parts of prompts are withheld, because upstreams fail during them."""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
from typing import TYPE_CHECKING

from lotushill.quarantine.completed_requests import CompletedRequests
from lotushill.quarantine.part_suspects import PartSuspects
from lotushill.quarantine.suspect import Suspect

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lotushill.links.quarantine_messages import SuspectState
    from lotushill.quarantine.shared_part import SharedPart
    from lotushill.quarantine.stored_hold import StoredHold
    from lotushill.quarantine.suspected_part import SuspectedPart

_MAX_SUSPECTS = 2048
_MAX_SUSPECTS_PER_TEAM = 256
"""Limit of the suspects of one team, so that one team cannot evict the suspects of another."""


class Quarantine:
    """Suspects by identity, from local observation, peers and the store; the time is an argument.

    A suspect is a request that its caller repeats, or a part of prompts that requests of any caller
    share. Failures that a part explains are not held against the requests beside it.

    A request that crashes its upstream ends all requests that run there. One caller that repeats
    it would take most of a service from all others, whichever gateways it calls.
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        self._counts_by_team: Counter[str] = Counter()
        self.parts = PartSuspects()
        self._stored: dict[bytes, StoredHold] = {}
        self._completed = CompletedRequests()

    def __len__(self) -> int:
        return len(self._suspects) + len(self.parts)

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is suspected, so that no identity has to be computed."""
        return not self._suspects and not self._stored and not self.parts

    def is_held(self, identity: bytes, now: float) -> bool:
        """Return whether a request, or any request with a part, must not reach any upstream."""
        if self.parts.is_convicted(identity):
            return True
        suspect = self._suspects.get(identity)
        if suspect is not None and suspect.is_held(now) and not self._is_beside_part(suspect):
            return True
        if identity not in self._stored or self.parts.is_acquitted(identity):
            return False
        return suspect is None or not suspect.known_good

    def failure_count(self, identity: bytes) -> int:
        """Return the number of upstreams that failed during a suspect since it was last cleared."""
        suspect = self.find(identity)
        return len(suspect.failed_upstreams) if suspect is not None else 0

    def find(self, identity: bytes) -> Suspect | SuspectedPart | None:
        """Return the suspect with an identity, or None if there is none."""
        return self._suspects.get(identity) or self.parts.find(identity)

    def held_identities(self, now: float) -> list[bytes]:
        """Return the identities of all requests and parts that are held."""
        known = {*self._suspects, *self.parts, *self._stored}
        return [item for item in known if self.is_held(item, now)]

    def held_parts(self) -> list[str]:
        """Return the names of the parts that this gateway holds by evidence or by the store."""
        stored = [
            hold.path
            for identity, hold in self._stored.items()
            if hold.is_part and not self.parts.is_acquitted(identity)
        ]
        return sorted({*stored, *self.parts.convicted_labels()})

    def record_upstream_failure(
        self, identity: bytes, team: str, path: str, upstream: str, now: float
    ) -> bool:
        """Record that an upstream failed while it had the request; return whether that is new."""
        suspect = self._get_or_add(identity, team, path, now)
        suspect.observed_locally = True
        return suspect.add_failure(upstream, now)

    def record_part_failure(self, part: SharedPart, upstream: str, at: float, now: float) -> bool:
        """Record that an upstream failed at a time beside a part; return whether that is new."""
        return self.parts.record_local_failure(part, upstream, at, now)

    def merge_peer_state(self, state: SuspectState, now: float) -> bool:
        """Merge the evidence of a peer against a request; return whether any of it is new."""
        if state.ages:
            failures = {
                upstream: now - age
                for upstream, age in zip(state.upstreams, state.ages, strict=False)
            }
            is_new_to_part = self.parts.merge_failures(state.identity, state.path, failures, now)
            is_adopted = state.held and self.parts.adopt_verdict(state.identity)
            return is_new_to_part or is_adopted
        suspect = self._get_or_add(state.identity, state.team, state.path, now)
        is_new = [suspect.add_failure(upstream, now) for upstream in state.upstreams]
        return any(is_new)

    def record_completion(self, identity: bytes, now: float) -> bool:
        """Record that a request completed; return whether this clears a suspect."""
        self._completed.add(identity, now)
        return self.clear(identity)

    def clear(self, identity: bytes) -> bool:
        """Record that a request completed after its failures; return whether it was suspected."""
        suspect = self._suspects.get(identity)
        if suspect is None or not suspect.failed_upstreams:
            return False
        suspect.clear()
        return True

    def mark_known_good(self, identity: bytes, now: float) -> None:
        """Record that a request completed before any upstream failed during it."""
        suspect = self._suspects.get(identity)
        if suspect is not None:
            suspect.mark_known_good(now)

    def has_completed(self, identity: bytes, now: float) -> bool:
        """Return whether a request completed at this gateway, which may be unknown to peers."""
        return self._completed.has_completed(identity, now)

    def replace_stored(self, holds: Mapping[bytes, StoredHold]) -> list[bytes]:
        """Replace the stored holds; return the identities released in the store since then."""
        released = [identity for identity in self._stored if identity not in holds]
        for identity in released:
            suspect = self._suspects.get(identity)
            if suspect is not None and not suspect.known_good:
                suspect.release()
        self._stored = dict(holds)
        self.parts.replace_stored({identity: hold.path for identity, hold in holds.items()})
        return released

    def unstored(self) -> list[bytes]:
        """Return the identities that are held indefinitely and are not in the store yet."""
        return [
            identity
            for identity, suspect in self._suspects.items()
            if suspect.is_held_indefinitely
            and identity not in self._stored
            and not self._is_beside_part(suspect)
        ] + [
            identity
            for identity in self.parts
            if self.parts.is_convicted(identity) and identity not in self._stored
        ]

    def stored_but_cleared(self) -> list[bytes]:
        """Return the identities that are in the store although the request completed."""
        return [
            identity
            for identity in self._stored
            if self.parts.is_acquitted(identity)
            or ((suspect := self._suspects.get(identity)) is not None and suspect.known_good)
        ]

    def judge_parts(self, now: float) -> list[bytes]:
        """Hold the parts at fault by the evidence that is due, and return their identities."""
        return self.parts.judge_due(self._is_one_request, now)

    def expire(self, now: float) -> None:
        """Remove the suspects that have had no evidence, late updates included, for some time."""
        expired = [
            identity
            for identity, suspect in self._suspects.items()
            if suspect.is_clear(now) and identity not in self._stored
        ]
        for identity in expired:
            self._remove(identity)
        self.parts.expire(now)
        self.parts.judge_again(now)

    def _is_beside_part(self, suspect: Suspect) -> bool:
        return self.parts.explains_request(suspect.failed_upstreams)

    def _is_one_request(self, part: SuspectedPart) -> bool:
        """Return whether one request was at all failures beside a part."""
        return any(
            part.failed_upstreams.keys() <= suspect.failed_upstreams.keys()
            for suspect in self._suspects.values()
        )

    def _get_or_add(self, identity: bytes, team: str, path: str, now: float) -> Suspect:
        suspect = self._suspects.get(identity)
        if suspect is None:
            self._evict_if_full(team)
            suspect = self._suspects[identity] = Suspect(team, path)
            suspect.known_good = self._completed.has_completed(identity, now)
            self._counts_by_team[team] += 1
        self._suspects.move_to_end(identity)
        return suspect

    def _evict_if_full(self, team: str) -> None:
        if self._counts_by_team[team] >= _MAX_SUSPECTS_PER_TEAM:
            of_same_team = [
                item for item, suspect in self._suspects.items() if suspect.team == team
            ]
            self._evict_one(of_same_team)
        elif len(self._suspects) >= _MAX_SUSPECTS:
            self._evict_one(self._suspects)

    def _evict_one(self, candidates: Iterable[bytes]) -> None:
        """Evict the least recently updated suspect; held ones only if there are no others."""
        identities = list(candidates)
        evictable = (item for item in identities if not self._suspects[item].is_held_indefinitely)
        self._remove(next(evictable, identities[0]))

    def _remove(self, identity: bytes) -> None:
        team = self._suspects.pop(identity).team
        self._counts_by_team[team] -= 1
        if not self._counts_by_team[team]:
            del self._counts_by_team[team]
