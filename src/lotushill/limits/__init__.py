"""Rate limits of upstreams and teams that all gateways together comply with."""

from __future__ import annotations
