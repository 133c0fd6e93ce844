"""What gateways tell each other, and what each keeps of it."""

from __future__ import annotations
