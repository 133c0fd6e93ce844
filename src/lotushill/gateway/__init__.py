"""The request path: from a client to an upstream and back."""

from __future__ import annotations
