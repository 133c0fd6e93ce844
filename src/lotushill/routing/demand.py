"""What one request asks for, read from its head."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share, in tokens."""

    id: int
    tokens: int


@dataclass(frozen=True)
class Demand:
    """One request's needs; lengths are tokens, 0 where nothing is said."""

    request_id: str
    host: str
    api_key: str
    time_left: float | None
    """Seconds that the client will wait, None if it does not say."""
    prompt_tokens: int
    output_limit: int
    """Most tokens that the answer may have."""
    output_hint: int
    """The client's guess of the answer's length: right in the median, often far off."""
    parts: tuple[PromptPart, ...]
    """The parts of the prompt in order."""
    last_event_id: str
