"""Listing and releasing held requests by an operator."""

from __future__ import annotations

import argparse

from lotushill.console.quarantine_commands import QuarantineCommands
from lotushill.quarantine.stored_hold import KIND
from lotushill.quarantine.stored_hold import StoredHold
from tests.platform.test_object_store import StoreCase

FIRST_IDENTITY = (b"1" * 16).hex()
SECOND_IDENTITY = (b"2" * 16).hex()


class TestQuarantineCommands(StoreCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.commands = QuarantineCommands(self.client)

    def put(self, name: str, since: float) -> None:
        self.store.create(KIND, name, StoredHold("bakery", "/p/x", ("i-1", "i-2"), since).to_spec())

    async def test_a_line_names_the_team_and_the_failed_upstreams(self) -> None:
        self.put(FIRST_IDENTITY, 1.7e9)
        result = await self.commands.held(argparse.Namespace())
        for told in (FIRST_IDENTITY, "bakery", "/p/x", "2023-11-14T22:13:20+00:00", "i-1, i-2"):
            self.assertIn(told, result.text)

    async def test_a_hold_is_released_by_its_prefix_and_no_other(self) -> None:
        self.put(FIRST_IDENTITY, 1.7e9)
        self.put(SECOND_IDENTITY, 1.8e9)
        result = await self.commands.release(argparse.Namespace(identity=FIRST_IDENTITY[:6]))
        self.assertEqual((0, f"released {FIRST_IDENTITY}"), (result.code, result.text))
        self.assertEqual(
            [SECOND_IDENTITY], [i["metadata"]["name"] for i in self.store.list_kind(KIND)["items"]]
        )

    async def test_an_unknown_or_ambiguous_prefix_releases_nothing(self) -> None:
        self.put(FIRST_IDENTITY, 1.7e9)
        self.put(SECOND_IDENTITY, 1.8e9)
        for identity in ("", "ff"):
            result = await self.commands.release(argparse.Namespace(identity=identity))
            self.assertEqual(1, result.code)
        self.assertEqual(2, len(self.store.list_kind(KIND)["items"]))

    async def test_without_holds_a_message_is_shown(self) -> None:
        result = await self.commands.held(argparse.Namespace())
        self.assertEqual("no request and no prompt part is held", result.text)
