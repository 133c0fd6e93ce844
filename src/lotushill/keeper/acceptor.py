"""Brings desired settings into force: judge, write immutable objects, move the head."""

from __future__ import annotations

import json
import logging
import secrets
import time
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.contracts.generation import DESIRED_PREFIX
from lotushill.contracts.generation import HEAD_KEY
from lotushill.contracts.generation import OBJECT_PREFIX
from lotushill.contracts.generation import ROOT_NAME
from lotushill.contracts.generation import Head
from lotushill.contracts.generation import digest_text
from lotushill.contracts.generation import parse_head
from lotushill.keeper.judgement import Desired
from lotushill.keeper.judgement import Judge
from lotushill.keeper.judgement import Verdict
from lotushill.objectapi.exceptions import UnavailableError
from lotushill.objectapi.exceptions import UnknownEffectError
from lotushill.objectapi.objects import ABSENT
from lotushill.objectapi.objects import StoredObject

if TYPE_CHECKING:
    from lotushill.contracts.exceptions import Fault
    from lotushill.keeper.lease import Lease
    from lotushill.objectapi.objects import ObjectApi

log = logging.getLogger("keeper")

STATUS_KEY = "status/accept"


@dataclass(frozen=True)
class ObjectStatus:
    """What became of one desired object."""

    version: int
    generation: int
    """Generation in which the object, at this version, was accepted or turned down."""
    faults: tuple[Fault, ...]


class Acceptor:
    """Accepts settings while its lease holds."""

    def __init__(self, objects: ObjectApi, lease: Lease) -> None:
        self._objects = objects
        self._lease = lease
        self._judge = Judge()
        self._desired: dict[str, Desired] = {}
        self._seen = ABSENT
        self._status: dict[str, ObjectStatus] = {}
        self._texts: dict[str, str] = {}
        """Accepted texts by digest."""

    async def start(self) -> None:
        """Read everything that is desired; raises UnavailableError."""
        self._desired.clear()
        self._seen = ABSENT
        for stored in await self._objects.list(DESIRED_PREFIX):
            self._note(stored)

    async def follow(self, patience: float) -> bool:
        """Wait for edits; return whether any came."""
        changes = await self._objects.watch(DESIRED_PREFIX, self._seen, patience)
        for change in changes:
            self._note(change)
        return bool(changes)

    async def accept(self) -> int:
        """Bring what is desired into force; return the generation in force.

        Raises UnavailableError, UnknownEffectError or ConflictError; then nothing of this
        round is in force unless the head says so, and the round can simply be done again.
        """
        stored = await self._objects.get(HEAD_KEY)
        head = parse_head(stored.value) if stored else None
        held = await self._held_texts(head)
        verdict = self._judge.judge(self._desired, held)
        generation = head.generation if head else 0
        if ROOT_NAME in verdict.accepted and verdict.accepted != held:
            generation = await self._publish(stored, generation + 1, verdict)
        await self._report(verdict, generation)
        return generation

    async def _held_texts(self, head: Head | None) -> dict[str, str]:
        held: dict[str, str] = {}
        for name, digest in (head.objects if head else {}).items():
            if digest not in self._texts:
                stored = await self._objects.get(OBJECT_PREFIX + digest)
                if stored is None:
                    raise UnavailableError(f"accepted object {digest} is not there")
                self._texts[digest] = stored.value
            held[name] = self._texts[digest]
        return held

    async def _publish(self, stored: StoredObject | None, generation: int, verdict: Verdict) -> int:
        digests = {name: digest_text(text) for name, text in verdict.accepted.items()}
        for name, digest in digests.items():
            if digest not in self._texts:
                await self._write_object(digest, verdict.accepted[name])
        if not self._lease.held():
            raise UnavailableError("the lease is no longer held")
        head = Head(
            generation=generation,
            nonce=secrets.token_hex(8),
            holder=self._lease.holder,
            token=self._lease.token,
            objects=digests,
        )
        await self._move_head(head, stored.version if stored else ABSENT)
        self._texts = {digest: verdict.accepted[name] for name, digest in digests.items()}
        log.info("Accepted a generation. generation=%d objects=%d", generation, len(digests))
        return generation

    async def _write_object(self, digest: str, text: str) -> None:
        """Write a text, or write it again: its new version tells a sweeper to leave it."""
        key = OBJECT_PREFIX + digest
        found = await self._objects.get(key)
        await self._objects.put(key, text, found.version if found else ABSENT)

    async def _move_head(self, head: Head, expected: int) -> None:
        try:
            await self._objects.put(HEAD_KEY, head.model_dump_json(), expected)
        except UnknownEffectError:
            found = await self._objects.get(HEAD_KEY)
            if found is None or parse_head(found.value).nonce != head.nonce:
                raise

    async def _report(self, verdict: Verdict, generation: int) -> None:
        fresh = {
            name: self._judged(name, item.version, verdict, generation)
            for name, item in self._desired.items()
        }
        for name, status in fresh.items():
            if status.faults and self._status.get(name) != status:
                log.info("Turned an object down. name=%s fault=%s", name, status.faults[0])
        if fresh == self._status:
            return
        found = await self._objects.get(STATUS_KEY)
        plain = {
            "generation": generation,
            "at": time.time(),
            "objects": {name: asdict(status) for name, status in fresh.items()},
        }
        expected = found.version if found else ABSENT
        await self._objects.put(STATUS_KEY, json.dumps(plain), expected)
        self._status = fresh

    def _judged(self, name: str, version: int, verdict: Verdict, generation: int) -> ObjectStatus:
        faults = verdict.rejected.get(name, ())
        former = self._status.get(name)
        if former is not None and (former.version, former.faults) == (version, faults):
            return former
        return ObjectStatus(version, generation, faults)

    def _note(self, stored: StoredObject) -> None:
        self._seen = max(self._seen, stored.version)
        name = stored.key.removeprefix(DESIRED_PREFIX)
        if stored.deleted:
            self._desired.pop(name, None)
        else:
            self._desired[name] = Desired(name, stored.version, stored.value)
