"""Stand-in engines of two versions cannot be told apart, so that mixed streams go unnoticed."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from lotushill.platform import names
from lotushill.standin.engine_app import EngineApp
from lotushill.standin.registration import upstream_spec
from lotushill.standin.settings import StandinSettings


class TestEngineVersion(unittest.IsolatedAsyncioTestCase):
    async def test_the_events_and_the_entry_name_the_version(self) -> None:
        settings = StandinSettings(
            kind="engine", name="e1", address="127.0.0.1:1", version="v2", step=0.001
        )
        app = EngineApp(settings)
        steps = asyncio.create_task(app.run_steps())
        sent: list[dict[str, Any]] = []

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        headers = {names.REQUEST_ID: "r1", names.TOKEN_USAGE: "5,8"}
        await app.run(headers, b"", send)  # type: ignore[arg-type]
        steps.cancel()
        body = b"".join(message.get("body", b"") for message in sent)
        self.assertEqual(b"id: 1\ndata: r1 1 v2\n\nid: 2\ndata: r1 2 v2\n\n", body)
        entry = upstream_spec("s", "127.0.0.1:1", "z", 8, 1, version="v2")
        self.assertEqual("v2", entry["version"])
