"""A part of prompts as something that can be at fault when upstreams fail."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from lotushill.quarantine.identity import part_identity

PART_LABEL = "prompt part"
"""Start of the names of all parts; paths of requests start with a slash."""


@dataclass(frozen=True)
class SharedPart:
    """A part that the prompts of several requests for one model may hold, at any service."""

    model: str
    id: int

    @cached_property
    def identity(self) -> bytes:
        """Return the identity under which the part is suspected and held."""
        return part_identity(self.model, self.id)

    @property
    def label(self) -> str:
        """Return the name of the part for operators."""
        return f"{PART_LABEL} {self.id:x}" + (f" for {self.model}" if self.model else "")
