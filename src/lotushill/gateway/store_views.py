"""The views that every gateway follows, fed by the store and by peers."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from lotushill import clock as clocks
from lotushill.following.configuration import FollowedConfiguration
from lotushill.following.holds import FollowedHolds
from lotushill.following.settings import FollowedSettings
from lotushill.following.upstreams import FollowedUpstreams
from lotushill.links.messages import StoreContact
from lotushill.links.messages import ViewKind
from lotushill.views.exceptions import MalformedViewError
from lotushill.views.watcher import Watcher

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.following.followed import FollowedKind
    from lotushill.peering.reader_role import ReaderRole
    from lotushill.views.watcher import Store

_HOLDS_FIRST_SECONDS = 2.0
"""Where the holds alone cannot be read, requests are served all the same after so long: one that is
held may end upstreams, and none served ends all."""
_UNREADABLE = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What reading plain data of any shape may raise."""


class StoreViews:
    """Keeps the views at the highest revision that was heard of."""

    def __init__(
        self,
        store: Store,
        rng: random.Random,
        log: EventLog,
        on_configuration: Callable[[], None],
        role: ReaderRole | None = None,
        clock: Callable[[], float] = clocks.now,
        on_holds: Callable[[], None] = lambda: None,
    ) -> None:
        """Follow `store` while `role` says so; without a role, always.

        `on_configuration` is called when another configuration is in force, `on_holds` when other
        requests are held.
        """
        self._clock = clock
        self._role = role
        self._on_configuration = on_configuration
        self._configured_at: float | None = None
        """When a configuration was first in force, whoever told it."""
        self._doubted_at = float("-inf")
        self._configuration = FollowedConfiguration(log, self._note_configuration, self._may_start)
        self._upstreams = FollowedUpstreams(log, clock, self._away_at)
        self._settings = FollowedSettings(log)
        self._holds = FollowedHolds(log, on_holds)
        self._followed: dict[ViewKind, FollowedKind] = {
            ViewKind.CONFIGURATION: self._configuration,
            ViewKind.UPSTREAMS: self._upstreams,
            ViewKind.SETTINGS: self._settings,
            ViewKind.HOLDS: self._holds,
        }
        self._watchers = {
            kind: Watcher(store, item.watched_kind(), rng, log, role, clock)
            for kind, item in self._followed.items()
        }
        self.configuration = self._configuration.view
        self.upstreams = self._upstreams.view
        self.settings = self._settings.view
        self.holds = self._holds.view
        self.upstream_faults = self._upstreams.faults

    def start_tasks(self) -> list[asyncio.Task[None]]:
        """Start to follow the store, for ever."""
        return [asyncio.create_task(watcher.run()) for watcher in self._watchers.values()]

    def expire(self) -> None:
        """Take for gone what stayed away for too long after an outage of the store."""
        self._upstreams.expire()

    def knows_holds(self) -> bool:
        """Return whether it is known, or has been asked for long enough, which requests are held.

        A gateway that served before would send them to upstreams again.
        """
        if self._may_start():
            return True
        configured = self._configured_at
        return configured is not None and self._clock() - configured > _HOLDS_FIRST_SECONDS

    # How this gateway stands with the store

    def contact(self) -> StoreContact:
        """Return how this gateway stands with the store."""
        watchers = self._deciding()
        if any(watcher.failing for watcher in watchers):
            return StoreContact.AWAY
        if any(watcher.active for watcher in watchers):
            return StoreContact.READING
        return StoreContact.PASSIVE

    def is_fresh(self) -> bool:
        """Return whether nothing newer is known anywhere than the configuration in force."""
        watcher = self._watchers[ViewKind.CONFIGURATION]
        if watcher.active and not watcher.failing:
            return watcher.last_list_sent_at >= self._doubted_at
        return self._role is not None and self._role.has_current_reader(self.configuration.revision)

    def relist(self) -> None:
        """Ask the store again for all that this gateway reads, since it may be old."""
        self._doubted_at = self._clock()
        for watcher in self._watchers.values():
            watcher.relist()

    def is_confirmed_since(self, since: float) -> bool:
        """Return whether this gateway read configuration and upstreams from a time on."""
        return all(watcher.last_list_sent_at >= since for watcher in self._deciding())

    def _deciding(self) -> tuple[Watcher, Watcher]:
        """Return who follows what no request is served without."""
        return self._watchers[ViewKind.CONFIGURATION], self._watchers[ViewKind.UPSTREAMS]

    def _away_at(self) -> float | None:
        return self._watchers[ViewKind.UPSTREAMS].last_failure_at

    def _may_start(self) -> bool:
        """Return whether the configuration, without which nothing is served, may be read.

        It is read after the holds: a gateway that had read it alone before the store went away
        would send what is held to upstreams. Only a store that has answered other calls all the
        while says that the holds alone cannot be read: with the time counted from the start, a
        gateway that started in an outage read both at once when the store was back.
        """
        if self.holds.revision >= 0:
            return True
        since = self._watchers[ViewKind.UPSTREAMS].answering_since
        return since is not None and self._clock() - since > _HOLDS_FIRST_SECONDS

    def _note_configuration(self) -> None:
        if self._configured_at is None:
            self._configured_at = self._clock()
        self.settings.clear_resolved_routes()
        self._on_configuration()

    # Peers

    def text(self, kind: ViewKind) -> tuple[int, str]:
        """Return the revision and the JSON text of a view, for a peer."""
        followed = self._followed[kind]
        return followed.revision, followed.to_json()

    def revision(self, kind: ViewKind) -> int:
        """Return the revision of a view."""
        return self._followed[kind].revision

    def receive_from_peer(self, kind: ViewKind, revision: int, text: str) -> None:
        """Take a peer's view if it is newer; raise MalformedViewError if it cannot be read."""
        try:
            self._followed[kind].receive_from_peer(json.loads(text), revision)
        except _UNREADABLE as error:
            raise MalformedViewError(kind.value) from error
