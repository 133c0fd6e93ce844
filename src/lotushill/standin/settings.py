"""The settings file of the stand-ins."""

from __future__ import annotations

from typing import Literal

from lotushill.contracts.document import Document
from lotushill.hosts.settings import Address


class StandinSettings(Document):
    """Settings of `lotushill-standin`: one stand-in to a process."""

    kind: Literal["platform", "engine", "service"]
    name: str
    address: Address
    slots: int = 16
    step: float = 0.01
    """Seconds of one engine step."""
    prefill_per_step: float = 2048.0
    work: float = 0.005
    """Seconds that a plain service works on one call."""
