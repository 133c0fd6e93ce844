"""Run of real gateways of which some are partitioned from all engines for a while."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from lotushill.links.http_server import HttpServer
from lotushill.standin.free_address import free_address
from lotushill.standin.metadata_app import MetadataApp
from lotushill.standin.metadata_store import MetadataStore
from tests.soak.client import Client
from tests.soak.configuration import soak_configuration
from tests.soak.gateways import Gateways
from tests.soak.ledger import Ledger
from tests.soak.moving_engine import MovingEngine
from tests.soak.records import Absence
from tests.soak.silencing_proxy import Partition
from tests.soak.silencing_proxy import SilencingProxy

HALLS = 3
"""Halls to which gateways belong in turn."""
_ENGINE_COUNT = 6
_CLIENT_COUNT = 24
_REQUEST_INTERVAL_SECONDS = 0.25
_WARM_UP_SECONDS = 2.0
IN_FORCE_SECONDS = 3.0
"""Time after the beginning of a partition from which callers must be served as well as others."""
_HEALED_SECONDS = 2.0
"""Time after the end of a partition from which it must not be felt any more."""
_AFTER_SECONDS = 4.0


@dataclass(frozen=True)
class Served:
    """First tries that were sent in some time, and how many of them were served."""

    served: int
    sent: int

    @property
    def fraction(self) -> float:
        """Return the fraction that was served, 1 if none was sent."""
        return self.served / self.sent if self.sent else 1.0


@dataclass(frozen=True)
class PartitionResult:
    """First tries at the partitioned gateways and at the others."""

    early: Served
    """At the partitioned gateways, before the partition has to be detected."""
    partitioned: Served
    """At the partitioned gateways, from then to its end."""
    others: Served
    """At the others in the same time."""
    after: Served
    """At the partitioned gateways after the partition has ended."""
    faults: list[str]
    errors: list[str]
    relayed: int
    """Number of requests that were sent through a peer."""
    relayed_late: int
    """Number of requests that were sent through a peer after the partition had ended."""

    @property
    def serves_partitioned(self) -> bool:
        """Return whether the stated bound is kept.

        The partitioned gateways serve at least two thirds as often as the others, or no more than
        10 and one in 50 of all first tries fail there.
        """
        failed = self.partitioned.sent - self.partitioned.served
        allowed = 10 + (self.partitioned.sent + self.others.sent) / 50
        return self.partitioned.fraction >= 2 / 3 * self.others.fraction or failed <= allowed


async def run_drawn_partition(seed: int, seconds: float, gateways: int = 9) -> PartitionResult:
    """Partition gateways drawn from a seed in one of the three ways, and kill one of each side."""
    rng = random.Random(f"{seed} partitions")
    halls = [set(range(hall, gateways, HALLS)) for hall in range(HALLS)]
    partitioned = rng.choice(
        [
            set(rng.sample(range(gateways), rng.randint(1, gateways - 2))),
            rng.choice(halls),
            set(range(gateways)) - rng.choice(halls),
        ]
    )
    others = sorted(set(range(gateways)) - partitioned)
    kills = (rng.choice(sorted(partitioned)), rng.choice(others))
    return await run_partition(
        partitioned, rng.choice(list(Partition)), seconds, gateways, seed, kills
    )


async def run_partition(
    partitioned: set[int],
    kind: Partition,
    seconds: float,
    gateways: int = 9,
    seed: int = 1,
    kills: tuple[int, ...] = (),
) -> PartitionResult:
    """Partition the gateways with the numbers `partitioned` from all engines for some seconds.

    Those with the numbers `kills` are killed half way.
    """
    store = MetadataStore()
    server = HttpServer(MetadataApp(store), free_address())
    serving = asyncio.create_task(server.serve())
    await server.wait_started()
    store.put("config", "main", soak_configuration(3, None))
    ledger, rng = Ledger(), random.Random(seed)
    by_address: dict[str, MovingEngine] = {}
    engines = [
        MovingEngine(f"i-{number}", store, ledger, rng, by_address, late_stops=False)
        for number in range(_ENGINE_COUNT)
    ]
    for engine in engines:
        await engine.start()
    proxy = SilencingProxy()
    await proxy.start()
    tasks: list[asyncio.Task[None]] = []
    with tempfile.TemporaryDirectory(prefix="lotushill-partition-") as folder:
        fleet = Gateways(
            Path(folder), server.address, gateways, {}, halls=HALLS, proxy=proxy.address
        )
        fleet.on_absence = lambda *absence: ledger.absences.append(Absence(*absence))
        await fleet.start()
        try:
            addresses = [gateway.clients for gateway in fleet.all]
            for number in range(_CLIENT_COUNT):
                client = Client(addresses, ledger, random.Random(seed * 1_000 + number))
                tasks.append(asyncio.create_task(client.run(_REQUEST_INTERVAL_SECONDS)))
            await asyncio.sleep(_WARM_UP_SECONDS)
            names = {fleet.all[number].name for number in partitioned}
            reachable = {server.address, *(gateway.peers for gateway in fleet.all)}
            began = time.monotonic()
            proxy.partition(names, kind, reachable)
            await asyncio.sleep(seconds / 2)
            for number in kills:
                fleet.kill(fleet.all[number])
            await asyncio.sleep(seconds / 2)
            ended = time.monotonic()
            proxy.heal(names)
            await asyncio.sleep(_AFTER_SECONDS)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await fleet.kill_all()
            proxy.close()
            for engine in engines:
                await engine.stop()
            server.abort()
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
    clients = {fleet.all[number].clients for number in partitioned}
    everyone = set(addresses)
    in_force = began + IN_FORCE_SECONDS
    relayed = [line for line in fleet.log_lines if line.get("event") == "attempt.relayed"]
    ended_since = time.monotonic() - ended - _HEALED_SECONDS
    newest = max((_seconds(line) for line in fleet.log_lines), default=0.0)
    return PartitionResult(
        early=_served(ledger, clients, began, in_force),
        partitioned=_served(ledger, clients, in_force, ended),
        others=_served(ledger, everyone - clients, in_force, ended),
        after=_served(ledger, clients, ended + _HEALED_SECONDS, time.monotonic()),
        faults=ledger.faults(),
        errors=fleet.errors,
        relayed=len(relayed),
        relayed_late=sum(_seconds(line) > newest - ended_since for line in relayed),
    )


def _seconds(line: dict[str, object]) -> float:
    at = line.get("t")
    return float(at) if isinstance(at, int | float) else 0.0


def _served(ledger: Ledger, gateways: set[str], since: float, until: float) -> Served:
    tries = [
        item
        for item in ledger.answers
        if item.gateway in gateways and since <= item.sent_at < until
    ]
    return Served(sum(item.status == 200 and item.is_own for item in tries), len(tries))
