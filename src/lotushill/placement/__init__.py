"""Which upstream runs a request: a model of every upstream, fed by all gateways."""

from __future__ import annotations
