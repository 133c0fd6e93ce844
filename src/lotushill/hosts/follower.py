"""Follows the accepted settings: from the object API in some members, from peers in the rest."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import anyio

from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.generation import HEAD_KEY
from lotushill.contracts.generation import OBJECT_PREFIX
from lotushill.contracts.generation import BookBuilder
from lotushill.contracts.generation import Head
from lotushill.contracts.generation import digest_text
from lotushill.contracts.generation import parse_head
from lotushill.hosts.rendezvous import ranked
from lotushill.links.messages import AcceptedObject
from lotushill.links.messages import Pull
from lotushill.links.messages import Pulled
from lotushill.objectapi.exceptions import UnavailableError
from lotushill.objectapi.objects import ABSENT

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.contracts.book import Book
    from lotushill.hosts.membership import Membership
    from lotushill.hosts.upstream_watch import UpstreamWatch
    from lotushill.links.codec import Message
    from lotushill.links.messages import MemberState
    from lotushill.objectapi.objects import ObjectApi

log = logging.getLogger("settings")

READERS_PER_HALL = 2
_WATCH_SECONDS = 20.0
_RETRY_SECONDS = 1.0
_CHECK_SECONDS = 0.25
_PULL_SECONDS = 1.0
_START_SECONDS = 0.5
_START_JITTER_SECONDS = 0.2
_CHECKS_BEFORE_ASKING = 12
"""Times that a member without settings looks for a peer before it asks the platform itself."""
_LIST_FROM = 8
"""From so many missing objects on, all are read in one call."""


class Follower:
    """One member's copy of the accepted settings; its generation only rises."""

    def __init__(
        self,
        objects: ObjectApi,
        membership: Membership,
        post: Callable[[str, Message], None],
        on_generation: Callable[[int], None],
        watch: UpstreamWatch,
        rng: random.Random,
    ) -> None:
        self._objects = objects
        self._membership = membership
        self._post = post
        self._on_generation = on_generation
        self._watch = watch
        self._rng = rng
        self._builder = BookBuilder()
        self._texts: dict[str, str] = {}
        self._head_text = ""
        self._head_version = ABSENT
        self._pulled_at = float("-inf")
        self._pull_failed = False
        self._checks = 0
        self._asked_platform = False
        self.book: Book | None = None
        self.installed_at = 0.0
        """Seconds since the epoch at which the generation came into force here."""

    @property
    def generation(self) -> int:
        """Return the generation in force, 0 for none."""
        return self.book.generation if self.book else 0

    async def run(self) -> None:
        """Follow for ever."""
        # Time to find the others: when all restart at once, only readers ask the platform.
        await anyio.sleep(_START_SECONDS + self._rng.uniform(0, _START_JITTER_SECONDS))
        while True:
            if self._is_reader() or self._must_ask():
                await self._read_platform()
            else:
                await anyio.sleep(_CHECK_SECONDS)

    def hear(self, now: float) -> None:
        """Pull from a peer that says it has a newer generation, if there is one."""
        if now - self._pulled_at < _PULL_SECONDS:
            return
        own = self._membership.own.name
        newer = [
            item
            for item in self._membership.live()
            if item.generation > self.generation and item.name != own
        ]
        if not newer:
            return
        self._pull_failed = self._pulled_at != float("-inf")
        self._pulled_at = now
        self._post(self._best_peer(newer).name, Pull(self.generation, tuple(self._texts)))

    def answer_pull(self, pull: Pull) -> Pulled:
        """Return what a peer lacks of the generation in force here."""
        known = frozenset(pull.known)
        missing = tuple(
            AcceptedObject(name, digest, self._texts[digest])
            for name, digest in self._head_objects().items()
            if digest not in known
        )
        return Pulled(self.generation, self._head_text, missing, self._watch.to_text())

    def take_pulled(self, pulled: Pulled) -> None:
        """Take in a peer's answer; one that is not newer, or not whole, changes nothing."""
        if not pulled.head:
            return
        self._watch.learn(pulled.hosts)
        texts = {item.digest: item.text for item in pulled.objects}
        if any(digest_text(text) != digest for digest, text in texts.items()):
            log.warning("Dropped a pulled generation. error=wrong-digest")
            return
        if self._install(pulled.head, texts, "peer"):
            self._pulled_at = float("-inf")

    def _must_ask(self) -> bool:
        """Return whether this member has no settings and nobody to get them from."""
        if self.book is not None or self._asked_platform:
            return False
        self._checks += 1
        return self._checks > _CHECKS_BEFORE_ASKING

    def _is_reader(self) -> bool:
        own = self._membership.own
        near = [item.name for item in self._membership.live() if item.hall == own.hall]
        return own.name in ranked(f"readers/{own.hall}", near or [own.name], READERS_PER_HALL)

    def _best_peer(self, newer: list[MemberState]) -> MemberState:
        """Return a peer of the own hall, or any after a pull that brought nothing."""
        near = [item for item in newer if item.hall == self._membership.own.hall]
        return self._rng.choice(newer if self._pull_failed or not near else near)

    async def _read_platform(self) -> None:
        try:
            changes = await self._objects.watch(HEAD_KEY, self._head_version, _WATCH_SECONDS)
            for change in changes:
                if change.key == HEAD_KEY and not change.deleted:
                    await self._fetch(change.value)
                self._head_version = max(self._head_version, change.version)
            self._asked_platform = True
        except UnavailableError as error:
            log.info("Platform gives no answer. error=%r", error)
            self._asked_platform = self.book is not None
            await anyio.sleep(_RETRY_SECONDS * self._rng.uniform(0.5, 1.5))

    async def _fetch(self, head_text: str) -> None:
        head = parse_head(head_text)
        if head.generation <= self.generation:
            return
        missing = sorted(set(head.objects.values()) - set(self._texts))
        texts = await self._read_objects(missing)
        self._install(head_text, texts, "platform")

    async def _read_objects(self, digests: list[str]) -> dict[str, str]:
        if len(digests) >= _LIST_FROM:
            stored = await self._objects.list(OBJECT_PREFIX)
            return {item.key.removeprefix(OBJECT_PREFIX): item.value for item in stored}
        texts: dict[str, str] = {}
        for digest in digests:
            found = await self._objects.get(OBJECT_PREFIX + digest)
            if found is None:
                raise UnavailableError(f"accepted object {digest} is not there")
            texts[digest] = found.value
        return texts

    def _install(self, head_text: str, texts: dict[str, str], source: str) -> bool:
        """Put a newer generation in force, whole or not at all; return whether it was."""
        try:
            head = parse_head(head_text)
            held = self._texts | texts
            if head.generation <= self.generation or not _covers(held, head):
                return False
            book = self._builder.build(head, held)
        except (SettingsError, ValueError, KeyError) as error:
            log.error("Could not take a generation. source=%s error=%r", source, error)
            return False
        self.book = book
        self._head_text = head_text
        self._texts = {digest: held[digest] for digest in head.objects.values()}
        self.installed_at = time.time()
        log.info("Generation in force. generation=%d source=%s", book.generation, source)
        self._on_generation(book.generation)
        return True

    def _head_objects(self) -> dict[str, str]:
        return parse_head(self._head_text).objects if self._head_text else {}


def _covers(texts: dict[str, str], head: Head) -> bool:
    return all(digest in texts for digest in head.objects.values())
