"""The software version at which each stream began, as the fleet knows it.

A client that takes a stream up may come to any gateway, also after the one that had the stream has
ended. So the gateway that passes the first event on tells the owners of the stream, and the one to
which the client comes asks them. A record is written once and is true or absent; it needs no
agreement, and ends when the stream cannot be taken up any more.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from lotushill.links.origin_messages import OriginAnswer
from lotushill.links.origin_messages import OriginAsk
from lotushill.links.origin_messages import OriginNews
from lotushill.links.origin_messages import StreamOrigin
from lotushill.membership.schedulers import MAX_SMALL_FLEET_GATEWAYS
from lotushill.versions.origin_inquiries import OriginInquiries
from lotushill.versions.origin_owners import OriginOwners
from lotushill.versions.origin_records import OriginRecords
from lotushill.versions.sole_versions import SoleVersions

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.links.messages import MemberState
    from lotushill.membership.members import Members
    from lotushill.views.upstream_view import UpstreamView

_EXPIRY_INTERVAL_SECONDS = 2.0
_VIEW_DELAY_SECONDS = 5.0
"""Time within which every gateway with contact to the store knows of a new upstream."""


class KnownBy(Enum):
    """How the origin of a stream became known."""

    THIS_GATEWAY = "this gateway"
    """This gateway passed the first event on, or is an owner of the stream."""
    PEER = "peer"
    """Another gateway answered."""
    SOLE_VERSION = "sole version"
    """No gateway knows it, and its service has had one version for longer than a stream lasts, or
    the client names no request and the service has had one version in all views."""


@dataclass(frozen=True)
class FoundOrigin:
    """Origin of a stream that a client takes up."""

    service: str
    """Service of the upstream that brought the first event; empty if not known."""
    version: str
    known_by: KnownBy


class StreamOrigins:
    """Tells, keeps and finds the origins of streams."""

    def __init__(
        self,
        members: Members,
        upstreams: UpstreamView,
        send: Callable[[OriginNews | OriginAsk, str], None],
        view_is_confirmed: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        """Exchange messages among `members`; `send` sends one to an address.

        `view_is_confirmed` returns whether the store has recently confirmed the view of upstreams.
        """
        self._members = members
        self._upstreams = upstreams
        self._send = send
        self._view_is_confirmed = view_is_confirmed
        self._clock = clock
        self._owners = OriginOwners(members)
        self._sole_versions = SoleVersions()
        self._observed_revision = -1
        self._expired_at = float("-inf")
        self.records = OriginRecords()
        self.inquiries = OriginInquiries(members.own.name, self._keepers, send)
        self.on_begun: Callable[[StreamOrigin], None] = lambda _: None
        """Called with the origin of each stream that begins at this gateway."""
        self.running: Counter[str] = Counter()
        """Number of streams of this gateway that have begun and not ended, by version."""
        self.found: Counter[KnownBy] = Counter()
        """Number of streams that were taken up here, by how their version became known."""
        self.unknown = 0
        """Number of streams that were refused, as nobody knew their version."""

    def note_begun(self, version: str) -> None:
        """Count a stream of this gateway that has begun."""
        self.running[version] += 1

    def note_ended(self, version: str) -> None:
        """Count the end of a stream that had begun."""
        self.running[version] -= 1
        if not self.running[version]:
            del self.running[version]

    def tell(self, origin: StreamOrigin) -> None:
        """Record the origin of a stream whose first event is about to be passed on, and tell it."""
        self.records.note(origin, self._clock())
        self.on_begun(origin)
        for gateway in self._keepers(origin.request):
            self._send(OriginNews(origin), gateway.address)

    def receive(self, update: OriginNews) -> None:
        """Store an origin as one of the owners of its stream."""
        self.records.note(update.origin, self._clock())

    def answer(self, ask: OriginAsk) -> OriginAnswer:
        """Return what this gateway knows of a stream."""
        known = self.records.find(ask.request, self._clock())
        own_name = self._members.own.name
        if known is None:
            return OriginAnswer(own_name, ask.number)
        return OriginAnswer(own_name, ask.number, known.service, known.version)

    async def find(self, request: str, services: list[str], lifetime: float) -> FoundOrigin | None:
        """Return the origin of a stream that a client takes up, None if nobody knows it.

        `request` is the id of the client's request that brought its first event, empty if the
        client does not name it, as clients did before there were versions side by side; the stream
        began at one of `services`, at most `lifetime` seconds ago.
        """
        found = await self._find(request, services, lifetime)
        if found is None:
            self.unknown += 1
        else:
            self.found[found.known_by] += 1
        return found

    async def _find(self, request: str, services: list[str], lifetime: float) -> FoundOrigin | None:
        if request:
            known = self.records.find(request, self._clock())
            if known is not None:
                return FoundOrigin(known.service, known.version, KnownBy.THIS_GATEWAY)
            answer = await self.inquiries.ask(request)
            if answer is not None:
                return FoundOrigin(answer.service, answer.version, KnownBy.PEER)
        self.observe_view()
        versions = {self._sole_version(name, bool(request), lifetime) for name in services}
        if len(versions) != 1 or "" in versions:
            return None
        return FoundOrigin("", versions.pop(), KnownBy.SOLE_VERSION)

    def _sole_version(self, service: str, is_named: bool, lifetime: float) -> str:
        """Return the only version at which a stream may have begun, empty if there are several.

        `is_named` states whether the client names its first request.
        """
        if not is_named:
            return self._sole_versions.find_unchanged(service)
        if not self._view_is_confirmed():
            return ""
        return self._sole_versions.find(service, lifetime + _VIEW_DELAY_SECONDS, self._clock())

    def observe_view(self) -> None:
        """Follow the versions in the view; called often."""
        now = self._clock()
        if self._upstreams.revision != self._observed_revision:
            self._observed_revision = self._upstreams.revision
            self._sole_versions.observe(self._upstreams.all(), now)
        if now - self._expired_at >= _EXPIRY_INTERVAL_SECONDS:
            self._expired_at = now
            self.records.expire(now)

    def is_small_fleet(self) -> bool:
        """Return whether every gateway keeps all origins."""
        return len(self._members.live()) <= MAX_SMALL_FLEET_GATEWAYS

    def has_several_versions(self) -> bool:
        """Return whether several versions serve side by side in some service."""
        return self._sole_versions.has_several()

    def _keepers(self, request: str) -> list[MemberState]:
        """Return the other gateways that keep the origin of a stream: its owners.

        In a small fleet every gateway keeps it, since most of them may be lost at once.
        """
        live = self._members.live()
        keepers = live if self.is_small_fleet() else self._owners.of(request)
        return [item for item in keepers if item.name != self._members.own.name]

    def status(self) -> dict[str, object]:
        """Return the state as plain data for the status output."""
        return {
            "running": dict(self.running),
            "records": len(self.records),
            "taken_up": {known_by.value: count for known_by, count in self.found.items()},
            "unknown": self.unknown,
            "unanswered_inquiries": self.inquiries.unanswered,
        }
