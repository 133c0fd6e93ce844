"""Result of one attempt at an upstream, and what replaces an attempt whose upstream is silent."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

from lotushill.availability.statement import EMPTY_STATEMENT
from lotushill.availability.statement import Statement
from lotushill.requests.answer_state import CutBy
from lotushill.requests.exceptions import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from lotushill.placement.choice import Choice
    from lotushill.requests.handover import Handover
    from lotushill.requests.upstream_connection import AnswerHead

T = TypeVar("T")


class EndKind(Enum):
    """What is known of the run after an attempt has ended."""

    WHOLE = "whole"
    """The client received the complete answer."""
    NOT_SENT = "not-sent"
    """No byte of the request was written."""
    BARRED = "barred"
    """No byte was written, since the upstream accepts no new requests."""
    REJECTED = "rejected"
    """The upstream stated that it did not run the request."""
    FAILED = "failed"
    """The upstream answered with an error of its own."""
    MOVED = "moved"
    """The upstream stopped the run, which continues where its memory is."""
    BROKEN = "broken"
    """No complete answer arrived; the request may have run."""


@dataclass(frozen=True)
class AttemptEnd:
    """Result of an attempt, including the complete answer if the upstream sent an error."""

    kind: EndKind
    detail: str = ""
    head: AnswerHead | None = None
    body: bytes = b""
    statement: Statement = EMPTY_STATEMENT
    """What the headers of the answer state about the upstream."""
    connection_lost: bool = False
    """Whether the connection ended after the request had been sent."""
    answer_started: bool = False
    """Whether any part of the answer had arrived."""
    last_event_at: float = 0.0
    """When the last event arrived, 0 if none did."""
    handover: Handover | None = None
    """Move that was in progress, through which the run may continue; None if there was none."""
    cut_by: CutBy = CutBy.UPSTREAM
    """Why the answer is truncated, if it is started and the run does not continue."""
    successor: Successor | None = None
    """Attempt at another upstream that has the request and continues the answer, None if none."""

    @property
    def is_continued(self) -> bool:
        """Return whether the client has the complete answer, or may still get the rest of it."""
        is_whole = self.kind is EndKind.WHOLE
        return is_whole or self.handover is not None or self.successor is not None


class Successor(Protocol):
    """An attempt that has written the request, and continues the answer of another attempt."""

    choice: Choice

    async def relay(self, replacements: Replacements | None) -> AttemptEnd:
        """Relay the answer, unless yet another upstream replaces this one."""
        ...


class ReplacedError(UpstreamError):
    """Another upstream has received the request, and continues its answer."""

    def __init__(self, cause: UpstreamError, successor: Successor) -> None:
        """Replace an attempt that ended with `cause` by `successor`."""
        super().__init__(repr(cause))
        self.cause = cause
        self.successor = successor


class Replacements(Protocol):
    """Finds an upstream that takes over a request whose upstream is silent."""

    async def read_unless_replaced(
        self, read: Coroutine[object, object, T], silent: Choice, may_replace: Callable[[], bool]
    ) -> T:
        """Return what `read` returns; raise ReplacedError once another upstream has the request.

        A replacement is only looked for while `may_replace` returns True.
        """
        ...
