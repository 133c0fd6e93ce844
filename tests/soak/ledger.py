"""What clients and engines saw, and what of it must not be."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field

DEADLINE_SECONDS = 3.0
"""Told with each try."""
_LATE_SECONDS = 1.0
"""What an answer may take beyond the deadline, on a machine that other runs share."""
CONTACT_SECONDS = 3.0
"""After its third engine, every gateway knows within so long that a request is held."""
_LATE_SENDS = 3
_ENDS_TO_KNOW = 3
_REFUSED = frozenset((408, 421, 429, 503))


@dataclass(frozen=True)
class Answer:
    """What one try of a client got; status 0 for a connection that ended without an answer."""

    attempt: str
    kind: str
    sent_at: float
    status: int
    whole: bool
    own: bool
    """Whether signature and body are those of this very try."""
    gateway: str = ""
    """Address of the gateway that it went to."""
    ended_at: float = 0.0
    in_order: bool = True
    """Of a stream, whether the events that came are the first ones, each once."""


@dataclass(frozen=True)
class Arrival:
    """One request as it reached an engine."""

    attempt: str
    engine: str
    at: float


@dataclass(frozen=True)
class Absence:
    """A time in which a gateway was killed, or stood still."""

    gateway: str
    since: float
    until: float


@dataclass
class Ledger:
    """Everything that was seen; times are seconds of one clock."""

    answers: list[Answer] = field(default_factory=list)
    runs: list[Arrival] = field(default_factory=list)
    deadly_sends: list[float] = field(default_factory=list)
    deadly_ends: list[float] = field(default_factory=list)
    absences: list[Absence] = field(default_factory=list)
    odd_requests: int = 0
    """Requests that came to an address which only an odd entry names."""

    def faults(self) -> list[str]:
        """Return what broke a promise, whatever the faults of the run."""
        found = [
            f"{answer.attempt}: an answer that is not its own"
            for answer in self.answers
            if answer.status == 200 and answer.whole and not answer.own
        ]
        runs = Counter(run.attempt for run in self.runs)
        for answer in self.answers:
            if answer.kind == "once" and runs[answer.attempt] > 1:
                found.append(f"{answer.attempt}: ran {runs[answer.attempt]} times")
            if answer.kind == "once" and answer.status in _REFUSED and runs[answer.attempt]:
                found.append(f"{answer.attempt}: refused with {answer.status} though it ran")
        found += [
            f"{answer.attempt}: a stream whose events are not in order"
            for answer in self.answers
            if not answer.in_order
        ]
        found += [f"{answer.attempt}: ran, and got no answer" for answer in self._lost(runs)]
        found += [f"{answer.attempt}: answered late" for answer in self._late()]
        if self.odd_requests:
            found.append(f"{self.odd_requests} requests sent where only an odd entry points")
        late = self.late_sends()
        if late > _LATE_SENDS:
            found.append(
                f"a request under which three engines had ended was sent {late} times more"
            )
        return found

    def _lost(self, runs: Counter[str]) -> list[Answer]:
        """Return tries that ran and ended without an answer, though their gateway was there."""
        return [
            answer
            for answer in self.answers
            if answer.status == 0 and runs[answer.attempt] and not self._was_absent(answer)
        ]

    def _late(self) -> list[Answer]:
        """Return tries that waited beyond their deadline, though their gateway was there."""
        return [
            answer
            for answer in self.answers
            if answer.ended_at - answer.sent_at > DEADLINE_SECONDS + _LATE_SECONDS
            and not self._was_absent(answer)
        ]

    def _was_absent(self, answer: Answer) -> bool:
        return any(
            item.gateway == answer.gateway
            and item.since <= answer.ended_at
            and answer.sent_at <= item.until
            for item in self.absences
        )

    def late_sends(self) -> int:
        """Return how often the deadly request reached engines after all must have known."""
        if len(self.deadly_ends) < _ENDS_TO_KNOW:
            return 0
        known = sorted(self.deadly_ends)[_ENDS_TO_KNOW - 1] + CONTACT_SECONDS
        return sum(at > known for at in self.deadly_sends)

    def served(self, kind: str, since: float) -> tuple[int, int]:
        """Return how many tries of a kind were served of those sent since a time."""
        tries = [item for item in self.answers if item.kind == kind and item.sent_at >= since]
        return sum(item.status == 200 and item.own for item in tries), len(tries)

    def engines_used(self, since: float) -> set[str]:
        """Return the engines that ran anything since a time."""
        used: defaultdict[str, int] = defaultdict(int)
        for run in self.runs:
            if run.at >= since:
                used[run.engine] += 1
        return set(used)
