"""Views that gateways pull from one another, so that few have to read the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.messages import StoreContact
from lotushill.links.messages import ViewKind
from lotushill.links.messages import ViewPage
from lotushill.links.messages import ViewPull
from lotushill.links.packed_text import compress_text
from lotushill.links.packed_text import decompress_text
from lotushill.views.exceptions import MalformedViewError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from lotushill.links.messages import MemberState
    from lotushill.links.peer_links import PeerLinks
    from lotushill.membership.membership import Membership

_PULL_AFTER_SECONDS = 0.3
"""A view is pulled that is behind for so long: the own watch, or the hall, had its chance."""
_PULL_AGAIN_SECONDS = 0.5


class ViewExchange:
    """Pulls what is newer elsewhere, and answers pulls; the clock is passed in."""

    def __init__(
        self,
        membership: Membership,
        links: PeerLinks,
        rng: random.Random,
        view_text: Callable[[ViewKind], tuple[int, str]],
        on_view: Callable[[ViewKind, int, str], None],
    ) -> None:
        """Hand views over as JSON text: `view_text` gives the own, `on_view` takes a peer's."""
        self._membership = membership
        self._links = links
        self._rng = rng
        self._view_text = view_text
        self._on_view = on_view
        self._behind: dict[ViewKind, float] = {}
        self._packed: dict[ViewKind, tuple[str, bytes]] = {}
        """The latest text of each view that was sent, and what was sent."""
        self._looked_at = -1
        """Version of the membership when the views of others were last held against the own."""

    def pull_newer(self, revisions: dict[ViewKind, int], now: float) -> None:
        """Pull the views that others hold at a higher revision than the own ones."""
        if self._membership.version == self._looked_at and not self._behind:
            return
        self._looked_at = self._membership.version
        members = self._membership.live()
        for kind in ViewKind:
            self.pull_if_behind(kind, revisions[kind], members, now)

    def pull_if_behind(
        self, kind: ViewKind, revision: int, members: Sequence[MemberState], now: float
    ) -> None:
        """Pull one view from a member that is ahead, one of the own hall first."""
        ahead = [item for item in members if _revision(item, kind) > revision]
        if not ahead:
            self._behind.pop(kind, None)
            return
        near = [item for item in ahead if item.hall == self._membership.own.hall]
        waits = self._pull_after(revision, bool(near))
        since = self._behind.setdefault(kind, now)
        if now - since < waits:
            return
        self._behind[kind] = now + _PULL_AGAIN_SECONDS - waits
        self._links.post(self._rng.choice(near or ahead).name, ViewPull(kind, revision))

    def _pull_after(self, revision: int, near: bool) -> float:
        """Return how long others may be ahead before their view is pulled."""
        if revision < 0:
            # Without any view there is nothing to wait for.
            return 0.0
        if near and self._membership.own.contact is not StoreContact.READING:
            return 0.0
        return _PULL_AFTER_SECONDS

    def answer(self, peer: str, pull: ViewPull) -> None:
        """Send the own view to a peer, if it is newer than the peer's."""
        revision, text = self._view_text(pull.kind)
        if revision > pull.revision:
            packed = self._pack(pull.kind, text)
            self._links.post(peer, ViewPage(pull.kind, revision, packed=packed))

    def receive(self, page: ViewPage) -> bool:
        """Take a peer's view; return whether it could be read."""
        try:
            text = decompress_text(page.packed) if page.packed else page.text
            self._on_view(page.kind, page.revision, text)
        except (MalformedFrameError, MalformedViewError):
            return False
        return True

    def _pack(self, kind: ViewKind, text: str) -> bytes:
        """Return a view packed, once for all peers that pull it."""
        former, packed = self._packed.get(kind, ("", b""))
        if text != former:
            packed = compress_text(text)
            self._packed[kind] = (text, packed)
        return packed


def _revision(member: MemberState, kind: ViewKind) -> int:
    match kind:
        case ViewKind.CONFIGURATION:
            return member.configuration
        case ViewKind.UPSTREAMS:
            return member.upstreams
        case ViewKind.SETTINGS:
            return member.settings
        case ViewKind.HOLDS:
            return member.holds
