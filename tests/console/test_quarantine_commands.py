"""Listing and releasing held requests by an operator."""

from __future__ import annotations

import argparse

from lotushill.console.quarantine_commands import QuarantineCommands
from lotushill.quarantine.stored_hold import KIND
from lotushill.quarantine.stored_hold import StoredHold
from tests.platform.test_object_store import StoreCase

ONE = (b"1" * 16).hex()
TWO = (b"2" * 16).hex()


class TestQuarantineCommands(StoreCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.commands = QuarantineCommands(self.client)

    def put(self, name: str, since: float) -> None:
        self.store.create(KIND, name, StoredHold("bakery", "/p/x", ("i-1", "i-2"), since).to_spec())

    async def test_a_line_says_who_sends_it_and_what_ended(self) -> None:
        self.put(ONE, 1.7e9)
        result = await self.commands.held(argparse.Namespace())
        for told in (ONE, "bakery", "/p/x", "2023-11-14T22:13:20+00:00", "i-1, i-2"):
            self.assertIn(told, result.text)

    async def test_one_is_released_by_how_it_begins_and_no_other(self) -> None:
        self.put(ONE, 1.7e9)
        self.put(TWO, 1.8e9)
        result = await self.commands.release(argparse.Namespace(identity=ONE[:6]))
        self.assertEqual((0, f"released {ONE}"), (result.code, result.text))
        self.assertEqual(
            [TWO], [i["metadata"]["name"] for i in self.store.list_kind(KIND)["items"]]
        )

    async def test_what_is_not_or_not_clearly_named_is_not_released(self) -> None:
        self.put(ONE, 1.7e9)
        self.put(TWO, 1.8e9)
        for identity in ("", "ff"):
            result = await self.commands.release(argparse.Namespace(identity=identity))
            self.assertEqual(1, result.code)
        self.assertEqual(2, len(self.store.list_kind(KIND)["items"]))

    async def test_without_any_it_says_so(self) -> None:
        result = await self.commands.held(argparse.Namespace())
        self.assertEqual("no request is held", result.text)
