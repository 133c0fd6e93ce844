"""Gateways that outlive a killed soak run call the former address of its store.

An upstream of another test that got that port answered those calls, which have no request id.
"""

from __future__ import annotations

import asyncio
import os
import sys
import unittest
from pathlib import Path

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


def _is_running(pid: int) -> bool:
    """Return whether a process exists and has not ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    except OSError:
        return False
    return stat.rpartition(")")[2].split()[0] != "Z"


if __name__ == "__main__":
    unittest.main()
