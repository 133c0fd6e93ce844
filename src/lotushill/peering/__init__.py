"""Exchange of state between gateways, and the state that each keeps from it."""

from __future__ import annotations
