"""Stand-in of a model engine: a batch, a prefix cache and streams of events."""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from lotushill.placement.prefix_cache_model import PrefixCacheModel
from lotushill.platform import names
from lotushill.platform.request_head import read_demand
from lotushill.standin.batch import Batch
from lotushill.standin.upstream_app import Fault
from lotushill.standin.upstream_app import UpstreamApp

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.links.asgi import Send
    from lotushill.routing.demand import Demand
    from lotushill.standin.settings import StandinSettings

_DEFAULT_OUTPUT_TOKENS = 32
_MAX_QUEUED_BATCHES = 2
"""Maximum number of queued requests, as a multiple of the batch's slots."""
_DEFAULT_PRIORITY = 5


@dataclass
class _Job:
    """A request in the engine, and the counts of output tokens that it has produced."""

    progress: asyncio.Queue[int] = field(default_factory=asyncio.Queue)


def _end_process() -> None:
    """End like a process that crashes: without closing its connections in order."""
    os._exit(1)


class EngineApp(UpstreamApp):
    """Prefills prompts in chunks and produces one token per step for each running request."""

    def __init__(self, settings: StandinSettings, end: Callable[[], None] = _end_process) -> None:
        """Call `end`, which ends the process, on a prompt with one of the deadly parts."""
        super().__init__(settings.name)
        self._end = end
        self._deadly_parts = frozenset(int(part, 16) for part in settings.deadly_parts)
        self._settings = settings
        self._batch = Batch(settings.slots, settings.prefill_per_step)
        self._prefix_cache = PrefixCacheModel()
        self._jobs: dict[str, _Job] = {}
        self.prefilled_tokens = 0
        """Number of prompt tokens that were prefilled, without those found in the prefix cache."""

    async def run_steps(self) -> None:
        """Run steps of the batch until cancelled."""
        while True:
            await asyncio.sleep(self._settings.step)
            for sequence in self._batch.step():
                job = self._jobs.get(sequence.request)
                if job is not None:
                    job.progress.put_nowait(sequence.produced)

    def is_full(self) -> bool:
        """Return whether new requests are rejected."""
        max_jobs = self._settings.slots * (1 + _MAX_QUEUED_BATCHES)
        return super().is_full() or len(self._jobs) >= max_jobs

    def report(self) -> dict[str, object]:
        """Return the engine's load report."""
        running = len(self._batch.running())
        return {
            "queued": len(self._jobs) - running,
            "running": running,
            "kvTotal": self._settings.memory_tokens,
        }

    async def run(self, headers: dict[str, str], body: bytes, send: Send) -> None:
        """Serve one request as a stream of events."""
        demand = read_demand([(name.encode(), headers[name].encode("latin-1")) for name in headers])
        length = demand.output_hint or demand.output_limit or _DEFAULT_OUTPUT_TOKENS
        job = self._jobs[demand.request_id] = _Job()
        self._start(demand, headers, length)
        try:
            await self._stream(demand, job, length, send)
        finally:
            self._batch.remove(demand.request_id)
            del self._jobs[demand.request_id]

    def _start(self, demand: Demand, headers: dict[str, str], length: int) -> None:
        prefill_tokens = max(
            0, demand.prompt_tokens - self._prefix_cache.matched_tokens(demand.parts)
        )
        self._prefix_cache.touch(demand.parts, self._settings.memory_tokens)
        self.prefilled_tokens += prefill_tokens
        priority = int(headers.get(names.PRIORITY, _DEFAULT_PRIORITY))
        produced = min(length, int(demand.last_event_id or 0) * self._settings.tokens_per_event)
        self._batch.add(demand.request_id, priority, prefill_tokens, length, produced)

    async def _stream(self, demand: Demand, job: _Job, length: int, send: Send) -> None:
        status = 500 if self.fault is Fault.ERRORS else 200
        if self.fault is Fault.HANG:
            await asyncio.Event().wait()
        start_headers = [
            *self.answer_headers(demand.request_id),
            (b"content-type", b"text/event-stream"),
        ]
        await send({"type": "http.response.start", "status": status, "headers": start_headers})
        produced = 0
        while produced < length:
            produced = await job.progress.get()
            if any(part.id in self._deadly_parts for part in demand.parts[:-1]):
                self._end()
            if produced % self._settings.tokens_per_event and produced < length:
                continue
            number = -(-produced // self._settings.tokens_per_event)
            data = f"{demand.request_id} {number} {self._settings.version}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if self.fault is Fault.CUT:
                # The HTTP server breaks the answer off, since no last body message follows.
                await send({"type": "http.response.body", "body": event[:5], "more_body": True})
                return
            await send({"type": "http.response.body", "body": event, "more_body": True})
        await send({"type": "http.response.body", "body": b""})
