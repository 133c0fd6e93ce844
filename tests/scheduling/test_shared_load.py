from __future__ import annotations

import unittest
from dataclasses import dataclass
from dataclasses import field

import xxhash
from hypothesis import given
from hypothesis import strategies as st

from lotushill.placement.fleet import Fleet
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Load
from lotushill.placement.messages import Placed
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from lotushill.scheduling.shared_load import SharedLoad

SERVICE = Service("llm", 100, EngineProfile(32, 400_000, 5))


def key(name: str) -> int:
    return xxhash.xxh64_intdigest(name)


def placed(name: str) -> Placed:
    return Placed(key(name), "b", 1000, 1200, 0.15, 1.0, 0.0)


@dataclass
class Gateway:
    """The shared load of one gateway, with the updates that it has published."""

    name: str
    clock: list[float]
    published: list[Load] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.fleet = Fleet("z")
        self.load = SharedLoad(
            self.name, self.fleet, lambda: self.clock[0], lambda _: SERVICE, self.published.append
        )

    def running(self) -> set[int]:
        return set(self.fleet.load("b").running)


_STEPS = st.lists(
    st.tuples(st.sampled_from(["start", "begin", "end"]), st.integers(0, 8), st.booleans()),
    max_size=60,
)


class TestSharedLoad(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = [0.0]
        self.one = Gateway("one", self.clock)
        self.other = Gateway("other", self.clock)

    def receive_snapshot(self) -> None:
        for load in self.one.load.snapshot():
            self.other.load.receive(load)

    @given(_STEPS)
    def test_after_a_snapshot_both_gateways_agree_whatever_was_lost(
        self, steps: list[tuple[str, int, bool]]
    ) -> None:
        self.setUp()
        lives = [0] * 9
        for what, number, arrives in steps:
            self.clock[0] += 0.01
            # As in a gateway, the number of an attempt that has ended is never used again.
            name = f"one/{number}.{lives[number]}"
            if what == "start":
                self.one.load.start(placed(name), SERVICE)
            elif what == "begin":
                self.one.load.begin(key(name), 0.1)
            else:
                self.one.load.end(key(name))
                lives[number] += 1
            for update in self.one.published:
                if arrives:
                    self.other.load.receive(update)
            self.one.published.clear()
        self.clock[0] += 0.5
        self.receive_snapshot()
        self.assertEqual(self.one.running(), self.other.running())
        unread = [
            gateway.fleet.load("b").prefill_queue.remaining_tokens(0.0, self.clock[0])
            for gateway in (self.one, self.other)
        ]
        self.assertEqual(unread[0], unread[1])

    def test_a_lost_end_and_a_lost_start_are_repaired_by_a_snapshot(self) -> None:
        self.one.load.start(placed("one/1"), SERVICE)
        self.other.load.receive(self.one.published.pop())
        self.one.load.end(key("one/1"))
        self.one.load.start(placed("one/2"), SERVICE)
        self.clock[0] = 1.0
        self.receive_snapshot()
        self.assertEqual({key("one/2")}, self.other.running())

    def test_a_request_whose_end_is_never_received_expires(self) -> None:
        self.other.load.receive(Load("one", False, placed=(placed("one/1"),)))
        self.clock[0] = 2.0
        self.other.load.expire()
        self.assertEqual({key("one/1")}, self.other.running())
        self.clock[0] = 4.0
        self.other.load.expire()
        self.assertEqual(set(), self.other.running())

    def test_requests_of_a_lost_gateway_are_dropped(self) -> None:
        self.other.load.receive(Load("one", False, placed=(placed("one/1"),)))
        self.other.load.drop_sender("one")
        self.assertEqual(set(), self.other.running())

    def test_a_young_request_survives_a_snapshot_that_was_in_transit(self) -> None:
        snapshot = self.one.load.snapshot()
        self.other.load.receive(Load("one", False, placed=(placed("one/1"),)))
        for load in snapshot:
            self.other.load.receive(load)
        self.assertEqual({key("one/1")}, self.other.running())

    def test_a_late_joiner_receives_all_running_requests_within_some_snapshots(self) -> None:
        for index in range(40):
            self.one.load.start(placed(f"one/{index}"), SERVICE)
        self.one.published.clear()
        self.clock[0] = 5.0
        for _ in range(6):
            self.clock[0] += 0.5
            self.receive_snapshot()
        self.assertEqual(self.one.running(), self.other.running())
        self.assertEqual(40, len(self.other.running()))

    def test_snapshots_of_a_large_fleet_are_less_frequent(self) -> None:
        lists = {9: 0, 360: 0}
        for gateways in lists:
            gateway = Gateway(f"one of {gateways}", self.clock)
            gateway.load.start(placed("a"), SERVICE)
            for _ in range(200):
                self.clock[0] += 0.1
                lists[gateways] += bool(gateway.load.due_snapshots(gateways))
        self.assertGreaterEqual(lists[9], 35)
        self.assertLessEqual(lists[360], 1 + 20 * 40 / 360)

    def test_each_start_is_repeated_in_two_snapshots(self) -> None:
        self.one.load.start(placed("a"), SERVICE)
        sent = []
        for _ in range(3):
            self.clock[0] += 0.5
            sent.append(sum(len(load.placed) for load in self.one.load.snapshot()))
        self.assertEqual([1, 1, 0], sent)

    def test_a_gateway_that_becomes_a_scheduler_receives_all_running_requests(self) -> None:
        for name in "abcdefgh":
            self.one.load.start(placed(name), SERVICE)
            self.other.load.receive(self.one.published.pop())
        self.other.load.start(placed("own"), SERVICE)
        self.clock[0] += 0.5
        joined = Gateway("newcomer", self.clock)
        for load in self.other.load.all_running():
            joined.load.receive(load)
        self.assertEqual(9, len(joined.running()))
        self.assertEqual(self.other.running(), joined.running())

    def test_a_request_placed_for_another_gateway_is_published_in_its_name(self) -> None:
        self.one.load.start_for("asker", placed("asker/1"), SERVICE)
        (update,) = self.one.published
        self.assertEqual("asker", update.sender)
        self.other.load.receive(update)
        ended = Load("asker", False, ended=(Ended(key("asker/1")),))
        for gateway in (self.one, self.other):
            self.assertEqual({key("asker/1")}, gateway.running())
            gateway.load.receive(ended)
            self.assertEqual(set(), gateway.running())
