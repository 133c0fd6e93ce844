"""Model engines and plain services: calls to them and what is known of them."""

from __future__ import annotations
