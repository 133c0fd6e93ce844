"""Calls to the platform that one gateway makes for the whole fleet."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

import httpcore

from lotushill.platform import names

if TYPE_CHECKING:
    from collections.abc import Mapping

_ANSWER_SECONDS = 1.5
"""A report that is due within ten seconds can be sent some times more after one without answer."""
_CONNECT_SECONDS = 0.7
_OK = 200
_REFUSED = 409


class CallEnd(Enum):
    """How a call ended."""

    DONE = "done"
    REFUSED = "refused"
    """An act with a newer token was seen, or what was ordered is not to be had."""
    UNANSWERED = "unanswered"
    """It may have been done, or may be done seconds later."""
    NOT_NOW = "not now"
    """The platform said that it did nothing."""


@dataclass(frozen=True)
class Signature:
    """In whose name a call is made."""

    holder: str
    token: int


@dataclass(frozen=True)
class EngineOrder:
    """How many engines of one kind a service is to have in one hall."""

    service: str
    hall: str
    engines: int
    reclaimable: bool
    """Whether they cost less and may be taken away."""


class DutyApi:
    """Client of the platform's API at `address` (IP:PORT)."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._host = address
        self._pool = httpcore.AsyncConnectionPool(max_connections=16, keepalive_expiry=3.0)
        self.calls = 0
        """Calls made so far."""

    async def report_usage(
        self, window: int, counts: Mapping[str, int], signature: Signature
    ) -> CallEnd:
        """Report the requests of each team that began in a window."""
        content = {"windowId": window, "counts": dict(counts)}
        return await self._call(names.USAGE_PATH, content, signature)

    async def order(self, order: EngineOrder, signature: Signature) -> CallEnd:
        """Order engines; what there are more of is taken away after it has drained."""
        content: dict[str, Any] = {
            "service": order.service,
            "zone": order.hall,
            "desired": order.engines,
        }
        if order.reclaimable:
            content["spot"] = True
        return await self._call(names.ORDER_PATH, content, signature)

    async def _call(self, path: str, content: Any, signature: Signature) -> CallEnd:
        self.calls += 1
        body = json.dumps(content).encode()
        headers = [
            (b"host", self._host.encode()),
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (names.LEASE_HOLDER.encode(), signature.holder.encode()),
            (names.FENCING_TOKEN.encode(), str(signature.token).encode()),
        ]
        timeout = {"connect": _CONNECT_SECONDS, "read": _ANSWER_SECONDS, "write": 1.0, "pool": 1.0}
        try:
            response = await self._pool.request(
                "POST",
                self._base + path,
                headers=headers,
                content=body,
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return CallEnd.UNANSWERED
        if response.status == _OK:
            return CallEnd.DONE
        return CallEnd.REFUSED if response.status == _REFUSED else CallEnd.NOT_NOW
