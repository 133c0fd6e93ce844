"""Parses the platform's request headers and builds the headers sent to an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.hop_headers import hop_by_hop_headers
from lotushill.placement.memory_copies import NO_COPIES
from lotushill.placement.memory_copies import MemoryCopies
from lotushill.platform import names
from lotushill.routing.demand import MAX_PARTS
from lotushill.routing.demand import MAX_TOKENS
from lotushill.routing.demand import Demand
from lotushill.routing.demand import PromptPart

if TYPE_CHECKING:
    from lotushill.routing.urgency import Urgency

_MS = 1000.0
_KEY_SCHEME = "bearer"
_LOWEST_ENGINE_PRIORITY = 9
"""Lowest of the ten priorities that engines distinguish, 0 being the highest."""
Headers = list[tuple[bytes, bytes]]

_GATEWAY_HEADERS = frozenset(
    name.encode()
    for name in (
        names.AUTHORIZATION,
        names.DEADLINE_MS,
        names.TENANT,
        names.TARGET_INSTANCE,
        names.PRIORITY,
        names.HOLD,
        names.PIN_MS,
        names.EXPECT_VERSION,
        names.KV_BACKUP,
        names.KV_FETCH,
        names.KV_FROM,
    )
)
"""Headers that only the gateway may set; those of a client are removed."""


def read_demand(headers: Headers) -> Demand:
    """Parse what a request demands; a malformed header counts as absent."""
    by_name = {name.decode("latin-1"): value.decode("latin-1") for name, value in headers}
    usage = by_name.get(names.TOKEN_USAGE, "").split(",")
    return Demand(
        request_id=by_name.get(names.REQUEST_ID, ""),
        host=by_name.get("host", "").partition(":")[0],
        api_key=_api_key(by_name.get(names.AUTHORIZATION, "")),
        time_left=_seconds(by_name.get(names.DEADLINE_MS, "")),
        prompt_tokens=_token_count(usage[0]),
        output_limit=_token_count(usage[1]) if len(usage) > 1 else 0,
        output_hint=_token_count(by_name.get(names.LENGTH_HINT, "")),
        parts=_parts(by_name.get(names.PROMPT_PARTS, "")),
        last_event_id=by_name.get(names.LAST_EVENT_ID, ""),
        resumed_request_id=by_name.get(names.RESUMES, ""),
        model=by_name.get(names.MODEL, ""),
    )


def forwarded_headers(headers: Headers, body: bytes | None) -> Headers:
    """Return the client's headers that are forwarded, with the length of the body."""
    by_name = dict(headers)
    dropped = _GATEWAY_HEADERS | hop_by_hop_headers(by_name.get(b"connection", b""))
    kept = [(name, value) for name, value in headers if name not in dropped]
    if body is not None:
        kept.append((b"content-length", str(len(body)).encode()))
    return kept


def attempt_headers(
    instance: str,
    seconds_left: float,
    urgency: Urgency,
    team: str,
    last_event_id: str,
    copies: MemoryCopies = NO_COPIES,
) -> Headers:
    """Return the headers that the gateway sets on one attempt."""
    milliseconds_left = max(1, int(seconds_left * _MS))
    added = [
        (names.TARGET_INSTANCE.encode(), instance.encode()),
        (names.DEADLINE_MS.encode(), str(milliseconds_left).encode()),
        (names.PRIORITY.encode(), str(engine_priority(urgency)).encode()),
    ]
    if team:
        added.append((names.TENANT.encode(), team.encode("latin-1")))
    if copies.fetch_from:
        added.append((names.KV_FETCH.encode(), copies.fetch_from.encode()))
    if copies.backup_to:
        added.append((names.KV_BACKUP.encode(), copies.backup_to.encode()))
    if copies.memory_label:
        added.append((names.KV_FROM.encode(), copies.memory_label.encode("latin-1")))
    if last_event_id:
        added.append((names.LAST_EVENT_ID.encode(), last_event_id.encode("latin-1")))
    return added


def engine_priority(urgency: Urgency) -> int:
    """Return the priority that engines are told: that of the tier, without the rank of the team.

    A full engine interrupts streams of lower priority; teams are ordered while requests wait.
    """
    return min(_LOWEST_ENGINE_PRIORITY, max(0, urgency.tier))


def without_last_event_id(headers: Headers) -> Headers:
    """Return headers without Last-Event-ID, the position where a stream resumes."""
    return [item for item in headers if item[0] != names.LAST_EVENT_ID.encode()]


def answer_request_id(headers: Headers) -> str:
    """Return the id of the request to which an answer belongs."""
    wanted = names.REQUEST_ID.encode()
    return next((value.decode("latin-1") for key, value in headers if key == wanted), "")


def retry_after_header(seconds: float) -> tuple[bytes, bytes]:
    """Return the Retry-After header, the seconds after which a client may retry."""
    return names.RETRY_AFTER.encode(), f"{seconds:.2f}".encode()


def local_answer_headers(request_id: str) -> Headers:
    """Return the headers of an answer that the gateway itself generates."""
    return [(names.REQUEST_ID.encode(), request_id.encode("latin-1"))] if request_id else []


def _api_key(value: str) -> str:
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == _KEY_SCHEME else ""


def _seconds(value: str) -> float | None:
    try:
        seconds = float(value) / _MS
    except ValueError:
        return None
    return max(0.0, seconds) if abs(seconds) < float("inf") else None


def _token_count(value: str) -> int:
    try:
        return min(MAX_TOKENS, max(0, int(float(value))))
    except (ValueError, OverflowError):
        return 0


def _parts(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.split(",", MAX_PARTS)[:MAX_PARTS]:
        name, _, tokens = item.strip().partition(":")
        if not name:
            continue
        try:
            parts.append(PromptPart(int(name, 16) & (2**64 - 1), min(MAX_TOKENS, int(tokens))))
        except ValueError:
            return ()
    return tuple(parts) if all(part.tokens >= 0 for part in parts) else ()
