"""Exchange of views between gateways, so that few have to read the store."""

from __future__ import annotations

from dataclasses import dataclass
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

    from lotushill.event_log import EventLog
    from lotushill.links.messages import MemberState
    from lotushill.links.peer_links import PeerLinks
    from lotushill.membership.membership import Membership

_PULL_DELAY_SECONDS = 0.3
"""Time for which a view has to be behind before it is pulled. Within it, this gateway's watch of
the store or another gateway of the hall normally delivers the newer view."""
_PULL_INTERVAL_SECONDS = 0.5
_PULLS_IN_OWN_HALL = 2
"""Pulls after which gateways of other halls are asked as well: a page may take as long as the first
ones over a slow network, and bytes between halls are dear."""
_REPORT_DELAY_SECONDS = 1.0
"""Time for which a view has to be behind before a log line says so."""


@dataclass
class _Lag:
    """A view of which another gateway has a newer revision; times are seconds of the clock."""

    since: float
    next_pull_at: float
    newest: int = -1
    """Highest revision that another gateway is known to have."""
    pulls: int = 0
    """Number of pulls sent so far."""
    asked: str = ""
    """Name of the gateway that the last pull was sent to."""
    is_reported: bool = False


class ViewExchange:
    """Pulls views that are newer at other gateways, and answers pulls; the time is passed in."""

    def __init__(
        self,
        membership: Membership,
        links: PeerLinks,
        rng: random.Random,
        view_text: Callable[[ViewKind], tuple[int, str]],
        on_view: Callable[[ViewKind, int, str], None],
        log: EventLog,
    ) -> None:
        """Exchange views as JSON text.

        `view_text` returns the local view; `on_view` receives a peer's.
        """
        self._membership = membership
        self._links = links
        self._rng = rng
        self._view_text = view_text
        self._on_view = on_view
        self._log = log
        self._lags: dict[ViewKind, _Lag] = {}
        """Views that are behind, by kind."""
        self._packed: dict[ViewKind, tuple[str, bytes]] = {}
        """Latest text of each view that was sent, with its packed form."""
        self._compared_version = -1
        """Version of the membership at the last comparison with the revisions of other gateways."""

    def pull_newer(self, revisions: dict[ViewKind, int], now: float) -> None:
        """Pull the views that other gateways have at a higher revision."""
        if self._membership.version == self._compared_version and not self._lags:
            return
        self._compared_version = self._membership.version
        members = self._membership.live()
        for kind in ViewKind:
            self.pull_if_behind(kind, revisions[kind], members, now)

    def pull_if_behind(
        self, kind: ViewKind, revision: int, members: Sequence[MemberState], now: float
    ) -> None:
        """Pull one view from a member with a higher revision, preferably one of the same hall."""
        newer = [item for item in members if _revision(item, kind) > revision]
        if not newer:
            self._end_lag(kind, revision, now)
            return
        same_hall = [item for item in newer if item.hall == self._membership.own.hall]
        lag = self._lags.get(kind)
        if lag is None:
            delay = self._pull_delay(revision, bool(same_hall))
            lag = self._lags[kind] = _Lag(since=now, next_pull_at=now + delay)
        lag.newest = max(_revision(item, kind) for item in newer)
        self._report_lag(kind, revision, lag, now)
        if now < lag.next_pull_at:
            return
        lag.next_pull_at = now + _PULL_INTERVAL_SECONDS
        sources = same_hall if same_hall and lag.pulls < _PULLS_IN_OWN_HALL else newer
        # The gateway that was asked last may be frozen or unreachable.
        others = [item.name for item in sources if item.name != lag.asked]
        lag.asked = self._rng.choice(others) if others else lag.asked
        lag.pulls += 1
        self._links.post(lag.asked, ViewPull(kind, revision))

    def seconds_behind(self, kind: ViewKind, now: float) -> float:
        """Return for how long another gateway has been known to have a newer revision."""
        lag = self._lags.get(kind)
        return now - lag.since if lag is not None else 0.0

    def _report_lag(self, kind: ViewKind, revision: int, lag: _Lag, now: float) -> None:
        """Log once that a view remains behind although it was pulled."""
        if lag.is_reported or now - lag.since < _REPORT_DELAY_SECONDS:
            return
        lag.is_reported = True
        self._log.note(
            "view.behind", kind=kind.value, revision=revision, newest=lag.newest, pulls=lag.pulls
        )

    def _end_lag(self, kind: ViewKind, revision: int, now: float) -> None:
        lag = self._lags.pop(kind, None)
        if lag is not None and lag.is_reported:
            self._log.note(
                "view.current",
                kind=kind.value,
                revision=revision,
                behind_seconds=round(now - lag.since, 3),
                pulls=lag.pulls,
            )

    def _pull_delay(self, revision: int, in_own_hall: bool) -> float:
        """Return how long others may have a higher revision before their view is pulled."""
        if revision < 0:
            # A gateway without any view has nothing to wait for.
            return 0.0
        if in_own_hall and self._membership.own.contact is not StoreContact.READING:
            return 0.0
        return _PULL_DELAY_SECONDS

    def answer(self, peer: str, pull: ViewPull) -> None:
        """Send the local view to a peer if it is newer than the peer's."""
        revision, text = self._view_text(pull.kind)
        if revision > pull.revision:
            packed = self._pack(pull.kind, text)
            self._links.post(peer, ViewPage(pull.kind, revision, packed=packed))

    def receive(self, page: ViewPage) -> bool:
        """Receive a peer's view; return whether it could be decoded."""
        try:
            text = decompress_text(page.packed) if page.packed else page.text
            self._on_view(page.kind, page.revision, text)
        except (MalformedFrameError, MalformedViewError):
            return False
        return True

    def _pack(self, kind: ViewKind, text: str) -> bytes:
        """Return a view in packed form, which is computed once for all peers that pull it."""
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
