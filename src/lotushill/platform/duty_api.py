"""Calls to the platform's API that one gateway makes for the whole fleet."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from lotushill.links.exceptions import NoAnswerError
from lotushill.links.json_client import JsonClient
from lotushill.platform import names

if TYPE_CHECKING:
    from collections.abc import Mapping

_TIMEOUT_SECONDS = 1.5
"""Timeout of a call; allows several retries of a report, which is due within ten seconds."""
_CONNECT_SECONDS = 0.7
_MAX_CONNECTIONS = 16
_KEEPALIVE_SECONDS = 3.0
_OK = 200
_CONFLICT = 409


class CallOutcome(Enum):
    """Outcome of a call."""

    DONE = "done"
    REFUSED = "refused"
    """The platform saw a newer fencing token, or has no engines of the kind that was ordered."""
    UNANSWERED = "unanswered"
    """No answer: the call may have been carried out, or may be carried out seconds later."""
    NOT_NOW = "not now"
    """The platform answered that it did not carry out the call."""


@dataclass(frozen=True)
class LeaseCredentials:
    """Lease holder and fencing token on whose behalf a call is made."""

    holder: str
    token: int


@dataclass(frozen=True)
class EngineOrder:
    """Desired number of engines of one kind for a service in one hall."""

    service: str
    hall: str
    engines: int
    reclaimable: bool
    """Whether the engines cost less and may be reclaimed by the platform."""


class DutyApi:
    """Client of the platform's API at `address` (IP:PORT)."""

    def __init__(self, address: str) -> None:
        self._client = JsonClient(address, _MAX_CONNECTIONS, _KEEPALIVE_SECONDS, _CONNECT_SECONDS)

    @property
    def calls(self) -> int:
        """Return the number of calls made so far."""
        return self._client.calls

    async def report_usage(
        self, window: int, counts: Mapping[str, int], credentials: LeaseCredentials
    ) -> CallOutcome:
        """Report how many requests of each team began in a usage window."""
        content = {"windowId": window, "counts": dict(counts)}
        return await self._call(names.USAGE_PATH, content, credentials)

    async def order(self, order: EngineOrder, credentials: LeaseCredentials) -> CallOutcome:
        """Set the desired number of engines; surplus engines are removed once they have drained."""
        content: dict[str, Any] = {
            "service": order.service,
            "zone": order.hall,
            "desired": order.engines,
        }
        if order.reclaimable:
            content["spot"] = True
        return await self._call(names.ORDER_PATH, content, credentials)

    async def _call(self, path: str, content: Any, credentials: LeaseCredentials) -> CallOutcome:
        headers = (
            (names.LEASE_HOLDER, credentials.holder),
            (names.FENCING_TOKEN, str(credentials.token)),
        )
        try:
            answer = await self._client.call("POST", path, content, _TIMEOUT_SECONDS, headers)
        except NoAnswerError:
            return CallOutcome.UNANSWERED
        if answer.status == _OK:
            return CallOutcome.DONE
        return CallOutcome.REFUSED if answer.status == _CONFLICT else CallOutcome.NOT_NOW
