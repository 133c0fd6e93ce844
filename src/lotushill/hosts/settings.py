"""The settings files of the programs that run on hosts."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator
from pydantic import Field

from lotushill.contracts.document import Document
from lotushill.contracts.policy import Name
from lotushill.links.address import split_address


def _check_address(value: str) -> str:
    split_address(value)
    return value


def _check_key(value: str) -> str:
    if len(bytes.fromhex(value)) < 16:
        raise ValueError("a peer key has at least 16 bytes, written in hexadecimal")
    return value


Address = Annotated[str, AfterValidator(_check_address)]
PeerKey = Annotated[str, AfterValidator(_check_key)]


class EntrySettings(Document):
    """Settings of `lotushill-entry`."""

    name: Name
    """Name of the host, unique in the fleet."""
    hall: Name
    region: Name
    callers: Address
    """Where callers connect."""
    status: Address
    """Where readiness, liveness, status and explanations are served."""
    peers: Address
    """Where other hosts connect (TCP) and send heartbeats (UDP)."""
    seeds: tuple[Address, ...] = ()
    """Peer addresses of some other hosts, to find the rest by."""
    platform: Address
    """The platform's object API and host list."""
    peer_keys: Annotated[tuple[PeerKey, ...], Field(min_length=1, max_length=2)]
    """Keys of messages between hosts: the first signs, both are accepted."""
    statsd: Address | None = None
    drain_seconds: Annotated[float, Field(gt=0)] = 600.0
    """A planned stop waits so long for requests in progress before it cuts them off."""
    log_level: str = "INFO"


class KeeperSettings(Document):
    """Settings of `lotushill-keeper`."""

    name: Name
    hall: Name
    platform: Address
    status: Address
    log_level: str = "INFO"
