"""Run of real gateways of which a slow one gets nearly all new connections for some seconds."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from lotushill.links.http_server import HttpServer
from lotushill.standin.free_address import free_address
from lotushill.standin.metadata_app import MetadataApp
from lotushill.standin.metadata_store import MetadataStore
from tests.entries import entry
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import read_answer
from tests.requests.rig import request_bytes
from tests.soak.configuration import soak_configuration
from tests.soak.engine import KIND
from tests.soak.gateways import Gateway
from tests.soak.gateways import Gateways

if TYPE_CHECKING:
    from collections.abc import Sequence

_ENGINE_COUNT = 6
_SLOTS = 40
_WORK_SECONDS = 0.05
_DEADLINE_SECONDS = 2.5
_MAX_TRIES = 3
_SLICE_SECONDS = 0.02
_RUNNING_FRACTION = 0.25
"""Fraction of each slice for which the slow gateway runs; it is suspended for the rest."""
_USUAL_PER_SECOND = 40.0
_FUNNEL_PER_SECOND = 300.0
"""New connections per second while nearly all go to one gateway; clients then open more."""
_FUNNEL_FRACTION = 0.9
_USUAL_SECONDS = 4.0
_CONTACT_SECONDS = 3.0
_FUNNEL_SECONDS = 9.0


@dataclass(frozen=True)
class FunnelResult:
    """Requests served within their deadline, and sent, before and during the funnel."""

    before: tuple[int, int]
    during: tuple[int, int]
    """From `_CONTACT_SECONDS` after its start on."""
    errors: list[str]

    @property
    def served_ratio(self) -> float:
        """Return the fraction served during the funnel relative to that before."""
        before = self.before[0] / max(1, self.before[1])
        return self.during[0] / max(1, self.during[1]) / max(1e-9, before)


@dataclass(frozen=True)
class _Outcome:
    sent_at: float
    is_served: bool


async def run_funnel(gateways: int = 5, seed: int = 1) -> FunnelResult:
    """Send requests on new connections, at first to any gateway, then nearly all to a slow one."""
    store = MetadataStore()
    server = HttpServer(MetadataApp(store), free_address())
    serving = asyncio.create_task(server.serve())
    await server.wait_started()
    store.put("config", "main", soak_configuration(3, None))
    upstreams = [ScriptedUpstream([_serve]) for _ in range(_ENGINE_COUNT)]
    for number, upstream in enumerate(upstreams):
        await upstream.start()
        store.put(KIND, f"i-{number}", entry("app", upstream.address, slots=_SLOTS))
    with tempfile.TemporaryDirectory(prefix="lotushill-funnel-") as folder:
        fleet = Gateways(Path(folder), server.address, gateways, {}, halls=1)
        await fleet.start()
        slowing = asyncio.create_task(_slow_down(fleet.all[0]))
        try:
            began, outcomes = time.monotonic(), await _send_all(fleet.all, random.Random(seed))
        finally:
            slowing.cancel()
            await fleet.kill_all()
            for upstream in upstreams:
                await upstream.close()
            server.abort()
            serving.cancel()
            await asyncio.gather(serving, slowing, return_exceptions=True)
    funnel_at = began + _USUAL_SECONDS
    return FunnelResult(
        _count([item for item in outcomes if item.sent_at < funnel_at]),
        _count([item for item in outcomes if item.sent_at >= funnel_at + _CONTACT_SECONDS]),
        fleet.errors,
    )


async def _serve(seen: ReceivedRequest) -> None:
    await asyncio.sleep(_WORK_SECONDS)
    seen.answer_whole()


async def _slow_down(gateway: Gateway) -> None:
    """Let a gateway run for a fraction of each slice only."""
    process = gateway.process
    assert process is not None
    with contextlib.suppress(ProcessLookupError):
        while True:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(_SLICE_SECONDS * (1.0 - _RUNNING_FRACTION))
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(_SLICE_SECONDS * _RUNNING_FRACTION)


async def _send_all(gateways: Sequence[Gateway], rng: random.Random) -> list[_Outcome]:
    outcomes: list[_Outcome] = []
    tasks: list[asyncio.Task[None]] = []
    addresses = [gateway.clients for gateway in gateways]
    began = time.monotonic()
    due = 0.0
    while due < _USUAL_SECONDS + _FUNNEL_SECONDS:
        is_funnel = due >= _USUAL_SECONDS
        order = rng.sample(addresses, len(addresses))
        if is_funnel and rng.random() < _FUNNEL_FRACTION:
            order.sort(key=lambda address: address != addresses[0])
        await asyncio.sleep(max(0.0, began + due - time.monotonic()))
        tasks.append(asyncio.create_task(_send(f"a{len(tasks)}", order, outcomes)))
        due += 1.0 / (_FUNNEL_PER_SECOND if is_funnel else _USUAL_PER_SECOND)
    await asyncio.gather(*tasks)
    return outcomes


async def _send(attempt: str, addresses: list[str], outcomes: list[_Outcome]) -> None:
    """Send one request; where the connection is refused or closed unread, try the next gateway."""
    sent_at, status = time.monotonic(), 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_DEADLINE_SECONDS):
            for address in addresses[:_MAX_TRIES]:
                status = await _try(attempt, address)
                if status:
                    break
    outcomes.append(_Outcome(sent_at, status == 200))


async def _try(attempt: str, address: str) -> int:
    """Return the status of the answer, 0 if the connection was refused or closed without one."""
    host, _, port = address.partition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return 0
    try:
        headers = f"Deadline-Ms: {int(_DEADLINE_SECONDS * 1000)}\r\nConnection: close\r\n"
        writer.write(request_bytes(attempt, headers, b"body", "/p/x"))
        return (await read_answer(reader)).status
    except OSError:
        return 0
    finally:
        writer.close()


def _count(outcomes: list[_Outcome]) -> tuple[int, int]:
    return sum(item.is_served for item in outcomes), len(outcomes)
