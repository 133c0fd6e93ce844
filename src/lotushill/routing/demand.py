"""Parameters of one request, read from its head."""

from __future__ import annotations

from dataclasses import dataclass

MAX_TOKENS = 2**32 - 1
"""Largest number of tokens that a request may state; gateways exchange such numbers in 32 bits."""
MAX_PARTS = 255
"""Number of parts of a prompt, from its begin, that are looked at; gateways tell each other of as
many."""


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share; its length is in tokens."""

    id: int
    tokens: int


@dataclass(frozen=True)
class Demand:
    """Parameters of one request; lengths are in tokens, 0 if the request does not state them."""

    request_id: str
    host: str
    api_key: str
    time_left: float | None
    """Seconds that the client will wait, None if it does not state them."""
    prompt_tokens: int
    output_limit: int
    """Maximum number of tokens of the answer."""
    output_hint: int
    """The client's estimate of the answer's length: right in the median, often far off."""
    parts: tuple[PromptPart, ...]
    """Parts of the prompt, in order."""
    last_event_id: str
    """Id of the last event that the client has of a stream; empty for a new stream."""
    resumed_request_id: str = ""
    """Id of the client's request that brought the first event of the stream that it takes up."""
    model: str = ""
    """Name of the model that is to answer; empty if the request does not state it."""
