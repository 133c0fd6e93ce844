"""Properties of a cell over whole histories of arrivals, grants, losses and ends."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from lotushill.dispatch.messages import Decision
from lotushill.dispatch.messages import EndKind
from lotushill.dispatch.messages import Grant
from lotushill.dispatch.messages import Preemption
from lotushill.dispatch.messages import Refusal
from lotushill.dispatch.messages import RefusalReason
from lotushill.dispatch.options import CellOptions
from lotushill.dispatch.placement import Contention
from lotushill.dispatch.placement import has_room
from tests.dispatch.cell_driver import CellDriver
from tests.dispatch.cell_driver import make_ask

CEILING = 4
MAX_WAITING = 6
TIERS = 3


class CellHistory(RuleBasedStateMachine):
    """Random histories; after each step everything that must always hold is checked."""

    contention = Contention.PAUSE

    @initialize(upstreams=st.integers(1, 3), slots=st.integers(1, 3))
    def start(self, upstreams: int, slots: int) -> None:
        options = CellOptions(
            slots=slots, max_slots=CEILING, max_waiting=MAX_WAITING, contention=self.contention
        )
        self.driver = CellDriver(options, upstreams)
        self.serial = 0

    @rule(
        tier=st.integers(0, TIERS - 1),
        team=st.integers(0, 2),
        resumable=st.booleans(),
        early=st.booleans(),
        time_left=st.sampled_from([0.5, 5.0, 1000.0]),
    )
    def arrive(
        self,
        tier: int,
        team: int,
        resumable: bool,
        early: bool,
        time_left: float,
    ) -> None:
        self.serial += 1
        ask = make_ask(
            f"r{self.serial}",
            tier=tier,
            team=f"team-{team}",
            klass=f"class-{tier}",
            resumable=resumable,
            refuse_early=early,
            target=1.0 if early else 0.0,
            time_left=time_left,
            # Limits belong to a class: one team has none, one a rate, one a concurrency.
            rate=2.0 if team == 1 else 0.0,
            concurrency=1 if team == 2 else 0,
        )
        self.follow(self.driver.ask(ask))

    @precondition(lambda self: self.driver.granted)
    @rule(data=st.data(), kind=st.sampled_from(EndKind), tokens=st.integers(0, 200))
    def finish(self, data: st.DataObject, kind: EndKind, tokens: int) -> None:
        request = data.draw(st.sampled_from(sorted(self.driver.granted)))
        self.follow(self.driver.end(request, kind, tokens))

    @precondition(lambda self: self.driver.asks)
    @rule(data=st.data())
    def caller_leaves(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(sorted(self.driver.asks)))
        self.follow(self.driver.cancel(request))

    @precondition(lambda self: self.driver.asks)
    @rule(data=st.data())
    def ask_repeated(self, data: st.DataObject) -> None:
        waiting = [item.ask for item in self.driver.cell.waiting]
        if waiting:
            self.follow(self.driver.ask(data.draw(st.sampled_from(waiting))))

    @precondition(lambda self: self.driver.granted)
    @rule(data=st.data())
    def ask_repeated_after_its_grant(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(sorted(self.driver.granted)))
        before = self.driver.granted[request]
        decisions = self.driver.ask(self.driver.cell.running[request].waiting.ask)
        assert [(item.request, item.attempt) for item in decisions] == [(request, before.attempt)]
        assert self.driver.granted[request].upstream == before.upstream, "granted twice"

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.1, 12.0]))
    def time_passes(self, seconds: float) -> None:
        self.follow(self.driver.pass_time(seconds))

    @rule(index=st.integers(0, 2), back=st.booleans())
    def upstream_moves(self, index: int, back: bool) -> None:
        cell = self.driver.cell
        name = f"up-{index}"
        if name not in cell.upstreams:
            return
        if back:
            cell.add_upstream(name, cell.upstreams[name].address, "hall-0")
        else:
            cell.leave_upstream(name)
        self.follow(self.driver.pass_time(0.0))

    def follow(self, decisions: list[Decision]) -> None:
        """Check the decisions of one step against the state they left."""
        for decision in decisions:
            if isinstance(decision, Grant):
                self.check_grant(decision)
            elif isinstance(decision, Preemption):
                self.check_preemption(decision)
            elif isinstance(decision, Refusal) and decision.reason is RefusalReason.SHED:
                self.check_shed(decision)

    def check_grant(self, grant: Grant) -> None:
        upstream = self.driver.cell.upstreams[grant.upstream]
        assert not upstream.leaving, "granted work on an upstream that is leaving"
        running = self.driver.cell.running[grant.request]
        if not running.in_lane:
            assert upstream.count(running.tier) <= upstream.cap.slots, "granted over the cap"

    def check_preemption(self, preemption: Preemption) -> None:
        running = self.driver.cell.running[preemption.request]
        assert running.waiting.ask.resumable, "stopped what cannot be taken up again"
        waiting = [item.ask.tier for item in self.driver.cell.waiting]
        assert waiting, "stopped a request for nobody"
        assert min(waiting) < running.tier, "stopped a request for one that is no higher"

    def check_shed(self, refusal: Refusal) -> None:
        tier = self.driver.asks[refusal.request].tier
        lower = [item.ask.tier for item in self.driver.cell.waiting if item.ask.tier > tier]
        assert not lower, "shed a request while a lower tier kept its place"

    @invariant()
    def each_ask_is_decided_once(self) -> None:
        decided = self.driver.decided
        assert len(decided) == len(set(decided))

    @invariant()
    def caps_hold(self) -> None:
        in_lane = 0
        for upstream in self.driver.cell.upstreams.values():
            assert upstream.total() <= CEILING
            assert upstream.lane() <= 1
            in_lane += upstream.lane()
        assert in_lane <= max(1, self.driver.upstreams)

    @invariant()
    def books_agree(self) -> None:
        cell = self.driver.cell
        assert set(cell.running) == set(self.driver.granted)
        for upstream in cell.upstreams.values():
            assert all(cell.running[name] is item for name, item in upstream.running.items())
        assert not {item.ask.request for item in cell.waiting} & set(cell.running)

    @invariant()
    def nobody_waits_beside_room(self) -> None:
        cell, now = self.driver.cell, self.driver.now
        for item in cell.waiting:
            if item.ask.rate or item.ask.concurrency or not cell.may_start(item, now):
                continue
            for upstream in cell.upstreams.values():
                free = upstream.usable(now) and has_room(upstream, item.ask.tier, self.contention)
                assert not free, "a request waits although an upstream has room for it"

    @invariant()
    def queue_is_bounded(self) -> None:
        assert len(self.driver.cell.waiting) <= MAX_WAITING


class PreemptHistory(CellHistory):
    contention = Contention.PREEMPT


class QueueHistory(CellHistory):
    contention = Contention.QUEUE


HISTORY_SETTINGS = settings(max_examples=80, stateful_step_count=40)


class TestHistories(unittest.TestCase):
    def test_lower_tiers_are_paused(self) -> None:
        run_state_machine_as_test(CellHistory, settings=HISTORY_SETTINGS)

    def test_lower_tiers_are_preempted(self) -> None:
        run_state_machine_as_test(PreemptHistory, settings=HISTORY_SETTINGS)

    def test_lower_tiers_end_first(self) -> None:
        run_state_machine_as_test(QueueHistory, settings=HISTORY_SETTINGS)
