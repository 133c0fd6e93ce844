"""The platform's object API and host list, as a port with an adapter."""

from __future__ import annotations
