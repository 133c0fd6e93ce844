"""Parses what the headers of an answer state about its upstream."""

from __future__ import annotations

from lotushill.availability.statement import Statement
from lotushill.availability.statement import parse_cooldown
from lotushill.availability.statement import parse_limit
from lotushill.availability.statement import parse_max_rejections
from lotushill.platform import names

Headers = list[tuple[bytes, bytes]]

_UNAVAILABLE = 503
_MISDIRECTED = 421
_TRUE = b"1"


def read_statement(status: int, headers: Headers) -> Statement:
    """Return what an answer states about its upstream."""

    def values(name: str) -> list[bytes]:
        wanted = name.encode()
        return [value for key, value in headers if key == wanted]

    cooldown = parse_cooldown(values(names.RETRY_AFTER) if status == _UNAVAILABLE else [])
    limit = parse_limit(values(names.SERVER_LIMIT))
    leaving = any(value.strip() == _TRUE for value in values(names.SERVER_LEAVING))
    stated = (cooldown.seconds, leaving, cooldown.unreadable, limit.rate, limit.unreadable)
    not_executed = any(values(names.NOT_EXECUTED)) or status == _MISDIRECTED
    max_rejections = parse_max_rejections(values(names.SERVER_BRITTLE))
    return Statement(not_executed, *stated, max_rejections)
