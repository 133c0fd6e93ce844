"""The promises to callers, with each fault of an upstream at each step of a request."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING
from unittest import mock

import anyio

from lotushill.callers.answer import Answer
from lotushill.load.caller import Reply
from lotushill.load.caller import expected_text
from lotushill.standin.object_store import StoreFault
from lotushill.standin.service_app import ServiceApp
from tests.callers.rig import Rig
from tests.callers.rig import make_book
from tests.callers.rig import make_engines
from tests.callers.rig import run_with

if TYPE_CHECKING:
    from lotushill.standin.engine_app import EngineApp


def make_rig(engines: int = 2, services: int = 1) -> Rig:
    apps = [ServiceApp(f"service-{index}") for index in range(services)]
    return Rig(make_book(), make_engines(engines), apps)


async def cut_once(engine: EngineApp) -> None:
    """Cut off what the engine streams as soon as it has given a few tokens."""
    while not any(record.tokens >= 3 for record in engine.records):
        await anyio.sleep(0.001)
    engine.faults.cut = True


class TestWholeAnswers(unittest.TestCase):
    def test_each_caller_gets_its_own_whole_answer(self) -> None:
        async def scenario(rig: Rig) -> None:
            replies: dict[str, Reply] = {}

            async def one(prompt: str, stream: bool) -> None:
                replies[prompt] = await rig.caller.call(rig.letter(prompt, stream=stream))

            async with anyio.create_task_group() as group:
                for index in range(24):
                    prompt = f"letter {index} length={5 + index}"
                    group.start_soon(one, prompt, bool(index % 2))
            for prompt, reply in replies.items():
                self.assertTrue(reply.completed, reply)
                self.assertEqual(reply.text, expected_text(prompt))
            self.assertEqual(rig.runs(), 24)

        run_with(make_rig(), scenario)

    def test_a_plain_call_is_forwarded(self) -> None:
        async def scenario(rig: Rig) -> None:
            reply = await rig.caller.send(rig.note(), b"note 1")
            self.assertEqual((reply.status, reply.outcome), (200, "completed"))
            self.assertEqual(reply.text, "note 1")
            self.assertEqual(rig.services[0].records[0].path, "/notes")

        run_with(make_rig(), scenario)


class TestFaultsOfEngines(unittest.TestCase):
    def check(self, rig: Rig, prompt: str, reply: Reply, outcome: str) -> None:
        self.assertEqual(reply.outcome, outcome, rig.journal.find(reply.request))
        if outcome == "completed":
            self.assertEqual(reply.text, expected_text(prompt))
        else:
            self.assertFalse(reply.completed)
            self.assertTrue(expected_text(prompt).startswith(reply.text))

    def test_an_engine_that_dies_in_mid_stream_is_replaced(self) -> None:
        async def scenario(rig: Rig) -> None:
            prompt = "dispute length=60"
            async with anyio.create_task_group() as group:
                for engine in rig.engines[:1]:
                    group.start_soon(cut_once, engine)
                replies = [
                    await rig.caller.call(rig.letter(f"{prompt} {index}")) for index in range(4)
                ]
                group.cancel_scope.cancel()
            for index, reply in enumerate(replies):
                self.check(rig, f"{prompt} {index}", reply, "completed")
            cut = [item for item in rig.engines[0].records if item.ended == "cut"]
            self.assertTrue(cut, "the fault did not happen")
            resumed = [item for item in rig.engines[1].records if item.attempt == "1"]
            self.assertEqual(len(resumed), len(cut))
            # Taken up where it stopped: no token is made twice.
            self.assertTrue(all(item.tokens < 60 for item in resumed))

        run_with(make_rig(), scenario)

    def test_a_started_stream_of_a_pool_that_cannot_resume_ends_visibly(self) -> None:
        async def scenario(rig: Rig) -> None:
            for engine in rig.engines:
                engine.faults.cut = True
            reply = await rig.caller.call(rig.letter("dispute length=30"))
            self.assertEqual(reply.outcome, "failed")
            self.assertEqual(rig.runs(), 1)

        rig = make_rig()
        pool = rig.book.root.pools["disputes"].model_copy(update={"resume": False})
        rig.book.root.pools["disputes"] = pool
        run_with(rig, scenario)

    def test_an_engine_that_dies_before_a_whole_answer_is_replaced(self) -> None:
        async def scenario(rig: Rig) -> None:
            rig.engines[0].faults.cut = True
            prompt = "dispute length=9"
            for _ in range(3):
                reply = await rig.caller.call(rig.letter(prompt, stream=False))
                self.check(rig, prompt, reply, "completed")

        run_with(make_rig(), scenario)

    def test_streams_that_no_engine_finishes_end_visibly(self) -> None:
        async def scenario(rig: Rig) -> None:
            for engine in rig.engines:
                engine.faults.cut = True
            prompt = "dispute length=30"
            reply = await rig.caller.call(rig.letter(prompt))
            self.check(rig, prompt, reply, "failed")
            self.assertFalse(reply.closed, "a plain HTTP client takes this for a whole answer")

        run_with(make_rig(), scenario)

    def test_a_stream_that_stops_short_is_not_taken_for_whole(self) -> None:
        async def scenario(rig: Rig) -> None:
            for engine in rig.engines:
                engine.faults.short = True
            prompt = "dispute length=30"
            reply = await rig.caller.call(rig.letter(prompt))
            self.check(rig, prompt, reply, "failed")
            self.assertFalse(reply.closed)

        run_with(make_rig(), scenario)

    def test_refused_after_it_may_have_run_is_not_called_refused(self) -> None:
        async def scenario(rig: Rig) -> None:
            for engine in rig.engines:
                engine.faults.cut = True
            reply = Reply()

            async def call() -> None:
                nonlocal reply
                reply = await rig.caller.call(rig.letter("dispute length=200", stream=False))

            async with anyio.create_task_group() as group:
                group.start_soon(call)
                while not rig.runs():
                    await anyio.sleep(0.001)
                rig.dispatcher.set_upstreams([])
            self.assertEqual(reply.outcome, "unknown")
            self.assertEqual(reply.code, "no-upstream")

        run_with(make_rig(), scenario)

    def test_a_fault_of_ours_still_ends_in_an_outcome(self) -> None:
        async def scenario(rig: Rig) -> None:
            def fail(end: object) -> None:
                raise ZeroDivisionError

            rig.dispatch.end = fail  # type: ignore[method-assign]
            reply = await rig.caller.call(rig.letter("dispute length=3", stream=False))
            # Its answer had come whole, and went out before the fault.
            self.assertEqual(reply.outcome, "completed")
            rig.upstreams.send = fail  # type: ignore[assignment,method-assign]
            reply = await rig.caller.call(rig.letter("dispute length=3", stream=False))
            self.assertEqual((reply.status, reply.outcome), (500, "unknown"))
            self.assertEqual(reply.code, "internal")

        run_with(make_rig(), scenario)

    def test_a_deadline_while_connecting_is_not_called_refused(self) -> None:
        """Bytes may have gone out when the deadline cuts a request off before its head came."""

        async def scenario(rig: Rig) -> None:
            rig.services[0].work = 5.0
            reply = await rig.caller.send(rig.note(deadline=0.8), b"refund 1")
            self.assertEqual((reply.outcome, reply.code), ("unknown", "deadline"))
            self.assertEqual(rig.runs(), 1)

        run_with(make_rig(), scenario)

    def test_a_dead_engine_costs_a_caller_nothing(self) -> None:
        async def scenario(rig: Rig) -> None:
            prompt = "dispute length=5"
            for _ in range(4):
                reply = await rig.caller.call(rig.letter(prompt))
                self.check(rig, prompt, reply, "completed")

        rig = make_rig(engines=1)
        rig.add_dead_upstream("dead", "disputes")
        run_with(rig, scenario)

    def test_refused_by_all_engines_is_refused_and_not_run(self) -> None:
        async def scenario(rig: Rig) -> None:
            for engine in rig.engines:
                engine.faults.refuse = True
            reply = await rig.caller.call(rig.letter("dispute", deadline=1.0))
            self.assertEqual(reply.outcome, "refused")
            self.assertGreaterEqual(reply.retry_after, 1.0)
            self.assertEqual(rig.runs(), 0)

        run_with(make_rig(), scenario)

    def test_a_deadline_in_mid_stream_ends_it_visibly(self) -> None:
        async def scenario(rig: Rig) -> None:
            prompt = "dispute length=5000"
            reply = await rig.caller.call(rig.letter(prompt, deadline=0.7))
            self.check(rig, prompt, reply, "failed")
            self.assertEqual(reply.code, "deadline")
            await anyio.sleep(0.05)
            self.assertEqual(sum(len(engine.batch.sequences) for engine in rig.engines), 0)

        run_with(make_rig(), scenario)

    def test_a_caller_that_leaves_frees_the_engine(self) -> None:
        async def scenario(rig: Rig) -> None:
            with anyio.move_on_after(1.0):
                await rig.caller.call(rig.letter("dispute length=5000"))
            for _ in range(200):
                await anyio.sleep(0.01)
                cells = rig.dispatcher.cells.values()
                busy = sum(len(engine.batch.sequences) for engine in rig.engines)
                if not busy and not any(cell.running for cell in cells):
                    break
            self.assertEqual(rig.runs(), 1)
            self.assertEqual(busy, 0)
            self.assertFalse(any(cell.running for cell in cells))

        run_with(make_rig(), scenario)

    def test_a_preempted_stream_is_taken_up_again_whole(self) -> None:
        async def scenario(rig: Rig) -> None:
            replies: dict[str, Reply] = {}

            async def one(prompt: str, klass: str) -> None:
                replies[prompt] = await rig.caller.call(rig.letter(prompt, klass))

            async with anyio.create_task_group() as group:
                for index in range(2):
                    group.start_soon(one, f"cards {index} length=150", "batch")
                await anyio.sleep(0.45)
                for index in range(4):
                    group.start_soon(one, f"receipt {index} length=20", "counter")
            for prompt, reply in replies.items():
                self.check(rig, prompt, reply, "completed")
            attempts = [record.attempt for record in rig.engines[0].records]
            self.assertIn("1", attempts, "nothing was preempted")

        rig = make_rig(engines=1)
        rig.options = replace(rig.options, slots=2, max_slots=2, lane_share=0.0)
        run_with(rig, scenario)

    def test_a_stream_preempted_while_its_caller_reads_slowly_has_no_hole(self) -> None:
        """The server waits before it writes: what waits there has not been given."""

        async def scenario(rig: Rig) -> None:
            replies: dict[str, Reply] = {}
            plain_add = Answer.add
            blocked = 0

            async def add(answer: Answer, chunk: bytes) -> None:
                nonlocal blocked
                if not blocked:
                    blocked += 1
                    await anyio.sleep_forever()
                await plain_add(answer, chunk)

            async def one(prompt: str, klass: str) -> None:
                replies[prompt] = await rig.caller.call(rig.letter(prompt, klass))

            with mock.patch.object(Answer, "add", add):
                async with anyio.create_task_group() as group:
                    group.start_soon(one, "cards length=60", "batch")
                    while not blocked:
                        await anyio.sleep(0.001)
                    group.start_soon(one, "receipt length=5", "counter")
            self.check(rig, "cards length=60", replies["cards length=60"], "completed")

        rig = make_rig(engines=1)
        rig.options = replace(rig.options, slots=1, max_slots=1, lane_share=0.0)
        run_with(rig, scenario)


class TestNotRepeatable(unittest.TestCase):
    def test_a_broken_call_is_not_sent_again(self) -> None:
        async def scenario(rig: Rig) -> None:
            for service in rig.services:
                service.cut = True
            reply = await rig.caller.send(rig.note(), b"refund 1")
            self.assertEqual(reply.outcome, "unknown")
            self.assertEqual(rig.runs(), 1)

        run_with(make_rig(services=3), scenario)

    def test_a_repeatable_call_is_sent_again(self) -> None:
        async def scenario(rig: Rig) -> None:
            rig.services[0].cut = True
            for _ in range(3):
                reply = await rig.caller.send(rig.note("look"), b"look")
                self.assertEqual(reply.outcome, "completed")

        run_with(make_rig(services=2), scenario)

    def test_a_call_that_was_never_sent_is_refused(self) -> None:
        async def scenario(rig: Rig) -> None:
            reply = await rig.caller.send(rig.note(deadline=1.0), b"refund 1")
            self.assertEqual(reply.outcome, "refused")
            self.assertEqual(rig.runs(), 0)

        rig = make_rig(services=0)
        rig.add_dead_upstream("dead", "portal")
        run_with(rig, scenario)

    def test_a_keyed_resend_is_recognised(self) -> None:
        async def scenario(rig: Rig) -> None:
            order = rig.note(idempotency_key="refund-1")
            first = await rig.caller.send(order, b"refund 1")
            second = await rig.caller.send(order, b"refund 1")
            self.assertEqual(first.outcome, "completed")
            self.assertEqual((second.outcome, second.status), ("refused", 409))
            self.assertEqual(rig.runs(), 1)

        run_with(make_rig(), scenario)

    def test_a_keyed_call_that_was_refused_may_come_again(self) -> None:
        async def scenario(rig: Rig) -> None:
            order = rig.note(idempotency_key="refund-1", deadline=0.6)
            rig.dispatcher.set_upstreams([])
            first = await rig.caller.send(order, b"refund 1")
            rig.dispatcher.set_upstreams(rig.records)
            second = await rig.caller.send(order, b"refund 1")
            self.assertEqual(first.outcome, "refused")
            self.assertEqual(second.outcome, "completed", second)

        run_with(make_rig(), scenario)

    def test_claims_under_faults_of_the_object_api(self) -> None:
        cases = {
            StoreFault.DOWN: ("refused", 0),
            StoreFault.LOSE_ANSWERS: ("completed", 1),
            StoreFault.SLOW: ("completed", 1),
        }
        for fault, (outcome, runs) in cases.items():
            with self.subTest(fault=fault):

                async def scenario(
                    rig: Rig,
                    fault: StoreFault = fault,
                    outcome: str = outcome,
                    runs: int = runs,
                ) -> None:
                    rig.platform.store.fault = fault
                    order = rig.note(idempotency_key="refund-1")
                    reply = await rig.caller.send(order, b"refund 1")
                    rig.platform.store.fault = StoreFault.NONE
                    self.assertEqual(reply.outcome, outcome)
                    self.assertEqual(rig.runs(), runs)
                    again = await rig.caller.send(order, b"refund 1")
                    self.assertEqual(again.outcome, "refused" if runs else "completed")
                    self.assertEqual(rig.runs(), 1)

                run_with(make_rig(), scenario)
