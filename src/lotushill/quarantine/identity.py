"""Identities of what can be at fault: a request that is repeated, or a part of prompts."""

from __future__ import annotations

import functools
import hashlib

IDENTITY_BYTES = 16
_PART_DOMAIN = b"prompt part"
"""Separates the hashes of parts from those of requests."""
_MAX_CACHED_PARTS = 8192
_MAX_CACHED_MODEL_CHARACTERS = 64
"""Longest name of a model, which callers choose, that the cache of digests keeps."""


def identity_of(team: str, host: str, method: bytes, target: bytes, body: bytes) -> bytes:
    """Return a digest that is the same when a caller repeats a request under any request id.

    The hash is cryptographic so that no caller can craft a request with the identity of a request
    of another caller.
    """
    return _digest_of((team.encode(), host.encode("latin-1", "replace"), method, target, body), b"")


def part_identity(model: str, part_id: int) -> bytes:
    """Return a digest that all requests have in common whose prompts share a part."""
    if len(model) > _MAX_CACHED_MODEL_CHARACTERS:
        return _part_digest(model, part_id)
    return _cached_part_digest(model, part_id)


@functools.lru_cache(_MAX_CACHED_PARTS)
def _cached_part_digest(model: str, part_id: int) -> bytes:
    return _part_digest(model, part_id)


def _part_digest(model: str, part_id: int) -> bytes:
    return _digest_of((model.encode("latin-1", "replace"), b"%x" % part_id), _PART_DOMAIN)


def _digest_of(fields: tuple[bytes, ...], domain: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES, person=domain)
    for item in fields:
        digest.update(len(item).to_bytes(8, "big"))
        digest.update(item)
    return digest.digest()
