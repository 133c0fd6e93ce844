"""Claims of idempotency keys, so that a resend through any entry host is recognised.

The claim is a conditional create in the object API. Entry hosts vanish and halls part, so no
memory of ours would do.
"""

from __future__ import annotations

import hashlib
import json
import secrets
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from lotushill.objectapi.exceptions import ConflictError
from lotushill.objectapi.exceptions import UnavailableError
from lotushill.objectapi.exceptions import UnknownEffectError
from lotushill.objectapi.objects import ABSENT

if TYPE_CHECKING:
    from lotushill.objectapi.objects import ObjectApi

PREFIX = "claims/"
LIFETIME_SECONDS = 2 * 3600.0
"""A resend is recognised for so long."""
_DIGEST_CHARS = 40
_SHARD_CHARS = 2


class ClaimResult(Enum):
    """What came of a claim."""

    OURS = "ours"
    """Nobody claimed the key before; the request may run."""
    TAKEN = "taken"
    """Somebody did; the request must not run."""
    UNCONFIRMED = "unconfirmed"
    """Nobody can tell; the request must not run."""


@dataclass(frozen=True)
class Claim:
    """A claim of one key, with the version to release it by."""

    result: ClaimResult
    key: str
    version: int = 0


def claim_key(team: str, idempotency_key: str) -> str:
    """Return the object key of a claim."""
    digest = hashlib.sha256(f"{team}\0{idempotency_key}".encode()).hexdigest()
    return f"{PREFIX}{digest[:_SHARD_CHARS]}/{digest[:_DIGEST_CHARS]}"


def shards() -> tuple[str, ...]:
    """Return the prefixes that claims are spread over, so that none is large to list."""
    return tuple(f"{PREFIX}{number:0{_SHARD_CHARS}x}/" for number in range(16**_SHARD_CHARS))


def has_expired(value: str, now: float) -> bool:
    """Return whether a claim's time is over; one that cannot be read counts as expired."""
    try:
        return float(json.loads(value)["expires"]) <= now
    except (ValueError, KeyError, TypeError):
        return True


class Claims:
    """Claims keys in the object API."""

    def __init__(self, objects: ObjectApi) -> None:
        self._objects = objects

    async def claim(self, team: str, idempotency_key: str, now: float) -> Claim:
        """Claim a key at `now` (seconds since the epoch)."""
        key = claim_key(team, idempotency_key)
        nonce = secrets.token_hex(16)
        value = json.dumps({"nonce": nonce, "expires": now + LIFETIME_SECONDS})
        try:
            stored = await self._objects.put(key, value, ABSENT)
        except ConflictError:
            return Claim(ClaimResult.TAKEN, key)
        except UnknownEffectError:
            return await self._read_back(key, nonce)
        except UnavailableError:
            return Claim(ClaimResult.UNCONFIRMED, key)
        return Claim(ClaimResult.OURS, key, stored.version)

    async def release(self, claim: Claim) -> bool:
        """Give a key back whose request was truly not run; False if that is not sure."""
        try:
            await self._objects.delete(claim.key, claim.version)
        except (ConflictError, UnavailableError, UnknownEffectError):
            return False
        return True

    async def _read_back(self, key: str, nonce: str) -> Claim:
        """Find out whether a create whose answer was lost took effect, by its nonce."""
        try:
            stored = await self._objects.get(key)
        except UnavailableError:
            return Claim(ClaimResult.UNCONFIRMED, key)
        if stored is None:
            # The create may still be on its way, so this cannot be tried again as new.
            return Claim(ClaimResult.UNCONFIRMED, key)
        if json.loads(stored.value).get("nonce") == nonce:
            return Claim(ClaimResult.OURS, key, stored.version)
        return Claim(ClaimResult.TAKEN, key)
