"""Placement: chooses the upstream of a request.

It uses a model of all upstreams that is updated by all gateways.
"""

from __future__ import annotations
