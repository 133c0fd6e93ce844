"""The rates that upstreams name for all gateways together, and how the fleet keeps to them."""

from __future__ import annotations
