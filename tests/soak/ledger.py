"""Records what clients and engines observed, and checks it against the invariants."""

from __future__ import annotations

import math
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field

DEADLINE_SECONDS = 3.0
"""Deadline in seconds that each request states."""
_LATE_SECONDS = 1.0
"""Time that an answer may take beyond the deadline, since other runs share the machine."""
CONTACT_SECONDS = 3.0
"""Time after the third engine failure within which every gateway knows that a request is held."""
_LATE_SENDS = 3
_ENDS_TO_KNOW = 3
_GRACE_SECONDS = 0.5
_SENT_IN_REST = 2
"""Maximum number of requests that may still reach an engine in cooldown after the grace period."""
_LEAVE_SECONDS = 2.0
_LIMIT_WINDOW = 4.0
_LIMIT_RATIO = 1.5
_LIMIT_SLACK = 5
"""Requests that may reach an engine with a limit in one window: `_LIMIT_RATIO` times what the limit
allows, plus `_LIMIT_SLACK`."""
_REFUSED = frozenset((408, 421, 429, 503))


@dataclass(frozen=True)
class Answer:
    """Answer to one request of a client; status 0 if the connection ended without an answer."""

    attempt: str
    kind: str
    sent_at: float
    status: int
    whole: bool
    own: bool
    """Whether signature and body belong to this request."""
    gateway: str = ""
    """Address of the gateway that received the request."""
    ended_at: float = 0.0
    in_order: bool = True
    """Whether the received events of a stream are its first ones, each once; else true."""


@dataclass(frozen=True)
class Arrival:
    """Arrival of one request at an engine incarnation."""

    attempt: str
    engine: str
    at: float


@dataclass(frozen=True)
class Rest:
    """Cooldown that an engine requested when it rejected a request."""

    attempt: str
    engine: str
    at: float
    seconds: float


@dataclass(frozen=True)
class LimitWord:
    """Limit that an engine stated in one answer, with the time at which the answer was sent."""

    attempt: str
    engine: str
    at: float
    rate: float
    """Limit in requests per second; infinite if the answer states none."""


@dataclass(frozen=True)
class Absence:
    """Period in which a gateway was killed or frozen."""

    gateway: str
    since: float
    until: float


@dataclass
class Ledger:
    """All observations of a run; times are seconds of one monotonic clock."""

    answers: list[Answer] = field(default_factory=list)
    runs: list[Arrival] = field(default_factory=list)
    deadly_sends: list[float] = field(default_factory=list)
    deadly_ends: list[float] = field(default_factory=list)
    varying_sends: list[float] = field(default_factory=list)
    varying_ends: list[float] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    """Requests that reached an engine, whether they were run or rejected."""
    rests: list[Rest] = field(default_factory=list)
    leavings: list[Arrival] = field(default_factory=list)
    """Answers in which an engine announced that it leaves, with the time of the announcement."""
    limit_words: list[LimitWord] = field(default_factory=list)
    absences: list[Absence] = field(default_factory=list)
    restarts: list[Absence] = field(default_factory=list)
    """Starts of gateways, which begin with empty state."""
    odd_requests: int = 0
    """Number of requests sent to the decoy, whose address only malformed entries contain."""

    def faults(self) -> list[str]:
        """Return violations of the invariants, which hold under every fault of the run."""
        found = [
            f"{answer.attempt}: answered with the response of another request"
            for answer in self.answers
            if answer.status == 200 and answer.whole and not answer.own
        ]
        runs = Counter(run.attempt for run in self.runs)
        for answer in self.answers:
            if answer.kind == "once" and runs[answer.attempt] > 1:
                found.append(f"{answer.attempt}: ran {runs[answer.attempt]} times")
            if answer.kind == "once" and answer.status in _REFUSED and runs[answer.attempt]:
                found.append(f"{answer.attempt}: refused with {answer.status} although it ran")
        found += [
            f"{answer.attempt}: stream events out of order"
            for answer in self.answers
            if not answer.in_order
        ]
        found += [
            f"{answer.attempt}: ran without an answer to the client" for answer in self._lost(runs)
        ]
        found += [f"{answer.attempt}: answered after the deadline" for answer in self._late()]
        found += self._broken_rests() + self._sent_to_leaving() + self.over_limits()
        if self.odd_requests:
            found.append(f"{self.odd_requests} requests sent to an address from a malformed entry")
        late = self.late_sends()
        if late > _LATE_SENDS:
            found.append(
                f"a request under which three engines had failed was sent {late} more times"
            )
        return found

    def _broken_rests(self) -> list[str]:
        """Return cooldowns in which the notified gateway sent more than was in transit."""
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
                found.append(
                    f"{rest.engine}: {sent} requests in a cooldown of {rest.seconds:.1f} s"
                )
        return found

    def _sent_to_leaving(self) -> list[str]:
        """Return requests that were sent to an engine long after it announced that it leaves."""
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
                found.append(
                    f"{item.attempt}: sent to {item.engine}, which had announced that it leaves"
                )
        return found

    def over_limits(self) -> list[str]:
        """Return engines that got more than their limit from all notified gateways together."""
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
        """Return how many requests ran at each engine that ever stated a limit."""
        limited = {word.engine for word in self.limit_words if word.rate < math.inf}
        return {engine: sum(run.engine == engine for run in self.runs) for engine in limited}

    def _sent_by_told(self, engine: str, words: list[LimitWord]) -> list[float]:
        """Return arrival times of requests from gateways that had relayed the limit."""
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
        """Return whether a gateway was absent or restarted, and so lost state, in a period."""
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
        """Return requests that ran and got no answer although their gateway was available."""
        return [
            answer
            for answer in self.answers
            if answer.status == 0 and runs[answer.attempt] and not self._was_absent(answer)
        ]

    def _late(self) -> list[Answer]:
        """Return requests answered after their deadline although their gateway was available."""
        return [
            answer
            for answer in self.answers
            if answer.ended_at - answer.sent_at > DEADLINE_SECONDS + _LATE_SECONDS
            and not self._was_absent(answer)
        ]

    def _was_absent(self, answer: Answer) -> bool:
        return self._was_away(answer.gateway, answer.sent_at, answer.ended_at)

    def late_sends(self) -> int:
        """Return how often the deadly request reached engines after all gateways must hold it."""
        if len(self.deadly_ends) < _ENDS_TO_KNOW:
            return 0
        known = sorted(self.deadly_ends)[_ENDS_TO_KNOW - 1] + CONTACT_SECONDS
        return sum(at > known for at in self.deadly_sends)

    def served(self, kind: str, since: float) -> tuple[int, int]:
        """Return how many requests of a kind were served and how many sent since a time."""
        tries = [item for item in self.answers if item.kind == kind and item.sent_at >= since]
        return sum(item.status == 200 and item.own for item in tries), len(tries)

    def engines_used(self, since: float) -> set[str]:
        """Return the engine incarnations that ran any request since a time."""
        used: defaultdict[str, int] = defaultdict(int)
        for run in self.runs:
            if run.at >= since:
                used[run.engine] += 1
        return set(used)


def _rate_around(words: list[LimitWord], start: float) -> float:
    """Return the highest limit stated in a window, or last before it."""
    before = [word for word in words if word.at < start]
    within = [word.rate for word in words if start <= word.at < start + _LIMIT_WINDOW]
    return max(within + [word.rate for word in before[-1:]])
