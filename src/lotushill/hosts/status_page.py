"""What an entry host tells of itself on its status address."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

from lotushill.links.asgi import send_json

if TYPE_CHECKING:
    from lotushill.dispatch.cell import Cell
    from lotushill.dispatch.upstream_state import UpstreamState
    from lotushill.hosts.entry_host import EntryHost
    from lotushill.links.asgi import Receive
    from lotushill.links.asgi import Scope
    from lotushill.links.asgi import Send
    from lotushill.links.messages import MemberState

_OK = 200
_NOT_FOUND = 404
_NOT_READY = 503
_EXPLAIN = "/explain/"


class StatusPage:
    """ASGI application: liveness, readiness, status, and what happened to a request."""

    def __init__(self, host: EntryHost) -> None:
        self._host = host

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        path = str(scope["path"])
        if path == "/livez":
            await send_json(send, _OK, {"live": True})
        elif path == "/readyz":
            ready = self._host.ready()
            await send_json(send, _OK if ready else _NOT_READY, {"ready": ready})
        elif path == "/status":
            await send_json(send, _OK, self._status())
        elif path.startswith(_EXPLAIN):
            events = self._host.journal.find(path.removeprefix(_EXPLAIN))
            await send_json(send, _OK if events else _NOT_FOUND, [asdict(item) for item in events])
        else:
            await send_json(send, _NOT_FOUND, {})

    def _status(self) -> dict[str, object]:
        host = self._host
        return {
            "name": host.settings.name,
            "generation": host.follower.generation,
            "installed_at": host.follower.installed_at,
            "in_progress": host.front_door.in_progress,
            "platform_calls": host.platform.calls,
            "members": {item.name: _member(item) for item in host.membership.all()},
            "cells": {cell.name: _cell(cell) for cell in host.dispatcher.cells.values()},
            "dropped": {
                "forged": host.heartbeat.forged,
                "malformed": host.heartbeat.malformed,
                "replayed": host.membership.dropped,
                "connections": host.links.dropped,
            },
            "heartbeats": {
                "packets": host.heartbeat.packets_sent,
                "bytes": host.heartbeat.bytes_sent,
            },
        }


def _member(member: MemberState) -> dict[str, object]:
    return {
        "hall": member.hall,
        "phase": member.phase.value,
        "generation": member.generation,
    }


def _cell(cell: Cell) -> dict[str, object]:
    return {
        "waiting": len(cell.waiting),
        "running": len(cell.running),
        "upstreams": {item.name: _upstream(item) for item in cell.upstreams.values()},
    }


def _upstream(upstream: UpstreamState) -> dict[str, object]:
    return {
        "hall": upstream.hall,
        "cap": upstream.cap.slots,
        "running": len(upstream.running),
        "phase": upstream.health.phase.value,
        "leaving": upstream.leaving,
        "reachable": upstream.reachable,
    }
