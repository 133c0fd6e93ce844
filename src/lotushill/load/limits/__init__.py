"""Emulation of gateways that jointly keep to an upstream's limit, in virtual time.

Several schemes can be compared.
"""

from __future__ import annotations
