"""Queries the status of gateways during a soak run."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING
from typing import Any

from tests.requests.rig import read_answer
from tests.soak.view_checks import ObservedView

if TYPE_CHECKING:
    from tests.soak.gateways import Gateway
    from tests.soak.view_checks import ViewChecks

_ESSENTIAL_VIEWS = ("configuration", "upstreams")
"""Views that every request needs; the others are watched for longer at a time."""
_INTERVAL_SECONDS = 0.1
_TIMEOUT_SECONDS = 2.0
"""Time after which a query is given up: the gateway is frozen."""


async def observe_views(gateway: Gateway, checks: ViewChecks) -> None:
    """Record what a gateway has in force about ten times a second until cancelled."""
    while True:
        sent_at = time.monotonic()
        status = await _query_status(gateway.readiness)
        version = status.get("configuration", {}).get("version")
        if version is not None:
            views = status["views"].values()
            essential = [status["views"][name] for name in _ESSENTIAL_VIEWS]
            checks.observed.append(
                ObservedView(
                    gateway.clients,
                    sent_at,
                    version,
                    max(view["unconfirmed_seconds"] or 0.0 for view in essential),
                    max(view["behind_seconds"] for view in views),
                )
            )
        await asyncio.sleep(_INTERVAL_SECONDS)


async def _query_status(address: str) -> dict[str, Any]:
    """Return the status of a gateway, {} if it does not answer."""
    host, _, port = address.partition(":")
    try:
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return {}
    status: dict[str, Any] = json.loads(answer.body) if answer.whole else {}
    return status
