"""The request path: from a client to a backend and back."""

from __future__ import annotations
