"""Moves the memory of runs between engines, over connections beside those of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.exceptions import NoAnswerError
from lotushill.links.json_client import JsonClient
from lotushill.platform import memory_calls

if TYPE_CHECKING:
    from lotushill.moves.memory_copy import Copied
    from lotushill.moves.memory_copy import NotCopied

_CONNECT_SECONDS = 0.35
_MOST_CONNECTIONS = 4
_KEPT_SECONDS = 1.0
_FREE_SECONDS = 0.5


class EngineMemoryClient:
    """Client of the memory calls of all engines, by their addresses (IP:PORT)."""

    def __init__(self) -> None:
        self._clients: dict[str, JsonClient] = {}

    async def copy(
        self, source: str, run: str, target: str, last: bool, timeout_seconds: float
    ) -> Copied | NotCopied:
        """Copy what a run at `source` holds to `target`, after stopping it where it is `last`.

        Raise NoAnswerError without an answer within `patience` seconds: it may have been done.
        """
        content = memory_calls.move_request_body(run, target, last)
        client = self._client(source)
        answer = await client.call("POST", memory_calls.MOVE_PATH, content, timeout_seconds)
        return memory_calls.parse_move_answer(answer)

    async def free(self, source: str, handle: str) -> None:
        """Free what is held under a handle at both ends; unheard, it is freed when it is old."""
        try:
            await self._client(source).call(
                "DELETE", memory_calls.FREE_PATH + handle, timeout_seconds=_FREE_SECONDS
            )
        except NoAnswerError:
            return

    def forget(self, known: set[str]) -> None:
        """Drop the clients of addresses at which no engine is known."""
        for address in self._clients.keys() - known:
            del self._clients[address]

    def _client(self, address: str) -> JsonClient:
        found = self._clients.get(address)
        if found is None:
            found = self._clients[address] = JsonClient(
                address, _MOST_CONNECTIONS, _KEPT_SECONDS, _CONNECT_SECONDS
            )
        return found
