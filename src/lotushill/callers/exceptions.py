"""What is wrong with a call, found before anything was sent anywhere."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class CallFault(Enum):
    """Kinds of calls that are turned away, each with its HTTP status."""

    MALFORMED = ("malformed", 400)
    NO_KEY = ("no-key", 401)
    UNKNOWN_KEY = ("unknown-key", 401)
    UNKNOWN_CLASS = ("unknown-class", 403)
    UNKNOWN_MODEL = ("unknown-model", 404)
    UNKNOWN_PATH = ("unknown-path", 404)
    SLOW_SENDER = ("slow-sender", 408)
    KEY_REUSED = ("idempotency-key-reused", 409)
    BODY_TOO_LARGE = ("body-too-large", 413)
    HEAD_TOO_LARGE = ("head-too-large", 431)
    NOT_READY = ("not-ready", 503)
    CLAIM_UNCONFIRMED = ("claim-unconfirmed", 503)

    def __init__(self, code: str, status: int) -> None:
        self.code = code
        self.status = status


@dataclass
class CallError(Exception):
    """A call that is turned away."""

    fault: CallFault
    detail: str
