"""Fair shares of teams: what each has had of a service, and who goes first where room is short."""

from __future__ import annotations
