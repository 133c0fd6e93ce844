"""The ASGI application that callers reach."""

from __future__ import annotations

import logging
import secrets
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from lotushill.callers.answer import Answer
from lotushill.callers.call import Call
from lotushill.callers.call import parse_call
from lotushill.callers.claims import Claim
from lotushill.callers.claims import ClaimResult
from lotushill.callers.exceptions import CallError
from lotushill.callers.exceptions import CallFault
from lotushill.callers.outcome import Outcome
from lotushill.callers.outcome import OutcomeKind
from lotushill.callers.runner import Runner
from lotushill.links.asgi import BodyTooLargeError
from lotushill.links.asgi import CallerGoneError
from lotushill.links.asgi import SlowSenderError
from lotushill.links.asgi import read_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.callers.claims import Claims
    from lotushill.callers.journal import Journal
    from lotushill.contracts.book import Book
    from lotushill.dispatch.client import DispatchClient
    from lotushill.links.asgi import Receive
    from lotushill.links.asgi import Scope
    from lotushill.links.asgi import Send
    from lotushill.metrics import Metrics
    from lotushill.upstreams.client import UpstreamClient

log = logging.getLogger("callers")

_MAX_BODY_BYTES = 4 * 1024 * 1024
_BODY_SECONDS = 10.0
_NOT_READY_RETRY = 2.0


@dataclass
class FrontDoorParts:
    """What the front door works with."""

    entry: str
    region: str
    book: Callable[[], Book | None]
    dispatch: DispatchClient
    upstreams: UpstreamClient
    claims: Claims
    journal: Journal
    metrics: Metrics


class FrontDoor:
    """Takes in calls and brings each to its outcome."""

    def __init__(self, parts: FrontDoorParts) -> None:
        self._parts = parts
        self.in_progress = 0
        self.open = True
        """False once the host is stopping: new calls are turned away, running ones finish."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        if scope["type"] != "http":
            return
        self.in_progress += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.in_progress -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        request = secrets.token_hex(12)
        answer = Answer(request, send)
        try:
            call = await self._read(request, scope, receive)
            claim = await self._claim(call)
        except CallerGoneError:
            return
        except CallError as error:
            await self._turn_away(answer, error)
            return
        await self._run(call, claim, answer, receive)

    async def _read(self, request: str, scope: Scope, receive: Receive) -> Call:
        book = self._parts.book()
        if book is None or not self.open:
            raise CallError(CallFault.NOT_READY, "no settings are in force, or the host stops")
        try:
            body = await read_body(receive, _MAX_BODY_BYTES, _BODY_SECONDS)
        except BodyTooLargeError as error:
            detail = f"more than {_MAX_BODY_BYTES} bytes"
            raise CallError(CallFault.BODY_TOO_LARGE, detail) from error
        except SlowSenderError as error:
            raise CallError(CallFault.SLOW_SENDER, f"over {_BODY_SECONDS} s") from error
        method, path, query = str(scope["method"]), str(scope["path"]), scope["query_string"]
        return parse_call(request, method, path, query, list(scope["headers"]), body, book)

    async def _claim(self, call: Call) -> Claim | None:
        """Claim the key of a call that must not run twice; None for all other calls."""
        if call.repeatable or not call.idempotency_key:
            return None
        team = call.contract.team
        claim = await self._parts.claims.claim(team, call.idempotency_key, time.time())
        if claim.result is ClaimResult.TAKEN:
            detail = "this resend was not run; an earlier request with this key may have"
            raise CallError(CallFault.KEY_REUSED, detail)
        if claim.result is ClaimResult.UNCONFIRMED:
            detail = "the key could not be claimed, so the request was not run"
            raise CallError(CallFault.CLAIM_UNCONFIRMED, detail)
        return claim

    async def _run(self, call: Call, claim: Claim | None, answer: Answer, receive: Receive) -> None:
        parts = self._parts
        runner = Runner(
            call,
            answer,
            parts.region,
            parts.entry,
            parts.dispatch,
            parts.upstreams,
            parts.journal,
        )
        outcome: Outcome | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_caller, receive, group.cancel_scope)
            outcome = await self._bring_to_outcome(runner)
            group.cancel_scope.cancel()
        if outcome is None:
            self._note_gone(runner)
            return
        if outcome.kind is OutcomeKind.REFUSED and claim is not None:
            await parts.claims.release(claim)
        if outcome.kind is not OutcomeKind.COMPLETED:
            await answer.give_up(outcome)
        self._note(runner, outcome)

    async def _bring_to_outcome(self, runner: Runner) -> Outcome:
        try:
            return await runner.run()
        except Exception:
            # A fault of ours must not leave a caller without an outcome.
            log.exception("Failed inside. request=%s", runner.call.request)
            return runner.break_off()

    async def _turn_away(self, answer: Answer, error: CallError) -> None:
        retry_after = _NOT_READY_RETRY if error.fault.status == 503 else 0.0
        kind = OutcomeKind.REFUSED
        await answer.give_up(Outcome(kind, error.fault.status, error.fault.code, retry_after))
        log.info(
            "Turned a call away. request=%s code=%s detail=%r",
            answer.request,
            error.fault.code,
            error.detail,
        )
        self._parts.journal.note(
            answer.request, f"turned away code={error.fault.code} detail={error.detail!r}"
        )

    def _note(self, runner: Runner, outcome: Outcome) -> None:
        call, progress = runner.call, runner.progress
        now = time.monotonic()
        first = progress.first_token_at - progress.arrived if progress.first_token_at else 0.0
        text = (
            f"outcome={outcome.kind.value} code={outcome.code} "
            f"attempts={progress.attempt + 1} upstream={progress.upstream or 'none'} "
            f"waited={progress.waited:.3f} first_token={first:.3f} "
            f"whole={now - progress.arrived:.3f} tokens={progress.transcript.tokens}"
        )
        contract = call.contract
        log.info(
            "Ended a request. request=%s team=%s class=%s/%s tier=%s %s",
            call.request,
            contract.team,
            contract.service,
            contract.klass,
            contract.tier,
            text,
        )
        self._parts.journal.note(call.request, "ended " + text)
        self._parts.metrics.note_outcome(call, outcome, progress, now)

    def _note_gone(self, runner: Runner) -> None:
        log.info("Caller has gone. request=%s", runner.call.request)
        self._parts.journal.note(runner.call.request, "ended: the caller has gone")


async def _watch_caller(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel the request when its caller goes away."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
