"""The settings of `lotushill-gateway`.

These are plain dataclasses instead of Pydantic models: a gateway has to serve soon after its host
is powered on, and Pydantic takes long to import.
"""

from __future__ import annotations

from dataclasses import dataclass

Text = str
"""A string that is not empty."""
Address = str
"""An address as `IP:PORT`."""
Seconds = float
"""A duration in seconds, above 0."""
Amount = float
"""A number that is 0 or more."""
Megabytes = float
"""A size in MB (10^6 bytes), above 0."""
Flag = bool


@dataclass(frozen=True)
class RetrySettings:
    """Retry budget that all gateways share for sending requests to a second upstream."""

    ratio: Amount = 0.2
    """Retries allowed for each request."""
    slack: Amount = 10.0
    """Retries allowed in addition to the ratio, in one window."""
    window_seconds: Seconds = 10.0


@dataclass(frozen=True)
class DutySettings:
    """Settings of the duties that a gateway performs for the fleet if the platform asks for it."""

    address: Address
    """Address at which the platform accepts usage reports and engine orders."""
    lease_seconds: Seconds = 3.0
    """How long other gateways wait for a renewal by the holder before one of them takes over."""
    fenced: Flag = False
    """Whether the platform rejects calls with an outdated fencing token."""
    report_window_seconds: Seconds = 5.0
    """Length of the usage window that one report covers, in true time."""
    reports_usage: Flag = True
    orders_engines: Flag = True


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway process."""

    name: Text
    """Name of the gateway, unique in the fleet."""
    hall: Text
    region: Text
    clients: Address
    """Address on which clients connect."""
    readiness: Address
    """Address on which readiness, status and metrics are served."""
    peers: Address
    """Address to which other gateways send datagrams and open connections."""
    store: Address
    """Address of the platform's store."""
    grace_seconds: Seconds = 8.0
    """Time between the first stop signal and the forced end of the process."""
    leave_seconds: Amount = 3.0
    """Time after a stop signal in which the load balancer may still send new connections."""
    recent_seconds: Seconds = 10.0
    """Time since its last use in which a shared prompt part still influences routing."""
    memory_mb: Megabytes = 300.0
    """Memory in MB (10^6 bytes) that the host allows the process; clients hold at most a third."""
    descriptors: Amount = 0.0
    """Descriptors that the host allows the process, half of which connections of clients use at
    most; 0 or more than the system allows: as many as the system allows."""
    retry: RetrySettings = RetrySettings()
    duties: DutySettings | None = None
    """None if the platform has no calls for duties."""
