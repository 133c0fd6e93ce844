"""Client for moving the memory of runs between engines.

The calls use connections of their own, separate from those of requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.exceptions import NoAnswerError
from lotushill.links.json_client import JsonClient
from lotushill.platform import memory_calls

if TYPE_CHECKING:
    from lotushill.moves.memory_copy import Copied
    from lotushill.moves.memory_copy import NotCopied

_CONNECT_TIMEOUT_SECONDS = 0.35
_MAX_CONNECTIONS = 4
_KEEP_ALIVE_SECONDS = 1.0
_FREE_TIMEOUT_SECONDS = 0.5


class EngineMemoryClient:
    """Calls the memory interface of engines, which are identified by their addresses (IP:PORT)."""

    def __init__(self) -> None:
        self._clients: dict[str, JsonClient] = {}

    async def copy(
        self, source: str, run: str, target: str, last: bool, timeout_seconds: float
    ) -> Copied | NotCopied:
        """Copy the memory of a run from `source` to `target`; stop the run first if `last`.

        Raise NoAnswerError if no answer arrives within `timeout_seconds`; the copy may have been
        made nevertheless.
        """
        content = memory_calls.move_request_body(run, target, last)
        client = self._client(source)
        answer = await client.call("POST", memory_calls.MOVE_PATH, content, timeout_seconds)
        return memory_calls.parse_move_answer(answer)

    async def free(self, source: str, handle: str) -> None:
        """Free the memory held under a handle at both engines.

        If the call fails, the engines free the memory when it expires.
        """
        try:
            await self._client(source).call(
                "DELETE", memory_calls.FREE_PATH + handle, timeout_seconds=_FREE_TIMEOUT_SECONDS
            )
        except NoAnswerError:
            return

    def retain_only(self, known: set[str]) -> None:
        """Drop the clients of all addresses that are not in `known`."""
        for address in self._clients.keys() - known:
            del self._clients[address]

    def _client(self, address: str) -> JsonClient:
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = JsonClient(
                address, _MAX_CONNECTIONS, _KEEP_ALIVE_SECONDS, _CONNECT_TIMEOUT_SECONDS
            )
        return client
