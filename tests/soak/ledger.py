"""Records what clients and engines observed, and checks it against the invariants."""

from __future__ import annotations

import math
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from tests.soak.deadly_parts import PartLedger
from tests.soak.move_checks import move_violations
from tests.soak.move_checks import truncation_causes
from tests.soak.run_memory import RunMemories
from tests.soak.version_streams import ServingVersions
from tests.soak.version_streams import version_violations
from tests.soak.view_checks import ViewChecks

if TYPE_CHECKING:
    from tests.soak.records import Absence
    from tests.soak.records import Answer
    from tests.soak.records import Arrival
    from tests.soak.records import Cooldown
    from tests.soak.records import StatedLimit
    from tests.soak.version_streams import VersionedStream

_DEADLINE_TOLERANCE_SECONDS = 1.0
"""Time that an answer may take beyond the deadline, since other runs share the machine."""
PROPAGATION_SECONDS = 3.0
"""Time after the third engine failure within which every gateway knows that a request is held."""
_MAX_LATE_SENDS = 3
_FAILURES_TO_HOLD = 3
_GRACE_SECONDS = 0.5
_MAX_SENT_IN_COOLDOWN = 2
"""Maximum number of requests that may still reach an engine in cooldown after the grace period."""
_LEAVE_GRACE_SECONDS = 2.0
_LIMIT_WINDOW_SECONDS = 4.0
_LIMIT_RATIO = 1.5
_LIMIT_SLACK_REQUESTS = 5
"""Requests that may reach an engine with a limit in one window: `_LIMIT_RATIO` times what the limit
allows, plus `_LIMIT_SLACK_REQUESTS`."""
_REFUSAL_STATUSES = frozenset((408, 421, 429, 503))


