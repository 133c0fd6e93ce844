"""A stream that its client takes up at another gateway goes on at any version.

The gateway that had the stream may have ended, and with it what it knew. The fleet finds the
version as long as one gateway that was told of it lives, and refuses the stream otherwise.
"""

from __future__ import annotations

import asyncio
import functools
import unittest
from typing import TYPE_CHECKING

from lotushill.versions.stream_origins import KnownBy
from tests.versions.virtual_gateways import LIFETIME_SECONDS
from tests.versions.virtual_gateways import VirtualGateways
from tests.virtual_time import run_virtually

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lotushill.versions.stream_origins import FoundOrigin

_LONGEST_SEARCH_SECONDS = 0.125
_PROPAGATION_SECONDS = 0.01


def virtually(
    test: Callable[[TestStreamOrigins], Awaitable[None]],
) -> Callable[[TestStreamOrigins], None]:
    @functools.wraps(test)
    def run(self: TestStreamOrigins) -> None:
        run_virtually(test(self))  # type: ignore[arg-type]

    return run


class TestStreamOrigins(unittest.TestCase):
    def assert_version(self, version: str, found: FoundOrigin | None) -> None:
        self.assertEqual(version, found.version if found is not None else None)

    @virtually
    async def test_every_gateway_finds_the_version(self) -> None:
        for count, halls in ((1, 1), (2, 1), (9, 4), (30, 3), (60, 6)):
            fleet = VirtualGateways(count, halls)
            for version in ("v1", "v2"):
                fleet.begin("g0", f"r-{version}", version)
                await asyncio.sleep(_PROPAGATION_SECONDS)
                for name in fleet.states:
                    self.assert_version(version, await fleet.take_up(name, f"r-{version}"))

    @virtually
    async def test_the_version_outlives_the_gateway_and_all_owners_but_one(self) -> None:
        for count, halls in ((30, 3), (60, 6)):
            fleet = VirtualGateways(count, halls)
            for number in range(20):
                request = f"r{number}"
                fleet.begin("g0", request)
                await asyncio.sleep(_PROPAGATION_SECONDS)
                owners = [name for name in fleet.owners(request) if name != "g0"]
                self.assertGreaterEqual(len(owners), 2)
                for survivor in owners:
                    others = fleet.states.keys() - {survivor}
                    asker = sorted(others - {*owners, "g0"})[0]
                    fleet.kill(*others - {asker})
                    self.assert_version("v1", await fleet.take_up(asker, request))
                    fleet.running |= set(fleet.states)

    @virtually
    async def test_in_a_small_fleet_any_gateway_that_is_left_knows_the_version(self) -> None:
        """All gateways but one were killed at once, and it knew a third of the streams."""
        for count, halls in ((2, 1), (9, 4), (16, 3)):
            fleet = VirtualGateways(count, halls)
            for number in range(20):
                request = f"r{number}"
                fleet.begin("g0", request)
                await asyncio.sleep(_PROPAGATION_SECONDS)
                for survivor in fleet.states:
                    fleet.kill(*fleet.states.keys() - {survivor})
                    self.assert_version("v1", await fleet.take_up(survivor, request))
                    fleet.running |= set(fleet.states)

    @virtually
    async def test_a_gateway_that_has_just_started_finds_the_version(self) -> None:
        fleet = VirtualGateways(9, 4)
        fleet.begin("g0", "r1")
        await asyncio.sleep(_PROPAGATION_SECONDS)
        fleet.kill("g0", noticed=True)
        fleet.restart("g0")
        self.assert_version("v1", await fleet.take_up("g0", "r1"))

    @virtually
    async def test_a_hall_that_is_cut_off_finds_what_began_before(self) -> None:
        fleet = VirtualGateways(60, 4)
        for number in range(20):
            fleet.begin(f"g{number}", f"r{number}")
        await asyncio.sleep(_PROPAGATION_SECONDS)
        fleet.unreachable_halls = {"h1"}
        for number in range(20):
            for name in ("g1", "g2"):
                self.assert_version("v1", await fleet.take_up(name, f"r{number}"))

    @virtually
    async def test_lost_datagrams_are_made_up_for(self) -> None:
        for count, halls in ((9, 4), (60, 6)):
            fleet = VirtualGateways(count, halls, loss=0.1)
            found = 0
            for number in range(300):
                fleet.begin("g0", f"r{number}")
                await asyncio.sleep(_PROPAGATION_SECONDS)
                found += await fleet.take_up(f"g{1 + number % 8}", f"r{number}") is not None
            self.assertGreaterEqual(found, 298)

    @virtually
    async def test_what_nobody_knows_is_refused_at_once(self) -> None:
        fleet = VirtualGateways(9, 4)
        began = asyncio.get_running_loop().time()
        self.assertIsNone(await fleet.take_up("g0", "r1"))
        self.assertLess(asyncio.get_running_loop().time() - began, _PROPAGATION_SECONDS)
        self.assertEqual(1, fleet.origins["g0"].unknown)

    @virtually
    async def test_without_any_answer_it_is_refused_soon(self) -> None:
        fleet = VirtualGateways(9, 4)
        fleet.kill(*fleet.states.keys() - {"g0"})
        began = asyncio.get_running_loop().time()
        self.assertIsNone(await fleet.take_up("g0", "r1"))
        self.assertLess(asyncio.get_running_loop().time() - began, _LONGEST_SEARCH_SECONDS)

    @virtually
    async def test_one_version_for_longer_than_a_stream_lasts_is_that_of_the_stream(self) -> None:
        fleet = VirtualGateways(9, 4)
        fleet.set_versions("v2", "v2")
        fleet.observe()
        for seconds, version in ((LIFETIME_SECONDS, None), (LIFETIME_SECONDS, "v2")):
            await asyncio.sleep(seconds)
            found = await fleet.take_up("g0", "r1")
            self.assertEqual(version, found.version if found is not None else None)
        assert found is not None
        self.assertIs(KnownBy.SOLE_VERSION, found.known_by)
        fleet.confirmed = False
        self.assertIsNone(await fleet.take_up("g0", "r1"))

    @virtually
    async def test_a_client_that_names_no_request_goes_on_at_a_version_without_others(self) -> None:
        fleet = VirtualGateways(9, 4)
        self.assertIsNone(await fleet.take_up("g0", ""))
        fleet.set_versions("v1")
        self.assertIsNone(await fleet.take_up("g0", ""))
        fleet.origins["g1"] = fleet._start("g1")
        self.assert_version("v1", await fleet.take_up("g1", ""))

    @virtually
    async def test_a_record_ends_with_the_life_of_its_stream(self) -> None:
        fleet = VirtualGateways(9, 4)
        fleet.begin("g0", "r1")
        await asyncio.sleep(LIFETIME_SECONDS + 1.0)
        self.assertIsNone(await fleet.take_up("g1", "r1"))
        fleet.observe()
        self.assertEqual(0, sum(len(item.records) for item in fleet.origins.values()))

    @virtually
    async def test_a_version_that_is_known_is_never_changed(self) -> None:
        fleet = VirtualGateways(9, 4)
        fleet.begin("g0", "r1", "v1")
        await asyncio.sleep(_PROPAGATION_SECONDS)
        fleet.begin("g3", "r1", "v2")
        await asyncio.sleep(_PROPAGATION_SECONDS)
        owner = next(name for name in fleet.owners("r1") if name not in ("g0", "g3"))
        self.assert_version("v1", await fleet.take_up(owner, "r1"))

    @virtually
    async def test_a_stream_costs_as_many_datagrams_in_a_large_fleet(self) -> None:
        for count, halls in ((60, 6), (360, 6)):
            fleet = VirtualGateways(count, halls)
            for number in range(50):
                fleet.begin("g0", f"r{number}")
            self.assertLessEqual(fleet.datagrams, 4 * 50)
