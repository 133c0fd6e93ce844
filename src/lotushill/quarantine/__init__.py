"""Requests under which upstreams end: who is suspected, and what is kept from upstreams."""

from __future__ import annotations
