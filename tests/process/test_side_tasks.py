"""An exception in a background task is logged, and the task is restarted with a growing delay."""

from __future__ import annotations

import itertools
import random
import unittest

import anyio

from lotushill.event_log import EventLog
from lotushill.process.side_tasks import SideTasks
from tests.duties.virtual_time import run_virtual


class TestSideTasks(unittest.TestCase):
    def test_a_fault_is_logged_and_the_task_starts_again_with_a_growing_pause(self) -> None:
        lines: list[bytes] = []
        starts: list[float] = []

        async def fails_three_times() -> None:
            starts.append(anyio.current_time())
            if len(starts) < 4:
                raise ValueError("broken")

        async def main() -> None:
            tasks = SideTasks(EventLog("gw", lines.append), random.Random(1))
            async with anyio.create_task_group() as group:
                group.start_soon(tasks.run, "broken", fails_three_times)
            self.assertEqual(tasks.failure_count, 3)

        run_virtual(main())
        self.assertEqual(sum(b"task.failed" in line for line in lines), 3)
        pauses = [after - before for before, after in itertools.pairwise(starts)]
        self.assertLess(pauses[0], pauses[2])
