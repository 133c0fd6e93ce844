"""Upstreams that fail every request at once take most requests of a busy service.

They always have a free slot. Replays their load against the model of the fleet, without the
network, and the rows of failures alone.
"""

from __future__ import annotations

import heapq
import random
import unittest
from collections import Counter

from lotushill.placement.choice import Choice
from lotushill.placement.ejections import MIN_FAILURES
from lotushill.placement.ejections import Ejections
from lotushill.placement.fleet import Fleet
from lotushill.placement.messages import Began
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Outcome
from lotushill.placement.need import Need
from lotushill.placement.placed_message import placed_message
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from lotushill.routing.upstream import Upstream
from lotushill.waiting.open_engines import OpenEngines
from lotushill.waiting.slot_turns import RemoteQueues

_NAMES = ("u0", "u1", "u2", "u3", "u4")
_ENGINES = Service("llm", 100, EngineProfile(8, 400_000, 6))
_PLAIN = Service("app", 100, None)
_SECONDS = 20.0
_STREAM_SECONDS = 1.6
_FAILURE_SECONDS = 0.005
_PROBES = 5
"""Probes of one upstream in that time, after pauses of 1, 2, 4 and 8 seconds."""


class Replay:
    """Sends requests to five upstreams, some of which fail, by the model of one gateway."""

    def __init__(self, service: Service, rate: float, failing: dict[str, float], seed: int) -> None:
        """Send `rate` requests a second; `failing` has the fraction that each upstream fails."""
        self.fleet = Fleet("z")
        self.sent: Counter[str] = Counter()
        self.failed: Counter[str] = Counter()
        self._service = service
        self._failing = failing
        self._rng = random.Random(seed)
        self._open_engines = OpenEngines(self.fleet, RemoteQueues("gw"))
        self._upstreams = [
            Upstream(name, service.name, f"{name}:1", "z", 8, False) for name in _NAMES
        ]
        self._events: list[tuple[float, int, str]] = []
        self._run(rate)

    def _run(self, rate: float) -> None:
        for number in range(int(rate * _SECONDS)):
            now = number / rate
            self._advance(now)
            self._send(number, now)

    def _send(self, number: int, now: float) -> None:
        need = Need(self._service.name, "chat", 0.8, 0.5, 15.0, True, 800, 290, ())
        closed = self._open_engines.closed_engines(self._service, 0, self._upstreams, now)
        choice = self.fleet.choose(need, self._service, self._upstreams, frozenset(), now, closed)
        if not isinstance(choice, Choice):
            return
        name = choice.upstream.id
        self.sent[name] += 1
        has_engine = self._service.engine is not None
        message = placed_message(number, need, choice, has_engine)
        self.fleet.start(message, self._service, now)
        if self._rng.random() < self._failing.get(name, 0.0):
            self.failed[name] += 1
            heapq.heappush(self._events, (now + _FAILURE_SECONDS, number, "fail"))
        else:
            heapq.heappush(self._events, (now + 0.1, number, "begin"))
            heapq.heappush(self._events, (now + _STREAM_SECONDS, number, "end"))

    def _advance(self, now: float) -> None:
        while self._events and self._events[0][0] <= now:
            at, number, event = heapq.heappop(self._events)
            if event == "begin":
                self.fleet.begin(Began(number, 0.1), at)
            elif event == "end":
                self.fleet.end(Ended(number, Outcome.WHOLE, _STREAM_SECONDS), at)
            else:
                self.fleet.end(Ended(number, Outcome.FAILED), at)


class TestReplays(unittest.TestCase):
    def test_engines_that_fail_all_requests_get_a_few(self) -> None:
        """The sound ones had no free slot, and the failing ones got 61 of 360 requests."""
        for seed in range(5):
            replay = Replay(_ENGINES, 18.0, {"u0": 1.0, "u1": 1.0}, seed)
            for name in ("u0", "u1"):
                self.assertLessEqual(replay.sent[name], MIN_FAILURES + _PROBES)

    def test_plain_instances_that_fail_all_requests_get_a_few(self) -> None:
        for seed in range(5):
            replay = Replay(_PLAIN, 40.0, {"u0": 1.0, "u1": 1.0}, seed)
            for name in ("u0", "u1"):
                self.assertLessEqual(replay.sent[name], MIN_FAILURES + _PROBES)

    def test_engines_that_fail_one_in_fifty_are_not_ejected(self) -> None:
        for seed in range(20):
            replay = Replay(_ENGINES, 20.0, dict.fromkeys(_NAMES, 0.02), seed)
            self.assertEqual([], replay.fleet.ejections.take_changes())

    def test_nothing_is_ejected_while_most_upstreams_fail(self) -> None:
        """The cause may be a network, and the sound ones could not take over everything."""
        replay = Replay(_ENGINES, 20.0, {"u0": 1.0, "u1": 1.0, "u2": 1.0}, 1)
        ejections = replay.fleet.ejections
        self.assertEqual(["u0", "u1", "u2"], ejections.ejected())
        self.assertEqual(frozenset(), ejections.among(_NAMES, _SECONDS))
        self.assertGreater(sum(replay.failed.values()), 100)


class TestEjections(unittest.TestCase):
    def setUp(self) -> None:
        self.ejections = Ejections()

    def fail_row(self, upstream: str, now: float, count: float = MIN_FAILURES) -> None:
        for _ in range(int(count)):
            self.ejections.note_failure(upstream, now)

    def among(self, now: float) -> frozenset[str]:
        return self.ejections.among(_NAMES, now)

    def test_a_success_ends_a_row_of_failures(self) -> None:
        self.fail_row("u0", 0.0, MIN_FAILURES - 1)
        self.ejections.note_success("u0")
        self.fail_row("u0", 0.1, MIN_FAILURES - 1)
        self.assertEqual(frozenset(), self.among(0.1))

    def test_one_probe_at_a_time_is_sent_after_a_while(self) -> None:
        self.fail_row("u0", 0.0)
        self.assertEqual({"u0"}, self.among(0.9))
        self.assertEqual(frozenset(), self.among(1.0))
        self.ejections.note_started("u0", 1.0)
        self.assertEqual({"u0"}, self.among(1.1))

    def test_a_probe_that_succeeds_ends_the_ejection(self) -> None:
        self.fail_row("u0", 0.0)
        self.ejections.note_started("u0", 1.0)
        self.ejections.note_success("u0")
        self.assertEqual(frozenset(), self.among(1.1))
        changes = self.ejections.take_changes()
        self.assertEqual([True, False], [change.is_ejected for change in changes])

    def test_probes_that_fail_are_sent_ever_more_rarely(self) -> None:
        now, pauses = 0.0, []
        self.fail_row("u0", now)
        for _ in range(6):
            began = now
            while "u0" in self.among(now):
                now += 0.25
            pauses.append(now - began)
            self.ejections.note_started("u0", now)
            self.ejections.note_failure("u0", now)
        self.assertEqual([1.0, 2.0, 4.0, 8.0, 8.0, 8.0], pauses)

    def test_failures_that_are_long_ago_are_no_row(self) -> None:
        for number in range(20):
            self.ejections.note_failure("u0", 11.0 * number)
        self.assertEqual(frozenset(), self.among(220.0))

    def test_failures_seen_from_other_halls_count_in_part(self) -> None:
        for _ in range(10):
            self.ejections.note_failure("u0", 0.0, 0.3)
        self.assertEqual(frozenset(), self.among(0.1))
        for _ in range(10):
            self.ejections.note_failure("u0", 0.0, 0.3)
        self.assertEqual({"u0"}, self.among(0.1))
