"""Prompts of the soak test with a part that crashes each engine that begins an answer on it."""

from __future__ import annotations

import itertools
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

DEADLY_PARTS = (0xDEAD, 0xDEAE)
MAX_LATE_SENDS = 3
"""Number of requests with one part that may reach engines, for good, after all gateways know it."""
_CRASHES_TO_KNOW = 5
_CONTACT_SECONDS = 3.0
"""Seconds after the fifth crash within which all gateways know the part."""
_PART_TOKENS = 100
_MODEL = "m"
_own_parts = itertools.count(0xFFFF0000)


def prompt_headers(deadly: bool, rng: random.Random) -> str:
    """Return headers of a prompt that shares its parts with others, no two prompts being alike."""
    ids = [0xA1, 0xB1 + rng.randrange(4), 0xC1 + rng.randrange(20)]
    if deadly:
        ids.insert(rng.randrange(len(ids) + 1), rng.choice(DEADLY_PARTS))
    ids.append(next(_own_parts))
    parts = ",".join(f"{part:x}:{_PART_TOKENS}" for part in ids)
    tokens = _PART_TOKENS * len(ids)
    return f"Model: {_MODEL}\r\nToken-Usage: {tokens},20\r\nPrompt-Prefix: {parts}\r\n"


def deadly_part(headers: dict[str, str]) -> int | None:
    """Return the part of a request at which an engine crashes, None if there is none."""
    ids = [
        int(item.partition(":")[0], 16) for item in headers.get("prompt-prefix", "").split(",")[:-1]
    ]
    return next((part for part in ids if part in DEADLY_PARTS), None)


@dataclass
class PartLedger:
    """When requests with deadly parts reached engines, and when engines crashed under them."""

    sends: defaultdict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    crashes: defaultdict[int, list[float]] = field(default_factory=lambda: defaultdict(list))

    @property
    def crash_count(self) -> int:
        """Return the number of engines that crashed under any of the parts."""
        return sum(len(times) for times in self.crashes.values())

    def late_sends(self, part: int) -> int:
        """Return how many requests with a part reached engines after all gateways must know it."""
        crashes = sorted(self.crashes[part])
        if not crashes:
            return 0
        known_by = crashes[:_CRASHES_TO_KNOW][-1] + _CONTACT_SECONDS
        return sum(at > known_by for at in self.sends[part])

    def violations(self) -> list[str]:
        """Return the parts that reached engines too often."""
        return [
            f"part {part:x}: {self.late_sends(part)} requests reached engines after all gateways "
            f"must know it, {len(self.crashes[part])} engines crashed"
            for part in DEADLY_PARTS
            if self.late_sends(part) > MAX_LATE_SENDS
        ]
