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
DURATION_SECONDS = 12.0
KILL_ENGINE_AT_SECONDS = 4.0
STOP_GATEWAY_AT_SECONDS = 7.0
EDIT_AT_SECONDS = 2.0
API_KEY = "key-bodas"
HOST = "demo.example"
MAX_ATTEMPTS = 2


@dataclass(frozen=True)
class RequestKind:
    """One kind of request that the demo sends."""

    route: str
    requests_per_second: float
    prompt_tokens: int
    shared_tokens: int
    output_tokens: int


KINDS = (
    RequestKind("guest-query", 12.0, 600, 200, 40),
    RequestKind("suite-wording", 2.5, 6000, 4000, 80),
    RequestKind("order-lookup", 5.0, 0, 0, 0),
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
        "tenants": [{"name": "bodas", "apiKeys": [API_KEY]}],
    }  # fmt: skip


@dataclass
class Outcomes:
    """Outcomes of the requests, as the clients saw them."""

    counts: Counter[str] = field(default_factory=Counter)
    first_event_seconds: dict[str, list[float]] = field(default_factory=dict)
    refused_request: str = ""
    """Id of the last request that was refused or failed; empty if none was."""


class Demo:
    """Sends requests to the gateways and injects faults into the fleet."""

    def __init__(self, fleet: Fleet, gateways: list[Program], engine: Program) -> None:
        self._fleet = fleet
        self._gateways = gateways
        self._engine = engine
        self._running_gateways = list(gateways)
        self._stopped_gateway = ""
        self._rng = random.Random(7)
        self._request_number = 0
        self.outcomes = Outcomes()

    async def run(self) -> None:
        """Send all requests while the faults are injected."""
        async with httpcore.AsyncConnectionPool(max_connections=200) as pool:
            tasks = [asyncio.create_task(self._inject_faults())]
            tasks += [asyncio.create_task(self._send_requests(pool, kind)) for kind in KINDS]
            await asyncio.gather(*tasks)

    def summary(self) -> str:
        """Return a one-sentence summary of the demo."""
        total = sum(self.outcomes.counts.values())
        served = sum(
            count for end, count in self.outcomes.counts.items() if end.endswith(" served")
        )
        return (
            f"{served} of {total} requests were served completely, while {self._engine.name} was "
            f"killed during its streams and {self._stopped_gateway} shut down as planned (so "
            "it does not respond in the status above)"
        )

    async def _inject_faults(self) -> None:
        await asyncio.sleep(EDIT_AT_SECONDS)
        edit = ("set", "team/bodas", "services.drafts.classes.suite-wording.policy.tier", "3")
        print("edit:", await asyncio.to_thread(self._fleet.run_operator, *edit))
        await asyncio.sleep(KILL_ENGINE_AT_SECONDS - EDIT_AT_SECONDS)
        print(f"{self._engine.name} is killed")
        self._engine.signal(signal.SIGKILL)
        await asyncio.sleep(STOP_GATEWAY_AT_SECONDS - KILL_ENGINE_AT_SECONDS)
        leaving = self._running_gateways.pop()
        self._stopped_gateway = leaving.name
        print(f"{leaving.name} is shut down as planned")
        leaving.signal(signal.SIGTERM)

    async def _send_requests(self, pool: httpcore.AsyncConnectionPool, kind: RequestKind) -> None:
        ends_at = time.monotonic() + DURATION_SECONDS
        tasks = []
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._rng.expovariate(kind.requests_per_second))
            tasks.append(asyncio.create_task(self._send_with_retries(pool, kind)))
        await asyncio.gather(*tasks)

    async def _send_with_retries(
        self, pool: httpcore.AsyncConnectionPool, kind: RequestKind
    ) -> None:
        started = time.monotonic()
        outcome = "failed"
        for _ in range(MAX_ATTEMPTS):
            outcome, first = await self._send(pool, kind)
            if outcome == "served":
                self.outcomes.first_event_seconds.setdefault(kind.route, []).append(first - started)
                break
            await asyncio.sleep(0.3)
        self.outcomes.counts[f"{kind.route} {outcome}"] += 1

    async def _send(
        self, pool: httpcore.AsyncConnectionPool, kind: RequestKind
    ) -> tuple[str, float]:
        self._request_number += 1
        request = f"demo-{self._request_number}"
        headers = {
            "Host": HOST,
            "Attempt-Id": request,
            "Authorization": f"Bearer {API_KEY}",
            "Deadline-Ms": "8000",
        }
        if kind.prompt_tokens:
            session = self._rng.randrange(40)
            unshared_tokens = kind.prompt_tokens - kind.shared_tokens
            headers["Token-Usage"] = f"{kind.prompt_tokens},{kind.output_tokens}"
            headers["Prompt-Prefix"] = (
                f"{session + 1:x}:{kind.shared_tokens},{self._request_number:x}f:{unshared_tokens}"
            )
        gateway = self._rng.choice(self._running_gateways).settings["clients"]
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
            self.outcomes.refused_request = request
            return f"answered {response.status}", 0.0
        return "served", first


def main() -> None:
    """Start the fleet, run the demo and print its outcome."""
    with Fleet() as fleet:
        fleet.create_object("config", "main", configuration())
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
        for name, count in sorted(demo.outcomes.counts.items()):
            print(f"{count:5d}  {name}")
        for route, times in demo.outcomes.first_event_seconds.items():
            times.sort()
            print(f"first event of {route}: {times[len(times) // 2] * 1000:.0f} ms (median)")
        print(fleet.run_operator("get", "team/bodas", "--effective", "drafts/suite-wording"))
        print(fleet.run_operator("status"))
        if demo.outcomes.refused_request:
            print(fleet.run_operator("explain", demo.outcomes.refused_request))
        print(demo.summary())


if __name__ == "__main__":
    main()
