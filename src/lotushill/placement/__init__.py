"""Which backend runs a request: a model of every backend, fed by all gateways."""

from __future__ import annotations
