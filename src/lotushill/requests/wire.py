"""Encoding of the head of a request as HTTP bytes for an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.placement.memory_copies import MemoryCopies
from lotushill.platform import request_head

if TYPE_CHECKING:
    from lotushill.placement.choice import Choice
    from lotushill.scheduling.request import Request


def encode_head(request: Request, choice: Choice, last_event_id: str, now: float) -> bytes:
    """Return the head of one attempt.

    The upstream continues the stream after `last_event_id`, if that is not empty.
    """
    headers = request.headers
    if last_event_id:
        headers = request_head.without_last_event_id(headers)
    own_headers = request_head.attempt_headers(
        choice.upstream.name,
        request.ends - now,
        request.route.urgency,
        request.team,
        last_event_id,
        _memory_copies(request, choice),
    )
    lines = [request.method, b" ", request.target, b" HTTP/1.1\r\n"]
    for name, value in [*headers, *own_headers]:
        lines += (name, b": ", value, b"\r\n")
    lines.append(b"\r\n")
    return b"".join(lines)


def _memory_copies(request: Request, choice: Choice) -> MemoryCopies:
    if choice.moved is not None:
        return MemoryCopies(resume_from=choice.moved.source, run=choice.moved.handle)
    return MemoryCopies(
        fetch_from=choice.fetch.source.address if choice.fetch else "",
        backup_to=choice.backup.address if choice.backup else "",
        resume_from=choice.upstream.address if choice.resumes_from_copy else "",
        run=request.demand.request_id,
    )
