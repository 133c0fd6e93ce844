"""A gateway, as a separate process, ends only on a stop signal or on unusable settings."""

from __future__ import annotations

import asyncio
import signal

from tests.console.gateway_program import TIMEOUT_SECONDS
from tests.console.gateway_program import GatewayProgramCase


class TestLastLine(GatewayProgramCase):
    async def test_the_last_line_names_the_stop_signal(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                process = await self.start()
                await self.wait_ready(process)
                process.send_signal(number)
                last, *_ = await self.end(process)
            self.assertEqual(("process.stopped", 0), (last["event"], process.returncode))
            self.assertEqual((number.name, 0), (last["why"], last["status"]))

    async def test_the_last_line_names_the_faults_of_the_settings(self) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            process = await self.start(store="nowhere", retry={"ratio": -1})
            await process.wait()
            last, *_ = await self.end(process)
        self.assertEqual(("process.stopped", 2), (last["event"], process.returncode))
        self.assertEqual(("unusable settings", 2), (last["why"], last["status"]))
        named = [fault.partition(":")[0] for fault in last["faults"]]
        self.assertEqual(["retry.ratio", "store"], sorted(named))
