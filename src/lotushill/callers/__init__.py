"""The front door: callers, their requests and the outcomes told to them."""

from __future__ import annotations
