"""The life of one request: from a client's bytes to an upstream and back."""

from __future__ import annotations
