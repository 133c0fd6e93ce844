"""Parses what the headers of an answer state about its upstream."""

from __future__ import annotations

from lotushill.availability.statement import Statement
from lotushill.availability.statement import parse_cooldown
from lotushill.availability.statement import parse_limit
from lotushill.platform import names

Headers = list[tuple[bytes, bytes]]

_UNAVAILABLE = 503
_MISDIRECTED = 421
_TRUE = b"1"
_NOT_EXECUTED = names.NOT_EXECUTED.encode()
_RETRY_AFTER = names.RETRY_AFTER.encode()
_SERVER_LEAVING = names.SERVER_LEAVING.encode()
_SERVER_LIMIT = names.SERVER_LIMIT.encode()


def read_statement(status: int, headers: Headers) -> Statement:
    """Return what an answer states about its upstream."""
    refused = status == _UNAVAILABLE
    cooldown = parse_cooldown([text for name, text in headers if refused and name == _RETRY_AFTER])
    not_executed = any(name == _NOT_EXECUTED and value for name, value in headers)
    leaving = any(name == _SERVER_LEAVING and value.strip() == _TRUE for name, value in headers)
    limit = parse_limit([value for name, value in headers if name == _SERVER_LIMIT])
    stated = (cooldown.seconds, leaving, cooldown.unreadable, limit.rate, limit.unreadable)
    return Statement(not_executed or status == _MISDIRECTED, *stated)
