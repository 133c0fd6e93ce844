"""Demo of a fleet on stand-ins in which an engine is killed and a gateway is stopped."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

import httpcore
from fleet import Fleet
from fleet import Program

HALLS = ("hall-zapopan", "hall-tlaque")
SECONDS = 12.0
KILL_ENGINE_AT = 4.0
STOP_GATEWAY_AT = 7.0
EDIT_AT = 2.0
KEY = "key-bodas"
HOST = "demo.example"
MAX_TRIES = 2


@dataclass(frozen=True)
class Kind:
    """One kind of request that the demo sends."""

    route: str
    a_second: float
    prompt: int
    shared: int
    output: int


KINDS = (
    Kind("guest-query", 12.0, 600, 200, 40),
    Kind("suite-wording", 2.5, 6000, 4000, 80),
    Kind("order-lookup", 5.0, 0, 0, 0),
)


def configuration() -> dict[str, object]:
    """Return the configuration that the platform's operator publishes."""

    def route(name: str, service: str, kind: str, **more: object) -> dict[str, object]:
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "service": service,
            "timeoutMs": 10_000,
            "maxAttempts": 2,
            **more,
        }

    return {
        "version": 1,
        "routes": [
            route("guest-query", "drafts", "stream", targetLatencyMs=300, targetGapMs=200,
                  priority=0, streamResume=True),
            route("suite-wording", "drafts", "stream", targetLatencyMs=2000, targetGapMs=500,
                  priority=2),
            route("order-lookup", "orders", "non_idempotent", targetLatencyMs=400, priority=1),
        ],
        "services": [
            {"name": "drafts", "maxConns": 200,
             "engine": {"slots": 16, "kvCapacity": 400_000, "stride": 4}},
            {"name": "orders", "maxConns": 50},
        ],
        "tenants": [{"name": "bodas", "apiKeys": [KEY]}],
    }  # fmt: skip


@dataclass
class Tally:
    """Outcomes of the requests, as the clients saw them."""

    ends: Counter[str] = field(default_factory=Counter)
    first: dict[str, list[float]] = field(default_factory=dict)
    refused: str = ""
    """Id of the last request that was refused or failed; empty if none was."""


class Demo:
    """Sends requests to the gateways and injects faults into the fleet."""

    def __init__(self, fleet: Fleet, gateways: list[Program], engine: Program) -> None:
        self._fleet = fleet
        self._gateways = gateways
        self._engine = engine
        self._open = list(gateways)
        self._stopped = ""
        self._rng = random.Random(7)
        self._serial = 0
        self.tally = Tally()

    async def run(self) -> None:
        """Send all requests while the faults are injected."""
        async with httpcore.AsyncConnectionPool(max_connections=200) as pool:
            calls = [asyncio.create_task(self._disturb())]
            calls += [asyncio.create_task(self._arrive(pool, kind)) for kind in KINDS]
            await asyncio.gather(*calls)

    def summary(self) -> str:
        """Return a one-sentence summary of the demo."""
        total = sum(self.tally.ends.values())
        served = sum(count for end, count in self.tally.ends.items() if end.endswith(" served"))
        return (
            f"{served} of {total} requests were served completely, while {self._engine.name} was "
            f"killed during its streams and {self._stopped} shut down as planned (so it does not "
            "respond in the status above)"
        )

    async def _disturb(self) -> None:
        await asyncio.sleep(EDIT_AT)
        edit = ("set", "team/bodas", "services.drafts.classes.suite-wording.policy.tier", "3")
        print("edit:", await asyncio.to_thread(self._fleet.operator, *edit))
        await asyncio.sleep(KILL_ENGINE_AT - EDIT_AT)
        print(f"{self._engine.name} is killed")
        self._engine.signal(signal.SIGKILL)
        await asyncio.sleep(STOP_GATEWAY_AT - KILL_ENGINE_AT)
        leaving = self._open.pop()
        self._stopped = leaving.name
        print(f"{leaving.name} is shut down as planned")
        leaving.signal(signal.SIGTERM)

    async def _arrive(self, pool: httpcore.AsyncConnectionPool, kind: Kind) -> None:
        ends = time.monotonic() + SECONDS
        calls = []
        while time.monotonic() < ends:
            await asyncio.sleep(self._rng.expovariate(kind.a_second))
            calls.append(asyncio.create_task(self._call(pool, kind)))
        await asyncio.gather(*calls)

    async def _call(self, pool: httpcore.AsyncConnectionPool, kind: Kind) -> None:
        started = time.monotonic()
        end = "failed"
        for _ in range(MAX_TRIES):
            end, first = await self._try(pool, kind)
            if end == "served":
                self.tally.first.setdefault(kind.route, []).append(first - started)
                break
            await asyncio.sleep(0.3)
        self.tally.ends[f"{kind.route} {end}"] += 1

    async def _try(self, pool: httpcore.AsyncConnectionPool, kind: Kind) -> tuple[str, float]:
        self._serial += 1
        request = f"demo-{self._serial}"
        headers = {
            "Host": HOST,
            "Attempt-Id": request,
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": "8000",
        }
        if kind.prompt:
            session = self._rng.randrange(40)
            own = kind.prompt - kind.shared
            headers["Token-Usage"] = f"{kind.prompt},{kind.output}"
            headers["Prompt-Prefix"] = f"{session + 1:x}:{kind.shared},{self._serial:x}f:{own}"
        gateway = self._rng.choice(self._open).settings["clients"]
        url = f"http://{gateway}/{kind.route}/x"
        try:
            async with pool.stream(
                "POST", url, headers=list(headers.items()), content=b"{}"
            ) as response:
                first = 0.0
                async for _ in response.aiter_stream():
                    first = first or time.monotonic()
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return "broken", 0.0
        if response.status != 200:
            self.tally.refused = request
            return f"answered {response.status}", 0.0
        return "served", first


def main() -> None:
    """Start the fleet, run the demo and print its outcome."""
    with Fleet() as fleet:
        fleet.put("config", "main", configuration())
        engines = [
            fleet.start_upstream(f"engine-{index}", "engine", "drafts", HALLS[index % 2])
            for index in range(3)
        ]
        fleet.start_upstream("ledger-0", "service", "orders", HALLS[0], work=0.02)
        gateways = [fleet.start_gateway(f"gateway-{index}", HALLS[index % 2]) for index in range(3)]
        fleet.wait_ready(*gateways)
        print(f"{len(gateways)} gateways, {len(engines)} engines and a ledger are running")
        demo = Demo(fleet, gateways, engines[0])
        asyncio.run(demo.run())
        for name, count in sorted(demo.tally.ends.items()):
            print(f"{count:5d}  {name}")
        for route, times in demo.tally.first.items():
            times.sort()
            print(f"first event of {route}: {times[len(times) // 2] * 1000:.0f} ms (median)")
        print(fleet.operator("get", "team/bodas", "--effective", "drafts/suite-wording"))
        print(fleet.operator("status"))
        if demo.tally.refused:
            print(fleet.operator("explain", demo.tally.refused))
        print(demo.summary())


if __name__ == "__main__":
    main()
