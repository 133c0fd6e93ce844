"""Which requests were lately answered whole: bounded in number and age."""

from __future__ import annotations

from collections import OrderedDict

_MOST = 8192
"""At 33 requests a second, which is a gateway's part of 12,000 over 360, four minutes; 1 MB."""
_SECONDS = 600.0


class CompletedRequests:
    """Remembers the identities of answers that were whole; the time is an argument."""

    def __init__(self) -> None:
        self._seen: OrderedDict[bytes, float] = OrderedDict()

    def note(self, identity: bytes, now: float) -> None:
        """Note a whole answer."""
        self._seen[identity] = now
        self._seen.move_to_end(identity)
        if len(self._seen) > _MOST:
            self._seen.popitem(last=False)

    def knows(self, identity: bytes, now: float) -> bool:
        """Return whether the request was answered whole lately."""
        seen = self._seen.get(identity)
        return seen is not None and now - seen < _SECONDS
