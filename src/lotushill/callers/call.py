"""One call as its caller made it, checked against the contracts in force."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from lotushill.callers.exceptions import CallError
from lotushill.callers.exceptions import CallFault
from lotushill.upstreams.prefix_memory import hash_blocks

if TYPE_CHECKING:
    from lotushill.contracts.book import Book
    from lotushill.contracts.policy import Contract

COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
RESUME_FIELD = "resume_text"
_CHARS_PER_TOKEN = 4
_MAX_HEAD_BYTES = 32 * 1024
_MAX_KEY_CHARS = 255
_DROPPED = frozenset(
    (
        b"authorization",
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Headers that concern one hop, or are for this system alone."""
_OWN_PREFIX = b"lotushill-"

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True)
class Call:
    """A call that may be run."""

    request: str
    method: str
    path: str
    """Path and query as they go to the upstream."""
    headers: tuple[tuple[bytes, bytes], ...]
    """Headers that go to the upstream."""
    body: bytes
    content: dict[str, Any] | None
    """The body of a completion call, None for a plain call."""
    contract: Contract
    deadline: float
    """Seconds from arrival to the end of the answer."""
    repeatable: bool
    idempotency_key: str
    stream: bool
    resumable: bool
    """Whether another engine can go on from the text that the caller has been given."""
    prompt_tokens: int
    output_limit: int
    prefix: tuple[int, ...]


def parse_call(
    request: str, method: str, path: str, query: bytes, headers: Headers, body: bytes, book: Book
) -> Call:
    """Return the call; raise CallError for one that is to be turned away."""
    if sum(len(name) + len(value) for name, value in headers) > _MAX_HEAD_BYTES:
        raise CallError(CallFault.HEAD_TOO_LARGE, f"more than {_MAX_HEAD_BYTES} bytes")
    named = {name.lower(): value for name, value in headers}
    team = _team(named, book)
    contract = _contract(named, team, book)
    completion = path in COMPLETION_PATHS
    if completion != (book.pool(contract.pool).kind == "engine"):
        raise CallError(CallFault.UNKNOWN_PATH, f"pool {contract.pool} does not serve {path}")
    content = _content(body, contract, book) if completion else None
    prompt = _prompt(content) if content is not None else ""
    stream = bool(content and content.get("stream"))
    return Call(
        request=request,
        method=method,
        path=path + (f"?{query.decode('latin-1')}" if query else ""),
        headers=_forwarded(headers),
        body=body,
        content=content,
        contract=contract,
        deadline=_deadline(named, contract),
        repeatable=_repeatable(named, contract),
        idempotency_key=_idempotency_key(named),
        stream=stream,
        resumable=stream and book.pool(contract.pool).resume,
        prompt_tokens=max(1, len(prompt) // _CHARS_PER_TOKEN),
        output_limit=_output_limit(content, contract),
        prefix=hash_blocks(prompt),
    )


def _team(named: dict[bytes, bytes], book: Book) -> str:
    scheme, _, key = named.get(b"authorization", b"").decode("latin-1").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise CallError(CallFault.NO_KEY, "a bearer key is needed")
    team = book.authenticate(key.strip())
    if team is None:
        raise CallError(CallFault.UNKNOWN_KEY, "this key names no team")
    return team


def _contract(named: dict[bytes, bytes], team: str, book: Book) -> Contract:
    service = _text(named, b"lotushill-service")
    klass = _text(named, b"lotushill-class")
    contract = book.find(team, service, klass)
    if contract is None:
        detail = f"team {team} has no class {klass!r} of service {service!r}"
        raise CallError(CallFault.UNKNOWN_CLASS, detail)
    return contract


def _content(body: bytes, contract: Contract, book: Book) -> dict[str, Any]:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise CallError(CallFault.MALFORMED, "the body is no JSON") from error
    if not isinstance(content, dict):
        raise CallError(CallFault.MALFORMED, "the body is no JSON object")
    # Ours alone: it tells an engine what the caller has been given of an answer.
    content.pop(RESUME_FIELD, None)
    model = book.pool(contract.pool).model
    if model is not None and content.get("model") != model:
        raise CallError(CallFault.UNKNOWN_MODEL, f"the class is served by model {model}")
    return content


def _prompt(content: dict[str, Any]) -> str:
    if isinstance(content.get("prompt"), str):
        return str(content["prompt"])
    messages = content.get("messages")
    if not isinstance(messages, list) or not messages:
        raise CallError(CallFault.MALFORMED, "a prompt or messages are needed")
    texts: list[str] = []
    for message in messages:
        if not isinstance(message, dict):
            raise CallError(CallFault.MALFORMED, "a message is no JSON object")
        texts.append(f"{message.get('role')}: {message.get('content')}")
    return "\n".join(texts)


def _output_limit(content: dict[str, Any] | None, contract: Contract) -> int:
    asked = content.get("max_tokens") if content else None
    if asked is None:
        return contract.max_output_tokens
    if isinstance(asked, bool) or not isinstance(asked, int) or asked < 1:
        raise CallError(CallFault.MALFORMED, "max_tokens must be a whole number above 0")
    return min(asked, contract.max_output_tokens)


def _deadline(named: dict[bytes, bytes], contract: Contract) -> float:
    asked = _text(named, b"lotushill-deadline")
    if not asked:
        return contract.deadline
    try:
        seconds = float(asked)
    except ValueError as error:
        raise CallError(CallFault.MALFORMED, "lotushill-deadline is no number") from error
    if not math.isfinite(seconds) or seconds <= 0:
        raise CallError(CallFault.MALFORMED, "lotushill-deadline must be above 0")
    return min(seconds, contract.deadline)


def _repeatable(named: dict[bytes, bytes], contract: Contract) -> bool:
    asked = _text(named, b"lotushill-repeatable").lower()
    if asked not in ("", "yes", "no"):
        raise CallError(CallFault.MALFORMED, "lotushill-repeatable must be yes or no")
    return contract.repeatable and asked != "no"


def _idempotency_key(named: dict[bytes, bytes]) -> str:
    key = _text(named, b"idempotency-key")
    if len(key) > _MAX_KEY_CHARS:
        raise CallError(CallFault.MALFORMED, f"idempotency-key is over {_MAX_KEY_CHARS} long")
    return key


def _forwarded(headers: Headers) -> tuple[tuple[bytes, bytes], ...]:
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _DROPPED and not name.lower().startswith(_OWN_PREFIX)
    )


def _text(named: dict[bytes, bytes], name: bytes) -> str:
    return named.get(name, b"").decode("latin-1").strip()
