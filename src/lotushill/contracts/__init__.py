"""The settings tree: values that teams, services and classes override, and their resolution."""

from __future__ import annotations
