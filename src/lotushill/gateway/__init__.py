"""The request path: from a client to a upstream and back."""

from __future__ import annotations
