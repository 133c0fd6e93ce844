"""Gateways that keep to an upstream's limit together, in virtual time and in several ways."""

from __future__ import annotations
