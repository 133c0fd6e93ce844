"""All open connections of a fleet fall silent without a reset, and changes follow.

A gateway is in touch again three seconds after such a disturbance. From then on, every change that
the store took two seconds before has to be in force, at gateways that read the store and at those
that receive its changes from others.
"""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING
from unittest.mock import patch

import anyio

from lotushill.links.messages import ViewKind
from tests.entries import entry
from tests.peering.silent_network import CONFIGURATION
from tests.peering.silent_network import UPSTREAM
from tests.peering.silent_network import SilentNetwork
from tests.virtual_time import run_virtually

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

_IN_TOUCH_SECONDS = 3.0
_APPLY_SECONDS = 2.0
_SETTLE_SECONDS = 8.0
_CHANGE_DELAYS_SECONDS = (0.0, 0.9, 1.3, 2.9, 3.5)
_SILENCES = 4
_SEEDS = range(3)


@dataclass(frozen=True)
class Fleet:
    """Shape of a fleet."""

    halls: int
    gateways: int


SMALL = Fleet(2, 6)
"""Two readers in each hall, and one gateway that does not read the store."""
ONE_READER = Fleet(4, 8)
"""One reader in each hall."""


@dataclass(frozen=True)
class Late:
    """A change that a gateway in touch did not have in force in time."""

    gateway: str
    version: int
    draining_known: bool
    delay_seconds: float


async def play(network: SilentNetwork, store: bool, peers: bool, found: list[Late]) -> None:
    """Silence connections several times, each time followed by a change at another delay."""
    await anyio.sleep(_SETTLE_SECONDS)
    version = 1
    is_draining = False
    for _ in range(_SILENCES):
        for delay in _CHANGE_DELAYS_SECONDS:
            network.silence(store, peers)
            await anyio.sleep(delay)
            version += 1
            is_draining = not is_draining
            _change(network, version, is_draining)
            await anyio.sleep(max(_IN_TOUCH_SECONDS - delay, _APPLY_SECONDS))
            found += _late_gateways(network, version, is_draining, delay)
            await anyio.sleep(network.rng.uniform(0.0, 4.0))


def _change(network: SilentNetwork, version: int, is_draining: bool) -> None:
    """Store a configuration, and an upstream that leaves or the next one in its place."""
    network.store.put("config", "main", {**CONFIGURATION, "version": version})
    if is_draining:
        spec = entry("app", "10.0.2.1:80", born=version - 1, state="draining")
    else:
        spec = entry("app", "10.0.2.1:80", born=version)
    network.store.put("servers", UPSTREAM, spec)


def _late_gateways(
    network: SilentNetwork, version: int, is_draining: bool, delay: float
) -> list[Late]:
    return [
        Late(gateway.name, gateway.version(), gateway.is_draining(), delay)
        for gateway in network.gateways
        if gateway.version() != version or gateway.is_draining() != is_draining
    ]


def late_gateways(
    fleet: Fleet, seed: int, store: bool = True, peers: bool = True
) -> Sequence[Late]:
    """Return the gateways that did not have a change in force in time."""
    found: list[Late] = []
    run_fleet(fleet, seed, lambda network: play(network, store, peers, found))
    return found


def run_fleet(
    fleet: Fleet, seed: int, play_fleet: Callable[[SilentNetwork], Awaitable[None]]
) -> None:
    """Run a fleet in virtual time until `play_fleet` returns."""

    async def main() -> None:
        network = SilentNetwork(fleet.halls, fleet.gateways, seed)
        with patch("lotushill.links.peer_links.anyio.connect_tcp", network.connect):
            await network.run(play_fleet)

    run_virtually(main())


class TestSilentConnections(unittest.TestCase):
    def test_changes_are_in_force_in_time_without_silence(self) -> None:
        self.assertEqual([], late_gateways(SMALL, 0, store=False, peers=False))

    def test_changes_are_in_force_in_time_after_every_connection_fell_silent(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], late_gateways(SMALL, seed))

    def test_changes_are_in_force_in_time_with_one_reader_in_each_hall(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], late_gateways(ONE_READER, seed))

    def test_changes_are_in_force_in_time_after_connections_to_the_store_fell_silent(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], late_gateways(SMALL, seed, peers=False))

    def test_changes_are_in_force_in_time_after_peer_connections_fell_silent(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], late_gateways(SMALL, seed, store=False))

    def test_a_gateway_that_knows_of_a_newer_configuration_is_not_fresh(self) -> None:
        """A route unknown to it may exist, so that it must not answer that there is none."""
        fresh: set[bool] = set()

        async def play_stale(network: SilentNetwork) -> None:
            await anyio.sleep(_SETTLE_SECONDS)
            network.silence()
            network.store.put("config", "main", {**CONFIGURATION, "version": 2})
            for _ in range(400):
                await anyio.sleep(0.01)
                fresh.update(
                    gateway.views.is_fresh()
                    for gateway in network.gateways
                    if gateway.version() == 1
                    and gateway.peers.seconds_behind(ViewKind.CONFIGURATION) > 0
                )

        run_fleet(SMALL, 1, play_stale)
        self.assertEqual({False}, fresh)

    def test_an_edit_of_the_settings_tree_is_in_force_in_time_after_silence(self) -> None:
        """The settings tree is watched for up to 25 seconds at a time."""
        late: list[str] = []

        async def play_edits(network: SilentNetwork) -> None:
            await anyio.sleep(_SETTLE_SECONDS)
            for number in range(_SILENCES):
                network.silence()
                stored = network.store.put("lotushill-settings", "root", {"number": number})
                await anyio.sleep(_IN_TOUCH_SECONDS)
                late.extend(
                    gateway.name
                    for gateway in network.gateways
                    if gateway.views.settings.revision < stored["metadata"]["revision"]
                )
                await anyio.sleep(network.rng.uniform(0.0, 4.0))

        for seed in _SEEDS:
            run_fleet(SMALL, seed, play_edits)
        self.assertEqual([], late)

    def test_a_lone_reader_has_changes_in_force_in_time(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], late_gateways(Fleet(1, 1), seed))


if __name__ == "__main__":
    unittest.main()
