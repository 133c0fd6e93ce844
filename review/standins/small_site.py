"""The small deployment of the script cases, after the sheet of olvera-router for guest queries."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from standins.deployment import configuration
from standins.deployment import stream_route

if TYPE_CHECKING:
    from collections.abc import Mapping

    from standins.deployment import Site

ZONES = {"hall-zapopan": 3, "hall-tlaque": 3, "hall-centro": 2}
"""Gateways in each zone."""
PREFIX = "/lohu930/"
EVENTS = 58
STREAMS_PER_SECOND = 14.0
DEADLINE_SECONDS = 15.0
_SERVICE = "huvo11a"
_SLOTS = 64
_EVENT_GAP_SECONDS = 0.08
"""Time between two events of a stream; pauses of up to 0.12 s are in time."""
_FIRST_EVENT_SECONDS = 0.05


def gateway_names() -> list[str]:
    """Return the names of all gateways."""
    return [f"front-{zone}-{n + 1}" for zone, count in ZONES.items() for n in range(count)]


async def start_small_site(
    site: Site, versions: Mapping[str, str], resumable: bool = True, **engine_options: Any
) -> bool:
    """Start the store, engines with their versions and the gateways; return whether all serve.

    `resumable` tells whether streams may be resumed; other ones have one attempt.
    """
    await site.store.start()
    engine = {"slots": _SLOTS, "kvCapacity": 638949, "kvTokenBytes": 163840, "stride": 5}
    services = {_SERVICE: {"maxConns": 370, "engine": engine}}
    attempts = 2 if resumable else 1
    changes = {"streamResume": resumable, "maxAttempts": attempts}
    routes = [stream_route("r-px5pa2y", PREFIX, _SERVICE, **changes)]
    site.store.put("config", "main", configuration(7, services, routes))
    zones = list(ZONES)
    for number, (name, version) in enumerate(versions.items()):
        site.start_engine(
            name,
            service=_SERVICE,
            zone=zones[number % len(zones)],
            version=version,
            slots=_SLOTS,
            gap=_EVENT_GAP_SECONDS,
            first=_FIRST_EVENT_SECONDS,
            **engine_options,
        )
    for name in gateway_names():
        site.start_gateway(name, name.removeprefix("front-").rpartition("-")[0])
    return await site.wait_ready(len(versions))
