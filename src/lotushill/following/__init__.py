"""Follows the kinds of the store: keeps their views up to date from the store or from peers."""

from __future__ import annotations
