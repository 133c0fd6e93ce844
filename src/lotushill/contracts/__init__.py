"""The settings tree: what teams, services and classes override, and what they end up with."""

from __future__ import annotations
