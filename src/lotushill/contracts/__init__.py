"""The settings tree: tiers, teams, services, classes and what is promised to them."""

from __future__ import annotations
