"""Which upstreams want no requests now, by what they say of themselves in their answers."""

from __future__ import annotations
