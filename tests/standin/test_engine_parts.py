"""Stand-in engines serve every prompt, so that parts which crash engines do not occur in trials."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from lotushill.platform import names
from lotushill.standin.engine_app import EngineApp
from lotushill.standin.settings import StandinSettings


class EngineEndedError(Exception):
    """Takes the place of the end of the stand-in's process."""


class TestDeadlyParts(unittest.IsolatedAsyncioTestCase):
    async def run_prompt(self, prompt: str) -> list[dict[str, Any]]:
        """Run one request at a stand-in with a deadly part, and return the messages it sent."""
        settings = StandinSettings(
            kind="engine", name="e1", address="127.0.0.1:1", step=0.001, deadly_parts=["dead"]
        )

        def end() -> None:
            raise EngineEndedError

        app = EngineApp(settings, end)
        steps = asyncio.create_task(app.run_steps())
        sent: list[dict[str, Any]] = []

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        headers = {
            names.REQUEST_ID: "r1",
            names.TOKEN_USAGE: "30,8",
            names.PROMPT_PARTS: prompt,
        }
        try:
            await app.run(headers, b"", send)  # type: ignore[arg-type]
        finally:
            steps.cancel()
        return sent

    async def test_the_engine_ends_before_the_first_event_whatever_the_place_of_the_part(
        self,
    ) -> None:
        for prompt in ("dead:10,a1:10,f0:10", "a1:10,dead:10,f0:10"):
            with self.subTest(prompt), self.assertRaises(EngineEndedError):
                await self.run_prompt(prompt)

    async def test_other_prompts_and_one_whose_own_part_is_named_alike_are_served(self) -> None:
        for prompt in ("a1:10,b1:10,f0:10", "a1:20,dead:10"):
            with self.subTest(prompt):
                sent = await self.run_prompt(prompt)
                self.assertIn(b"id: 1", b"".join(message.get("body", b"") for message in sent))
