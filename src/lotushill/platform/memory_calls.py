"""Calls that move the KV memory of runs between engines, and the engines' answers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from lotushill.links.exceptions import NoAnswerError
from lotushill.moves.memory_copy import Copied
from lotushill.moves.memory_copy import NoCopyReason
from lotushill.moves.memory_copy import NotCopied
from lotushill.moves.memory_copy import is_handle

if TYPE_CHECKING:
    from lotushill.links.json_client import JsonAnswer

MOVE_PATH = "/kv-move"
FREE_PATH = "/kv-handle/"
_OK = 200
_REASONS = {404: NoCopyReason.UNKNOWN_RUN, 409: NoCopyReason.BUSY, 503: NoCopyReason.NO_ROOM}


def move_request_body(run: str, target: str, last: bool) -> dict[str, Any]:
    """Return the request for a copy of a run at `target` (IP:PORT), after its end if `last`."""
    return {"id": run, "targetVersion": target, "last": last}


def parse_move_answer(answer: JsonAnswer) -> Copied | NotCopied:
    """Parse an engine's answer to a move; raise NoAnswerError if it is not a valid answer."""
    content = answer.read()
    handle = content.get("handle") if isinstance(content, dict) else None
    is_valid_handle = isinstance(handle, str) and is_handle(handle)
    if answer.status == _OK and is_valid_handle:
        produced_tokens = content.get("made")
        return Copied(str(handle), produced_tokens if isinstance(produced_tokens, int) else 0)
    if answer.status in _REASONS:
        return NotCopied(_REASONS[answer.status], str(handle) if is_valid_handle else "")
    raise NoAnswerError(f"invalid answer to a move, status {answer.status}")
