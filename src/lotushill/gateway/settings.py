"""The settings file of `lotushill-gateway`."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

from lotushill.links.address import Address

Seconds = Annotated[float, Field(gt=0)]


class Section(BaseModel):
    """A part of the settings; fields that are not known are passed over."""

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)


class RetrySettings(Section):
    """The budget that all gateways share for sending a request to a second upstream."""

    ratio: Annotated[float, Field(ge=0)] = 0.2
    """Repeats for each request."""
    slack: Annotated[float, Field(ge=0)] = 10.0
    """Repeats beyond that in one window."""
    window_seconds: Seconds = 10.0


class GatewaySettings(Section):
    """Settings of one gateway."""

    name: Annotated[str, Field(min_length=1)]
    """Name of the node, unique in the fleet."""
    hall: Annotated[str, Field(min_length=1)]
    region: Annotated[str, Field(min_length=1)]
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
    leave_seconds: Annotated[float, Field(ge=0)] = 3.0
    """How long after a signal to stop the balancer may still send new connections."""
    recent_seconds: Seconds = 10.0
    """A shared prompt part used within so long is worth being found again."""
    retry: RetrySettings = RetrySettings()
