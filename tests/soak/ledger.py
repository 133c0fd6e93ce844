"""What clients and engines saw, and what of it must not be."""

from __future__ import annotations

import math
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
_GRACE_SECONDS = 0.5
_SENT_IN_REST = 2
"""After the grace, what may still be under way to an engine that asked for rest."""
_LEAVE_SECONDS = 2.0
_LIMIT_WINDOW = 4.0
_LIMIT_RATIO = 1.5
_LIMIT_SLACK = 5
"""Of what a limit allows in a window, and beyond it, what may reach an engine that names it."""
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
class Rest:
    """One request that an engine turned away, asking for rest."""

    attempt: str
    engine: str
    at: float
    seconds: float


@dataclass(frozen=True)
class LimitWord:
    """One answer of an engine, by when it was sent, with the limit that it names."""

    attempt: str
    engine: str
    at: float
    rate: float
    """Requests a second, infinity where it names none."""


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
    varying_sends: list[float] = field(default_factory=list)
    varying_ends: list[float] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    """All that reached an engine, run or not."""
    rests: list[Rest] = field(default_factory=list)
    leavings: list[Arrival] = field(default_factory=list)
    """Answers in which an engine said that it leaves, by when it was said."""
    limit_words: list[LimitWord] = field(default_factory=list)
    absences: list[Absence] = field(default_factory=list)
    restarts: list[Absence] = field(default_factory=list)
    """Starts of gateways, which know nothing of before."""
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
        found += self._broken_rests() + self._sent_to_leaving() + self.over_limits()
        if self.odd_requests:
            found.append(f"{self.odd_requests} requests sent where only an odd entry points")
        late = self.late_sends()
        if late > _LATE_SENDS:
            found.append(
                f"a request under which three engines had ended was sent {late} times more"
            )
        return found

    def _broken_rests(self) -> list[str]:
        """Return rests in which the same gateway sent more than may have been under way."""
        gateways = {answer.attempt: answer.gateway for answer in self.answers}
        found = []
        for rest in self.rests:
            gateway = gateways.get(rest.attempt)
            since, until = rest.at + _GRACE_SECONDS, rest.at + rest.seconds
            if gateway is None or self._has_forgotten(gateway, rest.at, until):
                continue
            sent = sum(
                since < item.at < until
                and item.engine == rest.engine
                and gateways.get(item.attempt) == gateway
                for item in self.arrivals
            )
            if sent > _SENT_IN_REST:
                found.append(f"{rest.engine}: {sent} requests in a rest of {rest.seconds:.1f} s")
        return found

    def _sent_to_leaving(self) -> list[str]:
        """Return requests that were sent to an engine long after it said that it leaves."""
        answers = {answer.attempt: answer for answer in self.answers}
        said: dict[tuple[str, str], float] = {}
        for item in self.leavings:
            answer = answers.get(item.attempt)
            if answer is not None:
                key = (item.engine, answer.gateway)
                said[key] = min(said.get(key, item.at), item.at)
        found = []
        for item in self.arrivals:
            answer = answers.get(item.attempt)
            if answer is None:
                continue
            at = said.get((item.engine, answer.gateway))
            if at is None or answer.sent_at <= at + _LEAVE_SECONDS:
                continue
            if not self._has_forgotten(answer.gateway, at, item.at):
                found.append(f"{item.attempt}: sent to {item.engine}, which had said it leaves")
        return found

    def over_limits(self) -> list[str]:
        """Return engines that got more than they had named, all gateways that knew together."""
        found = []
        for engine in sorted({word.engine for word in self.limit_words if word.rate < math.inf}):
            words = sorted(
                (word for word in self.limit_words if word.engine == engine),
                key=lambda word: word.at,
            )
            first = next(word.at for word in words if word.rate < math.inf)
            sent = self._sent_by_told(engine, words)
            starts = [at for at in sent if at >= first + CONTACT_SECONDS]
            for start in starts:
                count = sum(start <= at < start + _LIMIT_WINDOW for at in sent)
                rate = _rate_around(words, start)
                if count > _LIMIT_RATIO * rate * _LIMIT_WINDOW + _LIMIT_SLACK:
                    found.append(f"{engine}: {count} requests in 4 s at a limit of {rate:g}")
                    break
        return found

    def limited_runs(self) -> dict[str, int]:
        """Return how many requests ran at each engine that ever named a limit."""
        limited = {word.engine for word in self.limit_words if word.rate < math.inf}
        return {engine: sum(run.engine == engine for run in self.runs) for engine in limited}

    def _sent_by_told(self, engine: str, words: list[LimitWord]) -> list[float]:
        """Return when requests reached an engine from gateways that had passed on its limit."""
        gateways = {answer.attempt: answer.gateway for answer in self.answers}
        sent = []
        for item in self.arrivals:
            gateway = gateways.get(item.attempt)
            if item.engine != engine or gateway is None:
                continue
            told = [
                word.at
                for word in words
                if word.rate < math.inf
                and word.at <= item.at - _GRACE_SECONDS
                and gateways.get(word.attempt) == gateway
            ]
            if told and not self._has_forgotten(gateway, told[-1], item.at):
                sent.append(item.at)
        return sorted(sent)

    def _has_forgotten(self, gateway: str, since: float, until: float) -> bool:
        """Return whether a gateway was away, or started anew, in some time."""
        started = any(
            item.gateway == gateway and since <= item.since <= until for item in self.restarts
        )
        return started or self._was_away(gateway, since, until)

    def _was_away(self, gateway: str, since: float, until: float) -> bool:
        return any(
            item.gateway == gateway and item.since <= until and since <= item.until
            for item in self.absences
        )

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
        return self._was_away(answer.gateway, answer.sent_at, answer.ended_at)

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


def _rate_around(words: list[LimitWord], start: float) -> float:
    """Return the highest limit that held in a window, or was about to end when it began."""
    before = [word for word in words if word.at < start]
    within = [word.rate for word in words if start <= word.at < start + _LIMIT_WINDOW]
    return max(within + [word.rate for word in before[-1:]])
