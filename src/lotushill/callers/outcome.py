"""How a request ended, as its caller is told."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

HEADER = b"lotushill-outcome"
REQUEST_HEADER = b"lotushill-request"


class OutcomeKind(Enum):
    """Exactly one of these is the end of every request."""

    COMPLETED = "completed"
    REFUSED = "refused"
    """Not run: no upstream began on it."""
    FAILED = "failed"
    """It ran, and its answer is not whole."""
    UNKNOWN = "unknown"
    """It may have run."""


@dataclass(frozen=True)
class Outcome:
    """The end of one request; `code` says why, `retry_after` in how many seconds to return."""

    kind: OutcomeKind
    status: int
    code: str
    retry_after: float = 0.0

    def to_plain(self, request: str) -> dict[str, object]:
        """Return the body of the error that the caller gets."""
        error = {"type": self.kind.value, "code": self.code, "request": request}
        if self.retry_after:
            error["retry_after"] = f"{self.retry_after:.1f}"
        return {"error": error}
