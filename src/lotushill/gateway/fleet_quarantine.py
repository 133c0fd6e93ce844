"""A gateway's part in holding requests during which upstreams would fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from lotushill import clock as clocks
from lotushill.peering.group_gossip import GroupGossip
from lotushill.peering.quarantine_gossip import QuarantineGossip
from lotushill.quarantine.hold_store import HoldStore
from lotushill.quarantine.isolation import Isolation
from lotushill.quarantine.quarantine import Quarantine

if TYPE_CHECKING:
    import random

    from lotushill.event_log import EventLog
    from lotushill.gateway.store_views import StoreViews
    from lotushill.peering.peers import Peers
    from lotushill.platform.object_store import ObjectStore
    from lotushill.quarantine.group import Group
    from lotushill.requests.upstream_pool import UpstreamPool

_RECONCILE_INTERVAL_SECONDS = 0.5


class FleetQuarantine:
    """The suspects of one gateway, the updates it sends about them, and the holds it stores."""

    def __init__(
        self,
        name: str,
        views: StoreViews,
        pool: UpstreamPool,
        peers: Peers,
        store: ObjectStore,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._views = views
        self.suspects = Quarantine()
        self.isolation = Isolation(self.suspects.parts.explains_group)
        self.gossip = QuarantineGossip(
            name,
            self.suspects,
            GroupGossip(name, self.isolation, peers.broadcast, log, rng, clocks.now),
            views.upstreams,
            pool.has_ended,
            peers.broadcast,
            log,
            rng,
            clocks.now,
        )
        self._hold_store = HoldStore(store, self.suspects, views.holds, log, rng)

    def held_identities(self) -> list[bytes]:
        """Return the identities of all requests and parts that are currently held."""
        return self.suspects.held_identities(clocks.now())

    def held_parts(self) -> list[str]:
        """Return the names of the parts of prompts that are held."""
        return self.suspects.held_parts()

    def isolated_groups(self) -> list[Group]:
        """Return the groups of requests that are currently isolated."""
        return self.isolation.isolated_groups(clocks.now())

    def replace_stored(self) -> None:
        """Replace the local copy of the stored holds after the store has changed."""
        self.gossip.replace_stored(self._views.holds.holds)

    async def run_hold_store(self) -> None:
        """Reconcile the holds in the store with the requests held locally, periodically."""
        while True:
            await anyio.sleep(_RECONCILE_INTERVAL_SECONDS)
            await self._hold_store.reconcile()
