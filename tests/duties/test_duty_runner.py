"""Tests the duties over many gateways: one holder, each window reported once, engines ordered."""

from __future__ import annotations

import asyncio
import functools
import unittest
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from lotushill.duties.duty_record import from_spec
from tests.duties.virtual_duties import LEASE
from tests.duties.virtual_duties import Host
from tests.duties.virtual_duties import World
from tests.duties.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

    AsyncTest = Callable[["TestDuties"], Coroutine[None, None, None]]


def in_virtual_time(test: AsyncTest) -> Callable[[TestDuties], None]:
    @functools.wraps(test)
    def run(self: TestDuties) -> None:
        run_virtual(test(self))

    return run


async def start_fleet(count: int = 5, fenced: bool = True, seed: int = 1) -> World:
    world = World(count, fenced, seed)
    for host in world.hosts:
        host.start()
    await world.serve(8.0)
    return world


class TestDuties(unittest.TestCase):
    def check_invariants(self, world: World) -> None:
        """Check the invariants against the calls that the platform received."""
        self.assertEqual(world.platform.differing_windows, [])
        owners: dict[tuple[str, int], str] = {}
        for call in world.platform.calls:
            self.assertEqual(owners.setdefault((call.subject, call.token), call.host), call.host)
        self.check_no_alternation(world)

    def check_no_alternation(self, world: World) -> None:
        """Check that no holder acts again within a lease after another one has acted."""
        by_subject: dict[str, list[tuple[str, float]]] = {}
        for call in world.platform.calls:
            if call.accepted:
                by_subject.setdefault(call.subject, []).append((call.host, call.at))
        for calls in by_subject.values():
            last: dict[str, float] = {}
            for (before, _), (host, at) in zip([("", 0.0), *calls], calls):
                if host != before and host in last:
                    self.assertGreaterEqual(at - last[host], LEASE)
                last[host] = at

    @in_virtual_time
    async def test_without_faults_every_window_is_reported_exactly(self) -> None:
        world = await start_fleet()
        await world.serve(60.0)
        world.end()
        self.assertGreater(len(world.closed_windows()), 8)
        for window in world.closed_windows():
            reported, true_counts = world.platform.reports[window], world.true_counts[window]
            for team, count in true_counts.items():
                # A request that starts within milliseconds of a border may count on either side.
                self.assertAlmostEqual(reported[team], count, delta=1)
        self.assertEqual(len({call.host for call in world.platform.calls}), 1)
        self.check_invariants(world)

    @in_virtual_time
    async def test_a_killed_holder_is_replaced_and_no_window_is_missed(self) -> None:
        world = await start_fleet()
        for _ in range(3):
            await world.serve(11.0)
            holder = world.holder()
            assert holder is not None
            holder.kill()
            await world.serve(3.0)
            holder.start()
        await world.serve(25.0)
        world.end()
        self.assertGreaterEqual(len({call.host for call in world.platform.calls}), 2)
        self.assertEqual(world.wrong_windows(), [])
        self.check_invariants(world)

    @in_virtual_time
    async def test_a_stopped_holder_hands_over_within_a_second(self) -> None:
        world = await start_fleet()
        holder = world.holder()
        assert holder is not None
        await holder.stop()
        await world.serve(2.5)
        follower = world.holder()
        world.end()
        self.assertIsNotNone(follower)
        self.assertIsNot(follower, holder)
        self.check_invariants(world)

    @in_virtual_time
    async def test_a_holder_that_stops_while_it_renews_its_lease_hands_over(self) -> None:
        world = await start_fleet()
        holder = world.holder()
        assert holder is not None
        while not holder.writes_in_progress:
            await asyncio.sleep(0.001)
        await holder.stop()
        await world.serve(2.5)
        follower = world.holder()
        world.end()
        self.assertIsNotNone(follower)
        self.assertIsNot(follower, holder)
        self.check_invariants(world)

    @in_virtual_time
    async def test_stopping_gateway_does_not_acquire_the_duties_again(self) -> None:
        """A planned shutdown takes longer than the time for which a former holder stays out."""
        world = await start_fleet(count=1)
        holder = world.holder()
        assert holder is not None
        await holder.runner.hand_over()
        await world.serve(10.0)
        self.assertFalse(holder.runner.lease.is_held)
        world.end()

    @in_virtual_time
    async def test_unreadable_record_is_not_replaced(self) -> None:
        """A later version may have written it, whose reports would otherwise be sent again."""
        world = World(3)
        world.store.create("lotushill-duties", "main", {"form": 2})
        for host in world.hosts:
            host.start()
        await world.serve(12.0)
        self.assertIsNone(world.holder())
        self.assertEqual(world.store.get("lotushill-duties", "main")["spec"], {"form": 2})
        world.end()

    @in_virtual_time
    async def test_windows_stored_by_candidates_are_bounded(self) -> None:
        """A candidate must discard settled windows too, or it would store every window forever."""
        world = await start_fleet()
        await world.serve(60.0)
        for host in world.hosts:
            self.assertLessEqual(len(host.runner.usage.open_windows()), 4)
        world.end()

    @in_virtual_time
    async def test_after_all_power_is_lost_the_open_window_is_reported_from_the_store(
        self,
    ) -> None:
        world = await start_fleet()
        await world.serve(9.0)
        for host in world.hosts:
            host.kill()
        await asyncio.sleep(1.0)
        for host in world.hosts:
            host.start()
        await world.serve(30.0)
        world.end()
        # Requests that started within the last second before the outage are known to no gateway.
        self.assertLessEqual(len(world.wrong_windows()), 1)
        self.check_invariants(world)

    @in_virtual_time
    async def test_a_former_holder_that_wakes_up_changes_nothing(self) -> None:
        for fenced in (True, False):
            world = await start_fleet(fenced=fenced)
            holder = world.holder()
            assert holder is not None
            holder.not_frozen.clear()
            await world.serve(9.0)
            holder.not_frozen.set()
            await world.serve(20.0)
            self.assertIsNot(world.holder(), holder)
            world.end()
            self.assertEqual(world.platform.differing_windows, [])

    @in_virtual_time
    async def test_holder_without_the_store_stops_after_a_refused_call(self) -> None:
        """The refusal is the same as the one in a shortage of reclaimable engines."""
        world = await start_fleet()
        holder = world.holder()
        assert holder is not None
        holder.store_cut = True
        await world.serve(8.0)
        # Only reclaimable engines are available in addition, so only these are ordered again.
        for _ in range(400):
            holder.work.increment_running("llm")
        await world.serve(12.0)
        world.end()
        refused = [
            call.at
            for call in world.platform.calls
            if call.host == holder.name and not call.accepted
        ]
        self.assertLessEqual(len([at for at in refused if at > refused[0] + LEASE]), 3)
        self.check_invariants(world)

    @in_virtual_time
    async def test_without_checked_tokens_a_holder_without_the_store_stops_acting(self) -> None:
        world = await start_fleet(fenced=False)
        holder = world.holder()
        assert holder is not None
        holder.store_cut = True
        cut_at = world.now()
        await world.serve(25.0)
        world.end()
        late = [
            call
            for call in world.platform.calls
            if call.host == holder.name and call.at > cut_at + LEASE
        ]
        self.assertEqual(late, [])
        self.check_invariants(world)

    @in_virtual_time
    async def test_the_only_gateway_keeps_the_duties_if_the_platform_does_not_answer(self) -> None:
        world = await start_fleet(count=1)
        world.platform.down = True
        for _ in range(40):
            await world.serve(0.5)
            self.assertIsNotNone(world.holder())
        world.platform.down = False
        await world.serve(15.0)
        world.end()
        # The windows of the outage are reported after it, with the correct counts.
        self.assertEqual([item for item in world.wrong_windows() if item[1] != "late"], [])
        self.check_invariants(world)

    @in_virtual_time
    async def test_a_holder_that_the_platform_does_not_answer_is_replaced(self) -> None:
        world = await start_fleet()
        holder = world.holder()
        assert holder is not None
        holder.api_cut = True
        await world.serve(40.0)
        world.end()
        self.assertLessEqual(len(world.wrong_windows()), 1)
        self.check_invariants(world)

    @in_virtual_time
    async def test_reports_that_are_carried_out_late_are_the_same(self) -> None:
        world = await start_fleet()
        world.platform.late_fraction = 0.5
        await world.serve(15.0)
        holder = world.holder()
        assert holder is not None
        holder.kill()
        await world.serve(30.0)
        world.end()
        await asyncio.sleep(13.0)
        self.check_invariants(world)

    @in_virtual_time
    async def test_writes_without_answers_make_no_second_holder(self) -> None:
        world = await start_fleet()
        world.lost_fraction = 0.4
        await world.serve(30.0)
        world.lost_fraction = 0.0
        await world.serve(20.0)
        world.end()
        self.check_invariants(world)

    @in_virtual_time
    async def test_an_outage_of_the_store_costs_reports_and_never_doubles_one(self) -> None:
        world = await start_fleet()
        world.store_down = True
        await world.serve(8.0)
        world.store_down = False
        await world.serve(25.0)
        world.end()
        self.assertLessEqual(len(world.wrong_windows()), 2)
        self.check_invariants(world)

    @in_virtual_time
    async def test_a_clock_that_is_seconds_off_shifts_no_window(self) -> None:
        world = await start_fleet()
        for host in world.hosts[:2]:
            host.kill()
            host.clock_step = 3.0
            host.start()
        await world.serve(2.0)
        missed_before = int(1_700_000_000.0 + world.now()) // 5 + 1
        await world.serve(40.0)
        world.end()
        self.assertEqual([item for item in world.wrong_windows() if item[0] > missed_before], [])
        self.check_invariants(world)

    @in_virtual_time
    async def test_reclaimable_engines_replace_ordinary_ones(self) -> None:
        world = await start_fleet()
        await world.serve(20.0)
        world.end()
        engines = world.platform.engines
        self.assertEqual({hall for hall, _ in engines}, {"east", "west"})
        for hall in ("east", "west"):
            self.assertGreater(engines[hall, True], engines[hall, False])

    @in_virtual_time
    async def test_new_holder_continues_from_existing_orders(self) -> None:
        world = await start_fleet()
        holder = world.holder()
        assert holder is not None
        before = dict(world.platform.engines)
        holder.kill()
        await world.serve(12.0)
        world.end()
        self.assertEqual(world.platform.engines, before)

    def test_random_histories_keep_the_invariants(self) -> None:
        acts = st.tuples(
            st.sampled_from(
                ("kill", "stop", "freeze", "store", "api", "peers", "step", "lost", "late", "down")
            ),
            st.booleans(),
            st.integers(0, 40),
            st.floats(0.2, 9.0),
        )

        @settings(max_examples=40, deadline=None)
        @given(st.integers(3, 9), st.booleans(), st.lists(acts, min_size=2, max_size=7))
        def play(count: int, fenced: bool, plan: list[tuple[str, bool, int, float]]) -> None:
            run_virtual(self.inject_faults(count, fenced, plan))

        play()

    async def inject_faults(
        self, count: int, fenced: bool, plan: list[tuple[str, bool, int, float]]
    ) -> None:
        """Inject faults in sequence and overlapping, then end all of them."""
        world = await start_fleet(count, fenced, seed=len(plan))
        running: list[Awaitable[None]] = []
        for kind, on_holder, index, seconds in plan:
            host = (world.holder() if on_holder else None) or world.hosts[index % count]
            running.append(asyncio.ensure_future(self.inject_fault(world, kind, host, seconds)))
            await world.serve(seconds * 0.6, rate=10.0)
        await asyncio.gather(*running)
        await world.serve(26.0, rate=10.0)
        newest = int(1_700_000_000.0 + world.now()) // 5 - 4
        world.end()
        await asyncio.sleep(13.0)
        if fenced:
            self.check_invariants(world)
        else:
            self.assertEqual(world.platform.differing_windows, [])
        # Once all faults have ended, the duties are performed again.
        self.assertEqual([item for item in world.wrong_windows() if item[0] == newest], [])

    async def inject_fault(self, world: World, kind: str, host: Host, seconds: float) -> None:
        """Inject one fault for some time."""
        if kind == "kill":
            host.kill()
        elif kind == "stop":
            await host.stop()
        elif kind == "freeze":
            host.not_frozen.clear()
        elif kind in ("store", "api", "peers"):
            setattr(host, f"{kind}_cut", True)
        elif kind == "step":
            host.clock_step = 2.0
        elif kind == "lost":
            world.lost_fraction = 0.4
        elif kind == "late":
            world.platform.late_fraction = 0.5
        else:
            world.store_down = True
        await asyncio.sleep(seconds)
        host.not_frozen.set()
        host.store_cut = host.api_cut = host.peers_cut = False
        host.clock_step = 0.0
        world.lost_fraction = world.platform.late_fraction = 0.0
        world.store_down = False
        if not host.alive:
            host.start()


class TestRecord(unittest.TestCase):
    def test_unreadable_spec_gives_no_record(self) -> None:
        specs: tuple[object, ...] = (None, {}, {"holder": "a"}, [], {"holder": "a", "life": "x"})
        for spec in specs:
            self.assertIsNone(from_spec(spec))
