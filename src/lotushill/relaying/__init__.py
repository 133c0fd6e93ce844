"""Connections to upstreams through other gateways, where this one cannot reach them itself."""

from __future__ import annotations
