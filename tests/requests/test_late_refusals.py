"""A run is started anew, sent unwanted or left without its memory after a late answer.

Upstreams refuse a run later than they usually do, or answer the call that stops it late. The run
must not start again where it may run once, and nothing may stay reserved or be freed too early.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

from lotushill.requests.handover import Phase
from lotushill.routing.route import RouteKind
from lotushill.routing.upstream import Upstream
from tests.requests.moving_upstream import STEP
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream
from tests.requests.test_cooldowns import prefer
from tests.requests.test_handover import BUSY
from tests.requests.test_handover import COPIED
from tests.requests.test_handover import NOT_STOPPED
from tests.requests.test_handover import HandoverSite
from tests.requests.test_moves import Site
from tests.requests.test_silent_upstream import pauses
from tests.requests.test_silent_upstream import resumes
from tests.requests.test_silent_upstream import silent
from tests.requests.test_silent_upstream import stalls
from tests.virtual_time import run_virtually

if TYPE_CHECKING:
    from lotushill.moves.memory_copy import Copied
    from lotushill.moves.memory_copy import NotCopied
    from tests.requests.rig import ReceivedRequest

_LATE_SECONDS = 0.15
"""Time after which a request is refused; longer than a refusal is waited for."""
_REFUSAL = "503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
_LENGTH = "Token-Usage: 50,20\r\n"


class TestLateRefusals(unittest.IsolatedAsyncioTestCase):
    async def test_a_run_whose_backup_refuses_late_is_not_run_again(self) -> None:
        new_runs: list[str] = []

        async def serve(seen: ReceivedRequest) -> None:
            if "kv-from" in seen.headers:
                await asyncio.sleep(_LATE_SECONDS)
                seen.answer(_REFUSAL)
                return
            new_runs.append(seen.headers.get("last-event-id", "first"))
            await (pauses if len(new_runs) == 1 else resumes)(seen)

        upstreams = [ScriptedUpstream([serve]) for _ in range(3)]
        async with Rig(upstreams, RouteKind.STREAM, engine=True, backups=True) as rig:
            await rig.call(headers=_LENGTH)
        self.assertEqual(["first"], new_runs)

    async def test_a_moved_run_whose_source_refuses_late_is_not_run_again(self) -> None:
        new_runs: list[str] = []
        async with Site().open() as site:
            serve_source = site.source.serve

            async def serve_target(seen: ReceivedRequest) -> None:
                if "kv-from" in seen.headers:
                    await seen.reader.read()
                    return
                new_runs.append(seen.id)

            async def refuse_late(seen: ReceivedRequest) -> None:
                if "kv-from" in seen.headers:
                    await asyncio.sleep(_LATE_SECONDS)
                    seen.answer(_REFUSAL)
                    return
                await serve_source(seen)

            site.source.step = 6 * STEP
            site.source.scripts = [refuse_late]
            for other in site.others:
                other.scripts = [serve_target]
            await site.call(leaves_in=2.5)
        self.assertEqual([], new_runs)

    async def test_a_source_in_cooldown_is_not_asked_while_its_target_is_silent(self) -> None:
        asked_in_cooldown: list[bool] = []
        async with Site().open() as site:
            serve_source = site.source.serve
            refuses = True

            async def refuse_once(seen: ReceivedRequest) -> None:
                nonlocal refuses
                if not refuses:
                    await seen.reader.read()
                    return
                refuses = False
                seen.answer(_REFUSAL)

            async def ask_for_cooldown(seen: ReceivedRequest) -> None:
                if "kv-from" not in seen.headers:
                    await serve_source(seen)
                    return
                now = site.rig.clock()
                asked_in_cooldown.append(site.rig.cooldowns.is_barred("b0", now))
                seen.answer(_REFUSAL)
                await seen.writer.drain()
                loop = asyncio.get_running_loop()
                loop.call_later(0.01, site.rig.cooldowns.note_requested, "b0", 5.0, now)

            site.source.step = 6 * STEP
            site.source.scripts = [ask_for_cooldown]
            for other in site.others:
                other.scripts = [refuse_once]
            await site.call(leaves_in=2.5)
        self.assertNotIn(True, asked_in_cooldown)

    async def test_a_replacement_is_not_sent_if_the_budget_has_shrunk(self) -> None:
        upstreams = [ScriptedUpstream([stalls]), ScriptedUpstream([resumes])]
        rig = Rig(upstreams, RouteKind.STREAM, resumable=True, engine=True, slack=2.0, timeout=2.0)
        async with rig:
            prefer(rig, "b0")
            gateways = 1
            budgets, gate = rig.components.budgets, rig.components.gate
            admit = gate.admit

            async def admit_slowly(upstream: Upstream, need: object, ends: float) -> object:
                nonlocal gateways
                if upstream.id == "b1":
                    await asyncio.sleep(0.02)
                    gateways = 100
                return await admit(upstream, need, ends)  # type: ignore[arg-type]

            budgets._gateways = lambda: gateways
            gate.admit = admit_slowly  # type: ignore[method-assign, assignment]
            await rig.call()
        self.assertEqual([], upstreams[1].requests)

    async def test_the_notice_of_an_upstream_counts_from_its_entry(self) -> None:
        async with Rig([ScriptedUpstream([silent])], RouteKind.STREAM, engine=True) as rig:
            address = rig.upstreams[0].address
            leaving = Upstream("b0", "s", address, "z", 8, True, leaves_seconds=2.0)
            rig.view.replace([leaving], 2)
            rig.mover.start_due_handovers()
            rig.suspended += 3.0
            self.assertEqual(0.0, rig.mover.seconds_until_shutdown("b0", rig.clock()))

    async def test_a_run_that_has_continued_holds_no_retry(self) -> None:
        async with Site().open() as site:
            for item in [site.source, *site.others]:
                item.step = 4 * STEP
            calling = asyncio.create_task(site.call(leaves_in=1.5))
            async with asyncio.timeout(5.0):
                while not any(run.made >= 15 for item in site.others for run in item.runs.values()):
                    await asyncio.sleep(STEP)
            self.assertEqual(0, site.rig.components.budgets.reserved("s"))
            await calling

    async def test_a_fault_in_the_search_for_a_replacement_cuts_no_stream(self) -> None:
        upstreams = [ScriptedUpstream([pauses]), ScriptedUpstream([resumes])]
        async with Rig(upstreams, RouteKind.STREAM, resumable=True, engine=True) as rig:
            prefer(rig, "b0")
            placer = rig.components.placer
            place = placer.place

            async def fail(request: object, excluded: frozenset[str], *rest: object) -> object:
                if "b0" in excluded:
                    raise KeyError("fault")
                return await place(request, excluded, *rest)  # type: ignore[arg-type]

            placer.place = fail  # type: ignore[method-assign, assignment]
            got = await rig.call()
        self.assertTrue(got.whole)


class TestLateAnswers(unittest.TestCase):
    def test_the_memory_of_a_continued_run_is_not_freed_by_busy_answers(self) -> None:
        async def play() -> None:
            site = HandoverSite([COPIED, BUSY])
            handing_over = asyncio.create_task(site.handover.run())
            await asyncio.sleep(0.05)
            site.handover.note_stream_ended()
            await site.handover.wait_for_memory()
            site.handover.note_continuing()
            await asyncio.sleep(0.2)
            self.assertEqual([], site.memory.freed)
            await handing_over

        run_virtually(play())

    def test_a_late_refusal_of_the_only_stop_gives_up_the_move(self) -> None:
        async def play() -> None:
            site = HandoverSite([COPIED, NOT_STOPPED])
            copy = site.memory.copy

            async def answer_late(*arguments: object) -> Copied | NotCopied:
                answer = await copy(*arguments)  # type: ignore[arg-type]
                if arguments[3]:
                    await asyncio.sleep(0.6)
                return answer

            site.memory.copy = answer_late  # type: ignore[method-assign, assignment]
            await site.handover.run()
            self.assertEqual(Phase.GIVEN_UP, site.handover.phase)
            self.assertEqual(0, site.budget.reserved)

        run_virtually(play())
