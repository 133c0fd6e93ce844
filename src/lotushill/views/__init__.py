"""Views of the platform's store that every gateway follows."""

from __future__ import annotations
