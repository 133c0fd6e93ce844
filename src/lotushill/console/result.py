"""What a command found."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lotushill.console.program import EXIT_OK


@dataclass(frozen=True)
class Result:
    """For people, for programs, and the exit code."""

    text: str
    value: Any
    code: int = EXIT_OK
