"""Calls to the platform that one gateway makes for the whole fleet."""

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

_ANSWER_SECONDS = 1.5
"""A report that is due within ten seconds can be sent some times more after one without answer."""
_CONNECT_SECONDS = 0.7
_MOST_CONNECTIONS = 16
_KEPT_SECONDS = 3.0
_OK = 200
_REFUSED = 409


class CallOutcome(Enum):
    """How a call ended."""

    DONE = "done"
    REFUSED = "refused"
    """An act with a newer token was seen, or what was ordered is not to be had."""
    UNANSWERED = "unanswered"
    """It may have been done, or may be done seconds later."""
    NOT_NOW = "not now"
    """The platform said that it did nothing."""


@dataclass(frozen=True)
class LeaseCredentials:
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
        self._client = JsonClient(address, _MOST_CONNECTIONS, _KEPT_SECONDS, _CONNECT_SECONDS)

    @property
    def calls(self) -> int:
        """Return how many calls were made so far."""
        return self._client.calls

    async def report_usage(
        self, window: int, counts: Mapping[str, int], signature: LeaseCredentials
    ) -> CallOutcome:
        """Report the requests of each team that began in a window."""
        content = {"windowId": window, "counts": dict(counts)}
        return await self._call(names.USAGE_PATH, content, signature)

    async def order(self, order: EngineOrder, signature: LeaseCredentials) -> CallOutcome:
        """Order engines; what there are more of is taken away after it has drained."""
        content: dict[str, Any] = {
            "service": order.service,
            "zone": order.hall,
            "desired": order.engines,
        }
        if order.reclaimable:
            content["spot"] = True
        return await self._call(names.ORDER_PATH, content, signature)

    async def _call(self, path: str, content: Any, signature: LeaseCredentials) -> CallOutcome:
        headers = (
            (names.LEASE_HOLDER, signature.holder),
            (names.FENCING_TOKEN, str(signature.token)),
        )
        try:
            answer = await self._client.call("POST", path, content, _ANSWER_SECONDS, headers)
        except NoAnswerError:
            return CallOutcome.UNANSWERED
        if answer.status == _OK:
            return CallOutcome.DONE
        return CallOutcome.REFUSED if answer.status == _REFUSED else CallOutcome.NOT_NOW
