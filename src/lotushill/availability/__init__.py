"""Availability of upstreams, as they state it themselves in their answers."""

from __future__ import annotations
