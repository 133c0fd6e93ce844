"""Accepted generations of the settings: the head, its objects, and how a book comes of them."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.contracts.book import Book
from lotushill.contracts.book import TeamContracts
from lotushill.contracts.book import build
from lotushill.contracts.book import build_team
from lotushill.contracts.document import Document
from lotushill.contracts.document import check
from lotushill.contracts.exceptions import Fault
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.tree import Root
from lotushill.contracts.tree import Team

if TYPE_CHECKING:
    from collections.abc import Mapping

HEAD_KEY = "accepted/head"
OBJECT_PREFIX = "accepted/object/"
DESIRED_PREFIX = "desired/"
ROOT_NAME = "root"
TEAM_PREFIX = "team/"
_DIGEST_CHARS = 40


class Head(Document):
    """The one object that says what is in force."""

    generation: int
    nonce: str
    """Names the write, so that a writer whose answer was lost knows its own."""
    holder: str
    token: int
    """Fencing token of the lease under which the head was written."""
    objects: dict[str, str]
    """Digest of each accepted object by name."""


def digest_text(text: str) -> str:
    """Return the name under which an accepted text is stored."""
    return hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_CHARS]


def parse_head(text: str) -> Head:
    """Return a head from its JSON; raise SettingsError for anything else."""
    try:
        value = json.loads(text)
    except ValueError as error:
        raise SettingsError(HEAD_KEY, (Fault("(document)", "text", "no JSON"),)) from error
    return check(Head, value, HEAD_KEY)


@dataclass(frozen=True)
class _Built:
    digest: str
    root_digest: str
    contracts: TeamContracts


class BookBuilder:
    """Builds books, working out again only the teams that changed since the last one."""

    def __init__(self) -> None:
        self._built: dict[str, _Built] = {}
        self._root: tuple[str, Root] | None = None

    def build(self, head: Head, texts: Mapping[str, str]) -> Book:
        """Return the book of a head; `texts` holds each accepted text by its digest."""
        root_digest = head.objects[ROOT_NAME]
        if self._root is None or self._root[0] != root_digest:
            self._root = (root_digest, load_root(texts[root_digest]))
        root = self._root[1]
        built: dict[str, _Built] = {}
        for name, digest in head.objects.items():
            if name == ROOT_NAME:
                continue
            held = self._built.get(name)
            if held is None or (held.digest, held.root_digest) != (digest, root_digest):
                contracts = build_team(root, load_team(texts[digest]))
                held = _Built(digest, root_digest, contracts)
            built[name] = held
        self._built = built
        return build(head.generation, root, (item.contracts for item in built.values()))


def load_root(text: str) -> Root:
    """Return a root from its accepted JSON."""
    return check(Root, json.loads(text), ROOT_NAME)


def load_team(text: str) -> Team:
    """Return a team from its accepted JSON."""
    return check(Team, json.loads(text), TEAM_PREFIX)
