"""The settings file of the stand-ins."""

from __future__ import annotations

from typing import Literal

from lotushill.contracts.address import Address
from lotushill.contracts.document import Document


class StandinSettings(Document):
    """Settings of `lotushill-standin`: one stand-in to a process."""

    kind: Literal["store", "engine", "service"]
    """The platform's store, a model engine, or an instance of a plain service."""
    name: str
    """Name, and for an upstream its id: another for every start."""
    address: Address
    store: Address | None = None
    """Where an upstream registers itself."""
    service: str = ""
    """Service that an upstream belongs to."""
    hall: str = "zone"
    slots: int = 16
    step: float = 0.01
    """Seconds of one engine step."""
    prefill_per_step: float = 2048.0
    memory_tokens: int = 400_000
    tokens_per_event: int = 4
    work: float = 0.005
    """Seconds that a plain service works on one request."""