@dataclass
class Ledger:
    """All observations of a run; times are seconds of one monotonic clock."""

    answers: list[Answer] = field(default_factory=list)
    runs: list[Arrival] = field(default_factory=list)
    deadly_sends: list[float] = field(default_factory=list)
    deadly_crashes: list[float] = field(default_factory=list)
    varying_sends: list[float] = field(default_factory=list)
    varying_crashes: list[float] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    """Requests that reached an engine, whether they were run or rejected."""
    cooldowns: list[Cooldown] = field(default_factory=list)
    leaving_answers: list[Arrival] = field(default_factory=list)
    """Answers in which an engine announced that it leaves, with the time of the announcement."""
    stated_limits: list[StatedLimit] = field(default_factory=list)
    broken_streams: list[Arrival] = field(default_factory=list)
    """Streams that an engine broke off inside an event, with the time of the break."""
    versioned_streams: list[VersionedStream] = field(default_factory=list)
    serving_versions: ServingVersions = field(default_factory=ServingVersions)
    absences: list[Absence] = field(default_factory=list)
    restarts: list[Absence] = field(default_factory=list)
    """Starts of gateways, which begin with empty state."""
    memories: RunMemories = field(default_factory=RunMemories)
    """Runs of long streams, and the memory that engines held for them."""
    views: ViewChecks = field(default_factory=ViewChecks)
    """What gateways had in force; observed only in a run with silenced connections."""
    parts: PartLedger = field(default_factory=PartLedger)
    """Requests with prompt parts that crash engines; none in a run without such parts."""
    decoy_targets: Counter[str] = field(default_factory=Counter)
    """Names of the upstreams for which requests to the decoy were meant."""
    decoy_requests: int = 0
    """Number of requests sent to the decoy, whose address only malformed entries contain."""

    def faults(self) -> list[str]:
        """Return violations of the invariants, which hold under every fault of the run."""
        violations = [
            f"{answer.attempt}: answered with the response of another request"
            for answer in self.answers
            if answer.status == 200 and answer.whole and not answer.is_own
        ]
        runs = Counter(run.attempt for run in self.runs)
        for answer in self.answers:
            if answer.kind == "once" and runs[answer.attempt] > 1:
                violations.append(f"{answer.attempt}: ran {runs[answer.attempt]} times")
            if (
                answer.kind == "once"
                and answer.status in _REFUSAL_STATUSES
                and runs[answer.attempt]
            ):
                violations.append(f"{answer.attempt}: refused with {answer.status} although it ran")
        violations += [
            f"{answer.attempt}: stream events out of order"
            for answer in self.answers
            if not answer.in_order
        ]
        violations += [
            f"{answer.attempt}: ran without an answer to the client" for answer in self._lost(runs)
        ]
        violations += [f"{answer.attempt}: answered after the deadline" for answer in self._late()]
        violations += self._violated_cooldowns() + self._sent_to_leaving() + self.over_limits()
        violations += move_violations(self.memories, self.answers, self._was_absent_between)
        violations += self._outdated_views()
        violations += version_violations(self.versioned_streams)
        violations += self.parts.violations()
        if self.decoy_requests:
            violations.append(
                f"{self.decoy_requests} requests sent to an address from a malformed entry, for "
                f"{', '.join(sorted(self.decoy_targets))}"
            )
        late = self.late_sends()
        if late > _MAX_LATE_SENDS:
            violations.append(
                f"a request under which three engines had failed was sent {late} more times"
            )
        return violations

    def _outdated_views(self) -> list[str]:
        if not self.views.observed:
            return []
        gateways = {answer.attempt: answer.gateway for answer in self.answers}
        return self.views.violations(self.arrivals, gateways)

    def truncation_causes(self) -> Counter[str]:
        """Return how many answers of long streams were truncated, by cause."""
        return truncation_causes(self.memories, self.answers, self._was_absent_between)

    def _violated_cooldowns(self) -> list[str]:
        """Return cooldowns in which the notified gateway sent more than was in transit."""
        gateways = {answer.attempt: answer.gateway for answer in self.answers}
        violations = []
        for cooldown in self.cooldowns:
            gateway = gateways.get(cooldown.attempt)
            since, until = cooldown.at + _GRACE_SECONDS, cooldown.at + cooldown.seconds
            if gateway is None or self._may_have_lost_state(gateway, cooldown.at, until):
                continue
            sent = sum(
                since < item.at < until
                and item.engine == cooldown.engine
                and gateways.get(item.attempt) == gateway
                for item in self.arrivals
            )
            if sent > _MAX_SENT_IN_COOLDOWN:
                violations.append(
                    f"{cooldown.engine}: {sent} requests in a cooldown of {cooldown.seconds:.1f} s"
                )
        return violations

    def _sent_to_leaving(self) -> list[str]:
        """Return requests that were sent to an engine long after it announced that it leaves."""
        answers = {answer.attempt: answer for answer in self.answers}
        announced_at: dict[tuple[str, str], float] = {}
        for item in self.leaving_answers:
            answer = answers.get(item.attempt)
            if answer is not None:
                key = (item.engine, answer.gateway)
                announced_at[key] = min(announced_at.get(key, item.at), item.at)
        violations = []
        for item in self.arrivals:
            answer = answers.get(item.attempt)
            if answer is None:
                continue
            at = announced_at.get((item.engine, answer.gateway))
            if at is None or answer.sent_at <= at + _LEAVE_GRACE_SECONDS:
                continue
            if not self._may_have_lost_state(answer.gateway, at, item.at):
                violations.append(
                    f"{item.attempt}: sent to {item.engine}, which had announced that it leaves"
                )
        return violations

    def over_limits(self) -> list[str]:
        """Return engines that got more than their limit from all notified gateways together."""
        violations = []
        for engine in sorted({word.engine for word in self.stated_limits if word.rate < math.inf}):
            stated_limits = sorted(
                (word for word in self.stated_limits if word.engine == engine),
                key=lambda word: word.at,
            )
            first_stated_at = next(word.at for word in stated_limits if word.rate < math.inf)
            sent = self._sent_by_notified(engine, stated_limits)
            starts = [at for at in sent if at >= first_stated_at + PROPAGATION_SECONDS]
            for start in starts:
                count = sum(start <= at < start + _LIMIT_WINDOW_SECONDS for at in sent)
                rate = _rate_around(stated_limits, start)
                if count > _LIMIT_RATIO * rate * _LIMIT_WINDOW_SECONDS + _LIMIT_SLACK_REQUESTS:
                    violations.append(f"{engine}: {count} requests in 4 s at a limit of {rate:g}")
                    break
        return violations

    def limited_runs(self) -> dict[str, int]:
        """Return how many requests ran at each engine that ever stated a limit."""
        limited = {word.engine for word in self.stated_limits if word.rate < math.inf}
        return {engine: sum(run.engine == engine for run in self.runs) for engine in limited}

    def _sent_by_notified(self, engine: str, stated_limits: list[StatedLimit]) -> list[float]:
        """Return arrival times of requests from gateways that had relayed the limit."""
        gateways = {answer.attempt: answer.gateway for answer in self.answers}
        sent = []
        for item in self.arrivals:
            gateway = gateways.get(item.attempt)
            if item.engine != engine or gateway is None:
                continue
            stated_at = [
                word.at
                for word in stated_limits
                if word.rate < math.inf
                and word.at <= item.at - _GRACE_SECONDS
                and gateways.get(word.attempt) == gateway
            ]
            if stated_at and not self._may_have_lost_state(gateway, stated_at[-1], item.at):
                sent.append(item.at)
        return sorted(sent)

    def _may_have_lost_state(self, gateway: str, since: float, until: float) -> bool:
        """Return whether a gateway was absent or restarted, and so lost state, in a period."""
        started = any(
            item.gateway == gateway and since <= item.since <= until for item in self.restarts
        )
        return started or self._was_absent_between(gateway, since, until)

    def _was_absent_between(self, gateway: str, since: float, until: float) -> bool:
        return any(
            item.gateway == gateway and item.since <= until and since <= item.until
            for item in self.absences
        )

    def _lost(self, runs: Counter[str]) -> list[Answer]:
        """Return requests that ran and got no answer although their gateway was available."""
        return [
            answer
            for answer in self.answers
            if answer.status == 0 and runs[answer.attempt] and not self._was_absent_during(answer)
        ]

    def _late(self) -> list[Answer]:
        """Return requests answered after their deadline although their gateway was available."""
        return [
            answer
            for answer in self.answers
            if answer.ended_at - answer.sent_at
            > answer.deadline_seconds + _DEADLINE_TOLERANCE_SECONDS
            and not self._was_absent_during(answer)
        ]

    def _was_absent_during(self, answer: Answer) -> bool:
        return self._was_absent_between(answer.gateway, answer.sent_at, answer.ended_at)

    def late_sends(self) -> int:
        """Return how often the deadly request reached engines after all gateways must hold it."""
        if len(self.deadly_crashes) < _FAILURES_TO_HOLD:
            return 0
        held_since = sorted(self.deadly_crashes)[_FAILURES_TO_HOLD - 1] + PROPAGATION_SECONDS
        return sum(at > held_since for at in self.deadly_sends)

    def served(self, kind: str, since: float) -> tuple[int, int]:
        """Return how many requests of a kind were served and how many sent since a time."""
        sent = [item for item in self.answers if item.kind == kind and item.sent_at >= since]
        return sum(item.status == 200 and item.is_own for item in sent), len(sent)

    def engines_used(self, since: float) -> set[str]:
        """Return the engine incarnations that ran any request since a time."""
        used: defaultdict[str, int] = defaultdict(int)
        for run in self.runs:
            if run.at >= since:
                used[run.engine] += 1
        return set(used)


def _rate_around(stated_limits: list[StatedLimit], start: float) -> float:
    """Return the highest limit stated in a window, or last before it."""
    before = [word for word in stated_limits if word.at < start]
    within = [
        word.rate for word in stated_limits if start <= word.at < start + _LIMIT_WINDOW_SECONDS
    ]
    return max(within + [word.rate for word in before[-1:]])
