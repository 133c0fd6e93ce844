"""Result of a command."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lotushill.process.exit_status import EXIT_OK


@dataclass(frozen=True)
class Result:
    """Result of a command: text for people, a value for programs (JSON), and the exit code."""

    text: str
    value: Any
    code: int = EXIT_OK
