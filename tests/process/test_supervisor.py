"""An exception ends only the task in which it is raised, is logged and is counted."""

from __future__ import annotations

import asyncio
import itertools
import random
import unittest

import anyio

from lotushill.event_log import EventLog
from lotushill.process.supervisor import Supervisor
from tests.duties.virtual_time import run_virtual


class TestSupervisor(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[bytes] = []
        self.now = 0.0
        self.supervisor = Supervisor(
            EventLog("gw", self.lines.append), random.Random(1), lambda: self.now
        )

    def logged(self) -> int:
        return sum(b"task.failed" in line for line in self.lines)

    def test_a_fault_is_logged_and_the_task_starts_again_with_a_growing_pause(self) -> None:
        starts: list[float] = []

        async def fails_three_times() -> None:
            starts.append(anyio.current_time())
            self.now += 1.0
            if len(starts) < 4:
                raise ValueError("broken")

        async def main() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(self.supervisor.run, "broken", fails_three_times)

        run_virtual(main())
        self.assertEqual({"broken": 3}, dict(self.supervisor.failures))
        self.assertEqual(3, self.logged())
        pauses = [after - before for before, after in itertools.pairwise(starts)]
        self.assertLess(pauses[0], pauses[2])

    def test_a_fault_of_one_connection_does_not_end_the_others(self) -> None:
        served: list[int] = []

        async def serve(number: int) -> None:
            if number == 1:
                raise ExceptionGroup("connection", [ValueError("broken")])
            await anyio.sleep(1.0)
            served.append(number)

        async def main() -> None:
            async with anyio.create_task_group() as group:
                for number in range(3):
                    group.start_soon(self.supervisor.contain, "connection", serve, number)

        run_virtual(main())
        self.assertEqual([0, 2], served)
        self.assertEqual({"connection": 1}, dict(self.supervisor.failures))
        self.assertEqual(1, self.logged())

    def test_a_fault_of_one_step_is_logged(self) -> None:
        def step(value: str) -> None:
            int(value)

        for value in ("1", "one", "2"):
            self.supervisor.call("step", step, value)
        self.assertEqual({"step": 1}, dict(self.supervisor.failures))
        self.assertEqual(1, self.logged())

    def test_a_step_that_fails_often_is_logged_once_a_second(self) -> None:
        for tick in range(50):
            self.now = tick * 0.05
            self.supervisor.call("step", int, "one")
        self.assertEqual({"step": 50}, dict(self.supervisor.failures))
        self.assertEqual(3, self.logged())

    def test_an_exception_that_reaches_the_event_loop_is_logged(self) -> None:
        def callback() -> None:
            raise ValueError("broken")

        async def main() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(self.supervisor.handle_loop_error)
            loop.call_soon(callback)
            await anyio.sleep(0.1)

        run_virtual(main())
        self.assertEqual({"callback": 1}, dict(self.supervisor.failures))
        self.assertEqual(1, self.logged())

    def test_a_cancelled_task_ends_and_is_not_counted(self) -> None:
        async def main() -> None:
            with anyio.move_on_after(1.0):
                await self.supervisor.run("forever", anyio.sleep_forever)

        run_virtual(main())
        self.assertEqual({}, dict(self.supervisor.failures))
