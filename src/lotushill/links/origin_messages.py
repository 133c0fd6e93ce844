"""Messages between gateways about the software version at which a stream began."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StreamOrigin:
    """Where a stream began: service and software version of the upstream of its first event."""

    request: str
    """Key of the stream, from the id of the client's request that brought the first event."""
    service: str
    version: str
    seconds: float
    """Seconds for which the stream may still be taken up."""


@dataclass(frozen=True)
class OriginNews:
    """A stream whose first event is being passed to its client."""

    origin: StreamOrigin


@dataclass(frozen=True)
class EndedNews:
    """Incarnations whose addresses refuse connections although their entries exist."""

    upstreams: tuple[str, ...]
    """Ids of the incarnations."""


@dataclass(frozen=True)
class OriginAsk:
    """Asks for the origin of a stream that a client takes up."""

    sender: str
    number: int
    """Number of the inquiry, which the answer repeats."""
    request: str
    """Id of the client's request that brought the first event."""


@dataclass(frozen=True)
class OriginAnswer:
    """Answer to an inquiry; service and version are empty if the origin is not known here."""

    sender: str
    number: int
    service: str = ""
    version: str = ""
