"""Views: a gateway's copies of objects in the platform's store, kept up to date."""

from __future__ import annotations
