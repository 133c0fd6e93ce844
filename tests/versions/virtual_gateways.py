"""Gateways that tell and ask each other where streams began, in virtual time."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.origin_messages import OriginAnswer
from lotushill.links.origin_messages import OriginAsk
from lotushill.links.origin_messages import OriginNews
from lotushill.links.origin_messages import StreamOrigin
from lotushill.routing.upstream import Upstream
from lotushill.versions.stream_origins import FoundOrigin
from lotushill.versions.stream_origins import StreamOrigins
from lotushill.views.upstream_view import UpstreamView

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "llm"
LIFETIME_SECONDS = 24.0
_DELAY_SECONDS = 0.002


def upstreams(*versions: str) -> list[Upstream]:
    """Return one upstream of each version."""
    return [
        Upstream(f"b{n}", SERVICE, f"10.0.1.{n}:80", "h0", 8, False, version=version)
        for n, version in enumerate(versions)
    ]


@dataclass
class _Members:
    """The view that one gateway has of the fleet."""

    own: MemberState
    fleet: VirtualGateways

    @property
    def composition_version(self) -> int:
        return self.fleet.composition_version

    def find(self, name: str) -> MemberState | None:
        return next((item for item in self.live() if item.name == name), None)

    def live(self) -> list[MemberState]:
        alive = [item for item in self.fleet.states.values() if item.name in self.fleet.members]
        return alive if self.own in alive else [self.own, *alive]

    def all(self) -> list[MemberState]:
        return self.live()


class VirtualGateways:
    """A fleet whose datagrams take some milliseconds and may be lost."""

    def __init__(self, count: int, halls: int, loss: float = 0.0, seed: int = 1) -> None:
        """Start gateways, evenly in the halls; a datagram is lost with the probability `loss`."""
        self.states = {
            f"g{n}": MemberState(f"g{n}", f"g{n}", f"h{n % halls}", "r", 1, MemberPhase.ALIVE)
            for n in range(count)
        }
        self.members = set(self.states)
        """Names of the gateways that all others count as live."""
        self.running = set(self.states)
        self.unreachable_halls: set[str] = set()
        """Halls that are partitioned from all others."""
        self.composition_version = 1
        self.loss = loss
        self.rng = random.Random(seed)
        self.datagrams = 0
        self.confirmed = True
        self.views = {name: UpstreamView() for name in self.states}
        self.set_versions("v1", "v2")
        self.origins = {name: self._start(name) for name in self.states}

    def _start(self, name: str) -> StreamOrigins:
        return StreamOrigins(
            _Members(self.states[name], self),
            self.views[name],
            self._sender(name),
            lambda: self.confirmed,
            lambda: asyncio.get_running_loop().time(),
        )

    def set_versions(self, *versions: str) -> None:
        """Show the upstreams of some versions to all gateways."""
        for view in self.views.values():
            view.replace(upstreams(*versions), view.revision + 1)

    def observe(self) -> None:
        """Let all gateways follow their views."""
        for name in sorted(self.running):
            self.origins[name].observe_view()

    def kill(self, *names: str, noticed: bool = False) -> None:
        """Kill gateways; the others still count them as live unless it is `noticed`."""
        self.running -= set(names)
        if noticed:
            self.members -= set(names)
            self.composition_version += 1

    def restart(self, name: str) -> None:
        """Start a gateway again, which knows nothing of before."""
        self.running.add(name)
        self.members.add(name)
        self.composition_version += 1
        self.origins[name] = self._start(name)

    def begin(self, gateway: str, request: str, version: str = "v1") -> None:
        """Pass on the first event of a stream at a gateway."""
        origin = StreamOrigin(request, SERVICE, version, LIFETIME_SECONDS)
        self.origins[gateway].tell(origin)

    async def take_up(self, gateway: str, request: str) -> FoundOrigin | None:
        """Return the origin that a gateway finds for a stream that comes to it."""
        return await self.origins[gateway].find(request, [SERVICE], LIFETIME_SECONDS)

    def owners(self, request: str) -> list[str]:
        """Return the gateways that were told of a stream or passed it on."""
        now = asyncio.get_running_loop().time()
        known = self.origins.items()
        return [name for name, item in known if item.records.find(request, now) is not None]

    def _sender(self, name: str) -> Callable[[OriginNews | OriginAsk | OriginAnswer, str], None]:
        def send(message: OriginNews | OriginAsk | OriginAnswer, address: str) -> None:
            self.datagrams += 1
            if self.rng.random() >= self.loss and not self._is_cut(name, address):
                loop = asyncio.get_running_loop()
                loop.call_later(_DELAY_SECONDS, self._deliver, message, address)

        return send

    def _is_cut(self, one: str, other: str) -> bool:
        halls = {self.states[one].hall, self.states[other].hall}
        return len(halls) > 1 and bool(halls & self.unreachable_halls)

    def _deliver(self, message: OriginNews | OriginAsk | OriginAnswer, to: str) -> None:
        if to not in self.running:
            return
        receiver = self.origins[to]
        if isinstance(message, OriginNews):
            receiver.receive(message)
        elif isinstance(message, OriginAsk):
            self._sender(to)(receiver.answer(message), message.sender)
        else:
            receiver.inquiries.receive(message)
