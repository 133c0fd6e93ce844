"""The views that every gateway replicates from the store and from peers."""

from __future__ import annotations

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
    from collections.abc import Coroutine
    from typing import Any

    from lotushill.event_log import EventLog
    from lotushill.following.followed import FollowedKind
    from lotushill.peering.reader_role import ReaderRole
    from lotushill.views.watcher import Store

ESSENTIAL_KINDS = (ViewKind.CONFIGURATION, ViewKind.UPSTREAMS)
"""Views that every request needs."""
_HOLDS_WAIT_SECONDS = 2.0
"""Time after which requests are served although the holds, and only they, cannot be read.

Without the holds, a held request may make upstreams fail; not serving at all fails every request.
"""
_PARSE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Exceptions that parsing plain data of any shape may raise."""


class StoreViews:
    """Keeps each view at the highest revision that the store or a peer has announced."""

    def __init__(
        self,
        store: Store,
        rng: random.Random,
        log: EventLog,
        on_configuration: Callable[[], None],
        reader_role: ReaderRole | None = None,
        clock: Callable[[], float] = clocks.now,
        on_holds: Callable[[], None] = lambda: None,
    ) -> None:
        """Watch `store` while `reader_role` makes this gateway a reader; without a role, always.

        `on_configuration` is called when a new configuration is in force, `on_holds` when the set
        of held requests has changed.
        """
        self._clock = clock
        self._reader_role = reader_role
        self._on_configuration = on_configuration
        self._configured_at: float | None = None
        """Time at which the first configuration came into force, from the store or from a peer."""
        self._relisted_at = float("-inf")
        self._configuration = FollowedConfiguration(
            log, self._handle_configuration, self._may_read_configuration
        )
        self._upstreams = FollowedUpstreams(log, clock, self._last_failure_at)
        self._settings = FollowedSettings(log)
        self._holds = FollowedHolds(log, on_holds)
        self._followed: dict[ViewKind, FollowedKind] = {
            ViewKind.CONFIGURATION: self._configuration,
            ViewKind.UPSTREAMS: self._upstreams,
            ViewKind.SETTINGS: self._settings,
            ViewKind.HOLDS: self._holds,
        }
        self._watchers = {
            kind: Watcher(
                store, item.watched_kind(), rng, log, reader_role, clock, self._restart_calls
            )
            for kind, item in self._followed.items()
        }
        self.configuration = self._configuration.view
        self.upstreams = self._upstreams.view
        self.settings = self._settings.view
        self.holds = self._holds.view
        self.upstream_faults = self._upstreams.faults

    def tasks(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Return the tasks that watch the store, by name; they run until cancelled."""
        return {f"watch {kind.value}": watcher.run for kind, watcher in self._watchers.items()}

    def expire(self) -> None:
        """Remove the upstreams that stayed absent for too long after an outage of the store."""
        self._upstreams.expire()

    def holds_are_known(self) -> bool:
        """Return whether the held requests are known, or were queried in vain for long enough.

        A gateway that served earlier would send held requests to upstreams again.
        """
        if self._may_read_configuration():
            return True
        configured = self._configured_at
        return configured is not None and self._clock() - configured > _HOLDS_WAIT_SECONDS

    def contact(self) -> StoreContact:
        """Return whether this gateway reads the store, is passive or cannot reach it."""
        watchers = self._essential_watchers()
        if any(watcher.failing for watcher in watchers):
            return StoreContact.AWAY
        if any(watcher.active for watcher in watchers):
            return StoreContact.READING
        return StoreContact.PASSIVE

    def is_fresh(self) -> bool:
        """Return whether no newer configuration is known anywhere than the one in force."""
        role, revision = self._reader_role, self.configuration.revision
        if role is not None and role.knows_newer(revision):
            return False
        watcher = self._watchers[ViewKind.CONFIGURATION]
        if watcher.active and not watcher.failing:
            return watcher.last_list_sent_at >= self._relisted_at
        return role is not None and role.has_current_reader(revision)

    def seconds_unconfirmed(self, kind: ViewKind) -> float | None:
        """Return for how long the store has not confirmed a view, None if others read it."""
        since = self._watchers[kind].unanswered_since
        return None if since is None else self._clock() - since

    def relist(self) -> None:
        """Read all views of this gateway from the store again, because they may be stale."""
        self._relisted_at = self._clock()
        for watcher in self._watchers.values():
            watcher.relist()

    def _restart_calls(self, sent_before: float) -> None:
        """Repeat the calls in progress on new connections, since one connection was silent.

        What silenced it, such as a restarted firewall, usually affects all that were open then. In
        an outage of the store the calls are left alone until it answers again.
        """
        for watcher in self._watchers.values():
            watcher.restart_call(sent_before)

    def is_confirmed_since(self, since: float) -> bool:
        """Return whether this gateway has read configuration and upstreams since a given time."""
        return all(watcher.last_list_sent_at >= since for watcher in self._essential_watchers())

    def _essential_watchers(self) -> list[Watcher]:
        return [self._watchers[kind] for kind in ESSENTIAL_KINDS]

    def _last_failure_at(self) -> float | None:
        return self._watchers[ViewKind.UPSTREAMS].last_failure_at

    def _may_read_configuration(self) -> bool:
        """Return whether the configuration, without which nothing is served, may be read.

        It is read after the holds: a gateway that had read only the configuration before the store
        became unreachable would send held requests to upstreams. The wait for the holds counts only
        while the store answers other calls, which shows that only the holds cannot be read. Counted
        from the start instead, it had expired in a gateway that started during an outage, which
        then read both at once when the store was back.
        """
        if self.holds.revision >= 0:
            return True
        since = self._watchers[ViewKind.UPSTREAMS].answering_since
        return since is not None and self._clock() - since > _HOLDS_WAIT_SECONDS

    def _handle_configuration(self) -> None:
        if self._configured_at is None:
            self._configured_at = self._clock()
        self.settings.clear_resolved_routes()
        self._on_configuration()

    def text(self, kind: ViewKind) -> tuple[int, str]:
        """Return the revision and the JSON text of a view, to be sent to a peer."""
        followed = self._followed[kind]
        return followed.revision, followed.to_json()

    def revision(self, kind: ViewKind) -> int:
        """Return the revision of a view."""
        return self._followed[kind].revision

    def receive_from_peer(self, kind: ViewKind, revision: int, text: str) -> None:
        """Replace a view by a newer one of a peer; raise MalformedViewError if it is malformed."""
        try:
            self._followed[kind].receive_from_peer(json.loads(text), revision)
        except _PARSE_ERRORS as error:
            raise MalformedViewError(kind.value) from error
