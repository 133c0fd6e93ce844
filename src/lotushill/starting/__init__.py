"""What a gateway does between its start and the moment when it knows its fleet."""

from __future__ import annotations
