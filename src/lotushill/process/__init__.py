"""Process infrastructure of a gateway: settings, metrics, background tasks, suspensions."""

from __future__ import annotations
