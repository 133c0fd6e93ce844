"""How one attempt at an upstream ended."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from lotushill.availability.statement import EMPTY_STATEMENT
from lotushill.availability.statement import Statement

if TYPE_CHECKING:
    from lotushill.requests.handover import Handover
    from lotushill.requests.upstream_connection import AnswerHead


class EndKind(Enum):
    """What is known of the run."""

    WHOLE = "whole"
    """The client has the whole answer."""
    NOT_SENT = "not-sent"
    """No byte was written."""
    BARRED = "barred"
    """No byte was written, since the upstream wants no new request."""
    REJECTED = "rejected"
    """The upstream says that it did not run the request."""
    FAILED = "failed"
    """The upstream answered with a failure of its own."""
    MOVED = "moved"
    """The upstream stopped the run, which goes on where its memory is."""
    BROKEN = "broken"
    """No whole answer came; it may have run."""


@dataclass(frozen=True)
class AttemptEnd:
    """The end of an attempt, with the whole answer of one that failed."""

    kind: EndKind
    detail: str = ""
    head: AnswerHead | None = None
    body: bytes = b""
    statement: Statement = EMPTY_STATEMENT
    """What the upstream said of itself."""
    connection_lost: bool = False
    """Whether the connection ended under a request that had been sent."""
    answer_started: bool = False
    """Whether anything of the answer had come."""
    handover: Handover | None = None
    """The move that was under way, from which the run may go on."""
