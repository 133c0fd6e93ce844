"""What a gateway follows of the store, kind by kind: from the store itself, or told by peers."""

from __future__ import annotations
