"""How all gateways together keep to the rates that upstreams name for them."""

from __future__ import annotations
