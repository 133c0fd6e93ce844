"""Requests and engines for tests of the admission queue."""

from __future__ import annotations

from lotushill.placement.fleet import Fleet
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Placed
from lotushill.placement.messages import route_number
from lotushill.placement.need import Need
from lotushill.routing.demand import PromptPart
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from lotushill.routing.upstream import Upstream
from lotushill.waiting.entry import QueueEntry

SLOTS = 4
SERVICE = Service("llm", 100, EngineProfile(SLOTS, 500_000, 6))
UPSTREAMS = [Upstream(f"e{n}", "llm", f"10.0.0.{n}:80", "z", SLOTS, False) for n in range(2)]
LETTER_TOKENS = 9_000
CHAT_TOKENS = 800


def chat(tokens: int = CHAT_TOKENS, team: str = "", caller: int = 0) -> Need:
    """Return the need of a short, urgent request."""
    parts = (PromptPart(7, tokens),)
    return Need("llm", "chat", 0.5, 0.2, 12.0, True, tokens, 50, parts, 0, team, caller=caller)


def triage(tokens: int = CHAT_TOKENS) -> Need:
    """Return the need of a short request of the middle tier."""
    parts = (PromptPart(9, tokens),)
    return Need("llm", "triage", 0.5, 0.2, 12.0, True, tokens, 50, parts, 1)


def letter(tokens: int = LETTER_TOKENS) -> Need:
    """Return the need of a long, less urgent request."""
    parts = (PromptPart(8, tokens),)
    return Need("llm", "letter", 1.5, 0.5, 10.0, True, tokens, 50, parts, 2)


def queue_entry(key: int, need: Need, arrived_at: float = 100.0, gateway: str = "gw") -> QueueEntry:
    """Return a queue entry that arrived at `arrived_at` and has not been renewed."""
    return QueueEntry(key, need, gateway, arrived_at, arrived_at)


def placed(number: int, upstream: str, need: Need, seconds: float = 2.0) -> Placed:
    """Return the load record of a running request."""
    return Placed(
        number, upstream, 0, need.prompt_tokens, need.target_gap, seconds, 0.0,
        began=True, route=route_number(need.route), tier=need.tier, prompt=need.prompt_tokens,
    )  # fmt: skip


def filled_fleet(now: float = 100.0, known: bool = True) -> Fleet:
    """Return the model of two engines whose slots are all taken by urgent requests.

    If `known` is true, the model has seen both kinds of request, and the longer one counts as long.
    """
    fleet = Fleet("z")
    number = 1_000
    if known:
        for kind in (chat(), letter()):
            fleet.start(placed(number, "e0", kind), SERVICE, now - 20.0)
            fleet.end(Ended(number), now - 19.0)
            number += 1
    for upstream in UPSTREAMS:
        for _ in range(SLOTS):
            fleet.start(placed(number, upstream.id, chat()), SERVICE, now)
            number += 1
    return fleet
