"""Detection of requests during which upstreams fail, and the decision which to withhold."""

from __future__ import annotations
