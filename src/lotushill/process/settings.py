"""The settings of `lotushill-gateway`.

Plain dataclasses and not models: a gateway has to serve soon after its host has power, and the
models' library takes long to load.
"""

from __future__ import annotations

from dataclasses import dataclass

Text = str
"""Some text, not empty."""
Address = str
"""`IP:PORT`."""
Seconds = float
"""Above 0."""
Amount = float
"""0 or more."""
Flag = bool


@dataclass(frozen=True)
class RetrySettings:
    """The budget that all gateways share for sending a request to a second upstream."""

    ratio: Amount = 0.2
    """Repeats for each request."""
    slack: Amount = 10.0
    """Repeats beyond that in one window."""
    window_seconds: Seconds = 10.0


@dataclass(frozen=True)
class DutySettings:
    """What one gateway does for the whole fleet, where the platform asks for it."""

    address: Address
    """Where the platform takes reports and orders."""
    lease_seconds: Seconds = 3.0
    """How long others wait for a holder that is not heard before they take over."""
    fenced: Flag = False
    """Whether the platform refuses calls with an older token."""
    report_window_seconds: Seconds = 5.0
    """One report of usage covers so much true time."""
    reports_usage: Flag = True
    orders_engines: Flag = True


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway."""

    name: Text
    """Name of the node, unique in the fleet."""
    hall: Text
    region: Text
    clients: Address
    """Where clients connect."""
    readiness: Address
    """Where readiness, status and metrics are served."""
    peers: Address
    """Where other gateways send datagrams and open connections."""
    store: Address
    """The platform's store."""
    grace_seconds: Seconds = 8.0
    """How long after the first signal to stop the process is ended."""
    leave_seconds: Amount = 3.0
    """How long after a signal to stop the balancer may still send new connections."""
    recent_seconds: Seconds = 10.0
    """A shared prompt part used within so long is worth being found again."""
    retry: RetrySettings = RetrySettings()
    duties: DutySettings | None = None
    """None where the platform has no such calls."""
