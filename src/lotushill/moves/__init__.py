"""Moves of runs between upstreams together with their memory: which ones, when, in which order."""

from __future__ import annotations
