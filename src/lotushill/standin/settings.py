"""The settings file of the stand-ins."""

from __future__ import annotations

from typing import Literal

from lotushill.contracts.address import Address
from lotushill.contracts.document import Document


class StandinSettings(Document):
    """Settings of `lotushill-standin`, which runs one stand-in per process."""

    kind: Literal["store", "engine", "service"]
    """What is emulated: the platform's store, a model engine or an instance of a plain service."""
    name: str
    """Name of the stand-in; for an upstream its id, which must be new at every start."""
    address: Address
    store: Address | None = None
    """Address of the store in which an upstream registers itself."""
    service: str = ""
    """Service of an upstream."""
    hall: str = "zone"
    version: str = "v1"
    """Software version of an upstream, which a model engine writes into its events."""
    slots: int = 16
    step: float = 0.01
    """Duration of one engine step in seconds."""
    prefill_per_step: float = 2048.0
    memory_tokens: int = 400_000
    tokens_per_event: int = 4
    deadly_parts: list[str] = []
    """Hexadecimal ids of prompt parts under which a model engine ends as it begins to answer."""
    work: float = 0.005
    """Seconds that a plain service takes for one request."""
