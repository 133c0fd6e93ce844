"""Fair shares of teams: their work at each service, and their order while capacity is short."""

from __future__ import annotations
