"""The settings of `lotushill-gateway`.

Plain dataclasses and not models: a gateway has to serve soon after its host has power, and loading
the models' library took a fifth of the time from its start to its first answer.
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


@dataclass(frozen=True)
class RetrySettings:
    """The budget that all gateways share for sending a request to a second upstream."""

    ratio: Amount = 0.2
    """Repeats for each request."""
    slack: Amount = 10.0
    """Repeats beyond that in one window."""
    window_seconds: Seconds = 10.0


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
