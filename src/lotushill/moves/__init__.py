"""Which runs are moved between upstreams with their memory, when and in which order; pure."""

from __future__ import annotations
