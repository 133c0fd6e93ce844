"""No gateway outlives its soak run.

One that outlived a killed run called the former address of its store: an upstream of another test
that got that port answered those calls, which have no request id. One that was being restarted
while its run ended was never killed, and the run waited for it without end.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest.mock import patch

from tests.soak.gateways import Gateways

_RUN = """
import asyncio, tempfile
from pathlib import Path
from tests.soak.gateways import Gateways

async def main():
    with tempfile.TemporaryDirectory() as folder:
        gateways = Gateways(Path(folder), "127.0.0.1:1", 1, {}, halls=1)
        await gateways._start(gateways.all[0])
        print(gateways.all[0].process.pid, flush=True)
        await asyncio.sleep(60)

asyncio.run(main())
"""
_ROOT = Path(__file__).resolve().parent.parent.parent
_TIMEOUT_SECONDS = 30.0


class TestGateways(unittest.IsolatedAsyncioTestCase):
    async def test_gateways_end_with_a_run_that_is_killed(self) -> None:
        run = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            _RUN,
            stdout=asyncio.subprocess.PIPE,
            cwd=_ROOT,
            env={**os.environ, "PYTHONPATH": str(_ROOT)},
        )
        assert run.stdout is not None
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            pid = int(await run.stdout.readline())
            self.assertTrue(_is_running(pid))
            run.kill()
            await run.wait()
            while _is_running(pid):
                await asyncio.sleep(0.02)


class TestKillAll(unittest.IsolatedAsyncioTestCase):
    async def test_a_gateway_that_is_being_restarted_is_killed_with_the_others(self) -> None:
        is_starting, may_start = asyncio.Event(), asyncio.Event()
        create = asyncio.create_subprocess_exec

        async def create_late(*arguments: Any, **options: Any) -> asyncio.subprocess.Process:
            is_starting.set()
            await may_start.wait()
            return await create(*arguments, **options)

        with tempfile.TemporaryDirectory() as folder:
            gateways = Gateways(Path(folder), "127.0.0.1:1", 1, {}, halls=1)
            (gateway,) = gateways.all
            await gateways._start(gateway)
            with patch.object(asyncio, "create_subprocess_exec", create_late):
                gateways.kill(gateway)
                await is_starting.wait()
                killing = asyncio.create_task(gateways.kill_all())
                await asyncio.sleep(0)
                may_start.set()
                async with asyncio.timeout(_TIMEOUT_SECONDS):
                    await killing
        process = gateway.process
        self.assertIsNotNone(process)
        self.assertIsNotNone(process.returncode if process is not None else None)


def _is_running(pid: int) -> bool:
    """Return whether a process exists and has not ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    except OSError:
        return False
    return stat.rpartition(")")[2].split()[0] != "Z"


if __name__ == "__main__":
    unittest.main()
