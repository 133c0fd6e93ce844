"""Decisions of a gateway from its start until its view of the fleet is complete."""

from __future__ import annotations
