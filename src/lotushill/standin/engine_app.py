"""The stand-in of a model engine: completion calls over HTTP, streamed and whole.

Its text is a function of the prompt, so a caller can tell whether an answer is whole and its
own. A prompt that holds `length=N` gets N tokens. It keeps a record of all it ran.
"""

from __future__ import annotations

import contextlib
import json
import logging
import re
import time
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import anyio
import xxhash

from lotushill.links.asgi import read_body
from lotushill.links.asgi import send_json
from lotushill.links.http_server import CUT
from lotushill.standin.batch import Batch

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectSendStream

    from lotushill.links.asgi import Receive
    from lotushill.links.asgi import Scope
    from lotushill.links.asgi import Send

log = logging.getLogger("standin")

_MAX_BODY = 8_000_000
_BODY_SECONDS = 10.0
_LENGTH = re.compile(r"length=(\d+)")
_USUAL_LENGTH = 32
_CHARS_PER_TOKEN = 4
_OK = 200
_REFUSED = 503


@dataclass(frozen=True)
class EngineOptions:
    """How the engine behaves."""

    name: str
    slots: int = 16
    step: float = 0.01
    """Seconds a step."""
    prefill_per_step: float = 2048.0


@dataclass
class RunRecord:
    """One request that the engine ran."""

    request: str
    attempt: str
    priority: int
    at: float
    """Seconds since the epoch at which it began."""
    tokens: int = 0
    ended: str = "running"


@dataclass
class _Faults:
    slow: float = 1.0
    cut: bool = False
    """Cut off every stream after its next token."""
    short: bool = False
    """End every stream early, as if it were whole, but without its closing event."""
    refuse: bool = False
    leaving: bool = False


@dataclass
class _Job:
    record: RunRecord
    sink: MemoryObjectSendStream[int]
    prompt: str
    tokens: list[int] = field(default_factory=list)


def answer_tokens(prompt: str, length: int) -> list[str]:
    """Return the tokens that a stand-in engine answers a prompt with."""
    seed = xxhash.xxh32_hexdigest(prompt)
    return [f"{seed}-{index} " for index in range(length)]


def answer_length(prompt: str, limit: int) -> int:
    """Return how many tokens the answer to a prompt has."""
    found = _LENGTH.search(prompt)
    return max(1, min(limit, int(found[1]) if found else _USUAL_LENGTH))


class EngineApp:
    """ASGI application over one batch."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.batch = Batch(options.slots, options.prefill_per_step)
        self.records: list[RunRecord] = []
        self.faults = _Faults()
        self._jobs: dict[str, _Job] = {}
        self._serial = 0

    async def run(self) -> None:
        """Step the batch for ever."""
        while True:
            await anyio.sleep(self.options.step * self.faults.slow)
            for sequence in self.batch.step():
                job = self._jobs.get(sequence.request)
                if job is not None:
                    job.record.tokens += 1
                    with contextlib.suppress(anyio.BrokenResourceError):
                        job.sink.send_nowait(sequence.produced - 1)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        path = str(scope["path"])
        body = await read_body(receive, _MAX_BODY, _BODY_SECONDS)
        if path.startswith("/v1/"):
            await self._complete(scope, body, receive, send)
        elif path == "/health":
            state = "leaving" if self.faults.leaving else "serving"
            await send_json(send, _OK, {"state": state, "running": len(self._jobs)})
        elif path == "/records":
            await send_json(send, _OK, [asdict(record) for record in self.records])
        elif path == "/faults":
            self.faults = _Faults(**json.loads(body))
            await send_json(send, _OK, {})
        else:
            await send_json(send, 404, {})

    async def _complete(self, scope: Scope, body: bytes, receive: Receive, send: Send) -> None:
        if self.faults.refuse:
            await send_json(send, _REFUSED, {"error": "busy"}, [(b"lotushill-not-run", b"1")])
            return
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        request = json.loads(body)
        prompt = prompt_text(request)
        length = answer_length(prompt, int(request.get("max_tokens") or 1_000_000))
        done = len(str(request.get("resume_text", "")).split())
        self._serial += 1
        key = f"{headers.get('lotushill-request', 'direct')}/{self._serial}"
        priority = int(headers.get("lotushill-priority", "0"))
        attempt = headers.get("lotushill-attempt", "0")
        name = headers.get("lotushill-request", "direct")
        record = RunRecord(name, attempt, priority, time.time())
        self.records.append(record)
        log.info("ran %s", json.dumps(asdict(record)))
        sink, source = anyio.create_memory_object_stream[int](1_000_000)
        self._jobs[key] = _Job(record, sink, prompt)
        self.batch.add(key, priority, len(prompt) / _CHARS_PER_TOKEN, length, done)
        chat = str(scope["path"]).endswith("chat/completions")
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(_cancel_when_gone, receive, group.cancel_scope)
                tokens = answer_tokens(prompt, length)
                with source:
                    if request.get("stream"):
                        await self._stream(source, tokens, done, chat, send)
                    else:
                        await self._whole(source, tokens, done, chat, send)
                    record.ended = "completed"
                    if self.faults.cut:
                        record.ended = "cut"
                        scope[CUT]()
                group.cancel_scope.cancel()
        finally:
            if record.ended == "running":
                record.ended = "cancelled"
            self.batch.remove(key)
            del self._jobs[key]

    async def _stream(
        self, source: Any, tokens: list[str], done: int, chat: bool, send: Send
    ) -> None:
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": _OK, "headers": headers})
        for _ in range(done, len(tokens)):
            index = await source.receive()
            event = _event(tokens[index], chat)
            await send({"type": "http.response.body", "body": event, "more_body": True})
            if self.faults.cut:
                return
            if self.faults.short:
                await send({"type": "http.response.body", "body": b""})
                return
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})

    async def _whole(
        self, source: Any, tokens: list[str], done: int, chat: bool, send: Send
    ) -> None:
        for _ in range(done, len(tokens)):
            await source.receive()
            if self.faults.cut:
                return
        text = "".join(tokens[done:])
        choice = {"message": {"role": "assistant", "content": text}} if chat else {"text": text}
        usage = {"completion_tokens": len(tokens) - done}
        await send_json(send, _OK, {"choices": [choice | {"index": 0}], "usage": usage})


def prompt_text(request: Any) -> str:
    """Return the whole prompt of a completion or chat call as one text."""
    if "prompt" in request:
        return str(request["prompt"])
    return "\n".join(str(message.get("content", "")) for message in request.get("messages", []))


def _event(token: str, chat: bool) -> bytes:
    choice = {"delta": {"content": token}} if chat else {"text": token}
    return b"data: " + json.dumps({"choices": [choice | {"index": 0}]}).encode() + b"\n\n"


async def _cancel_when_gone(receive: Receive, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
