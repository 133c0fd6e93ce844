"""The life of one request: ask, run, and again where that is allowed, to exactly one outcome."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import anyio

from lotushill.callers.call import RESUME_FIELD
from lotushill.callers.outcome import Outcome
from lotushill.callers.outcome import OutcomeKind
from lotushill.dispatch.dispatcher import cell_name
from lotushill.dispatch.messages import Ask
from lotushill.dispatch.messages import End
from lotushill.dispatch.messages import EndKind
from lotushill.dispatch.messages import Grant
from lotushill.dispatch.messages import Refusal
from lotushill.dispatch.messages import RefusalReason
from lotushill.upstreams.client import UpstreamRequest
from lotushill.upstreams.exceptions import BrokenError
from lotushill.upstreams.exceptions import NotSentError
from lotushill.upstreams.exceptions import RejectedError
from lotushill.upstreams.transcript import Transcript

if TYPE_CHECKING:
    from lotushill.callers.answer import Answer
    from lotushill.callers.call import Call
    from lotushill.callers.journal import Journal
    from lotushill.dispatch.client import DispatchClient
    from lotushill.upstreams.client import UpstreamAnswer
    from lotushill.upstreams.client import UpstreamClient

MAX_ATTEMPTS = 4
_SILENCE_SECONDS = 30.0
"""An upstream that sends nothing for so long is taken for broken."""
_MAX_WHOLE_BYTES = 16 * 1024 * 1024
_MAX_LINGER_SECONDS = 5.0
_STATUS = {
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.SHED: 503,
    RefusalReason.TARGET: 503,
    RefusalReason.DEADLINE: 504,
    RefusalReason.NO_UPSTREAM: 503,
    RefusalReason.RETRY_BUDGET: 503,
}
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
_SERVER_ERROR = 500


@dataclass
class Timing:
    """When tokens came, in seconds of the monotonic clock; 0 for not yet."""

    granted: float = 0.0
    first: float = 0.0
    last: float = 0.0

    def note(self, now: float) -> None:
        """Note that bytes of the answer came."""
        if not self.first:
            self.first = now
        self.last = now


@dataclass
class Progress:
    """What has happened to a request over all its attempts."""

    arrived: float
    attempt: int = 0
    excluded: tuple[str, ...] = ()
    sent: bool = False
    """Whether any attempt may have run."""
    answered: bool = False
    """Whether any attempt gave part of an answer."""
    first_token_at: float = 0.0
    waited: float = 0.0
    wasted_tokens: int = 0
    upstream: str = ""
    transcript: Transcript = field(default_factory=Transcript)

    @property
    def good_tokens(self) -> int:
        """Return the output tokens of a whole answer."""
        return self.transcript.tokens - self.wasted_tokens


class Runner:
    """Runs one call."""

    def __init__(
        self,
        call: Call,
        answer: Answer,
        region: str,
        entry: str,
        dispatch: DispatchClient,
        upstreams: UpstreamClient,
        journal: Journal,
    ) -> None:
        self.call = call
        self.progress = Progress(time.monotonic())
        self._answer = answer
        self._entry = entry
        self._cell = cell_name(call.contract.pool, region)
        self._dispatch = dispatch
        self._upstreams = upstreams
        self._journal = journal

    async def run(self) -> Outcome:
        """Return the outcome; the caller has been told of it only if it is `completed`."""
        with anyio.move_on_after(self.call.deadline):
            while True:
                ask = self._ask()
                decision = await self._dispatch.ask(ask)
                if isinstance(decision, Refusal):
                    return self._refused(decision)
                kind = await self._attempt(ask, decision)
                if kind is EndKind.COMPLETED:
                    return Outcome(OutcomeKind.COMPLETED, 200, "completed")
                outcome = self._after(kind, decision.upstream)
                if outcome is not None:
                    return outcome
        return self._not_whole("deadline", _GATEWAY_TIMEOUT)

    def break_off(self) -> Outcome:
        """Return the outcome of a request that failed for a fault inside the system."""
        return self._not_whole("internal", _SERVER_ERROR)

    # Asking

    def _ask(self) -> Ask:
        call, contract, progress = self.call, self.call.contract, self.progress
        spent = time.monotonic() - progress.arrived
        return Ask(
            request=call.request,
            attempt=progress.attempt,
            entry=self._entry,
            cell=self._cell,
            team=contract.team,
            service=contract.service,
            klass=contract.klass,
            tier=contract.tier_rank,
            team_weight=contract.team_weight,
            class_weight=contract.class_weight,
            prompt_tokens=call.prompt_tokens,
            output_limit=call.output_limit,
            resumed_tokens=progress.transcript.tokens,
            time_left=max(0.0, call.deadline - spent),
            target=contract.first_token or 0.0,
            refuse_early=contract.refuse_early,
            resumable=call.repeatable and call.resumable,
            rate=contract.rate or 0.0,
            concurrency=contract.concurrency or 0,
            tokens=contract.tokens or 0.0,
            queued=contract.queued,
            prefix=call.prefix,
            excluded=progress.excluded,
        )

    # Running

    async def _attempt(self, ask: Ask, grant: Grant) -> EndKind:
        """Run one granted attempt and report its end, whatever happens."""
        progress = self.progress
        progress.waited += grant.waited
        progress.upstream = grant.upstream
        self._journal.note(
            self.call.request,
            f"granted attempt={grant.attempt} upstream={grant.upstream} "
            f"waited={grant.waited:.3f} {grant.why}",
        )
        before = progress.transcript.tokens
        timing = Timing(granted=time.monotonic())
        kind = EndKind.CANCELLED
        scope = anyio.CancelScope()
        self._dispatch.hold(ask, grant, scope.cancel)
        try:
            with scope:
                kind = await self._relay(grant, timing)
            if scope.cancelled_caught:
                kind = EndKind.PREEMPTED
        finally:
            tokens = progress.transcript.tokens - before
            self._dispatch.end(_end(ask, grant, kind, tokens, timing))
        return kind

    async def _relay(self, grant: Grant, timing: Timing) -> EndKind:
        progress = self.progress
        try:
            request = self._request(grant)
            # Until the client says otherwise, it has to be taken that bytes went out.
            progress.sent, before = True, progress.sent
            async with self._upstreams.send(request) as answer:
                if self.call.stream and answer.status < 400:
                    await self._relay_stream(answer, timing)
                else:
                    await self._relay_whole(answer, timing)
        except NotSentError as error:
            progress.sent = before
            self._note_failure(grant, error)
            return EndKind.NOT_SENT
        except RejectedError as error:
            progress.sent = before
            self._note_failure(grant, error)
            return EndKind.REJECTED
        except BrokenError as error:
            progress.answered = progress.answered or error.answered
            self._note_failure(grant, error)
            return EndKind.BROKEN
        return EndKind.COMPLETED

    async def _relay_stream(self, answer: UpstreamAnswer, timing: Timing) -> None:
        transcript = self.progress.transcript
        if not self._answer.started:
            await self._answer.start_stream(answer.status, answer.headers)
        async for chunk in answer.chunks():
            events = transcript.feed(chunk)
            if not events:
                continue
            self._note_tokens(timing)
            await self._answer.add(events)
            transcript.commit(events)
        if not transcript.done:
            raise BrokenError("the stream ended without its closing event", True)
        await self._answer.finish_stream()

    async def _relay_whole(self, answer: UpstreamAnswer, timing: Timing) -> None:
        body = bytearray()
        async for chunk in answer.chunks():
            body += chunk
            if len(body) > _MAX_WHOLE_BYTES:
                raise BrokenError("the answer is too large", True)
        self._note_tokens(timing)
        if answer.status >= _SERVER_ERROR and self.call.content is not None:
            raise BrokenError(f"status {answer.status}", True)
        self.progress.transcript.tokens = _usage(bytes(body), self.call)
        await self._answer.send_whole(answer.status, answer.headers, bytes(body))

    def _note_tokens(self, timing: Timing) -> None:
        now = time.monotonic()
        timing.note(now)
        if not self.progress.first_token_at:
            self.progress.first_token_at = now

    def _request(self, grant: Grant) -> UpstreamRequest:
        call = self.call
        own = (
            (b"lotushill-request", call.request.encode()),
            (b"lotushill-attempt", str(grant.attempt).encode()),
            (b"lotushill-priority", str(grant.tier).encode()),
        )
        left = call.deadline - (time.monotonic() - self.progress.arrived)
        silence = max(0.05, min(_SILENCE_SECONDS, left + _MAX_LINGER_SECONDS))
        body = self._body()
        return UpstreamRequest(
            grant.address, call.method, call.path, call.headers + own, body, silence
        )

    def _body(self) -> bytes:
        call = self.call
        if call.content is None:
            return call.body
        content = call.content | {"max_tokens": call.output_limit}
        if self.progress.transcript.tokens:
            content[RESUME_FIELD] = self.progress.transcript.text()
        return json.dumps(content).encode()

    def _note_failure(self, grant: Grant, error: Exception) -> None:
        self._journal.note(
            self.call.request,
            f"failed attempt={grant.attempt} upstream={grant.upstream} error={error!r}",
        )

    # Deciding what follows

    def _after(self, kind: EndKind, upstream: str) -> Outcome | None:
        """Return the outcome after an attempt that was not whole, or None to try again."""
        progress = self.progress
        if kind is EndKind.BROKEN and not self._may_repeat():
            return self._not_whole("upstream-broken", _BAD_GATEWAY)
        if kind is EndKind.PREEMPTED:
            progress.sent = True
        else:
            progress.excluded = (*progress.excluded, upstream)
        progress.attempt += 1
        progress.transcript.restart()
        if progress.attempt >= MAX_ATTEMPTS and kind is not EndKind.PREEMPTED:
            return self._not_whole("upstreams-failing", _BAD_GATEWAY)
        return None

    def _may_repeat(self) -> bool:
        return self.call.repeatable and (not self._answer.started or self.call.resumable)

    def _refused(self, refusal: Refusal) -> Outcome:
        status = _STATUS[refusal.reason]
        if self.progress.sent:
            return self._not_whole(refusal.reason.value, status, refusal.retry_after)
        kind = OutcomeKind.REFUSED
        return Outcome(kind, status, refusal.reason.value, refusal.retry_after)

    def _not_whole(self, code: str, status: int, retry_after: float = 1.0) -> Outcome:
        """Return the outcome of a request that will not be whole, by what may have run."""
        progress = self.progress
        progress.wasted_tokens = progress.transcript.tokens
        if progress.answered or self._answer.started:
            kind = OutcomeKind.FAILED
        elif progress.sent:
            kind = OutcomeKind.UNKNOWN
        else:
            kind = OutcomeKind.REFUSED
        return Outcome(kind, status, code, retry_after)


def _end(ask: Ask, grant: Grant, kind: EndKind, tokens: int, timing: Timing) -> End:
    first = timing.first - timing.granted if timing.first else 0.0
    gap = (timing.last - timing.first) / (tokens - 1) if tokens > 1 else 0.0
    return End(
        request=ask.request,
        attempt=ask.attempt,
        cell=ask.cell,
        upstream=grant.upstream,
        kind=kind,
        output_tokens=max(0, tokens),
        first_token=first,
        between_tokens=gap,
    )


def _usage(body: bytes, call: Call) -> int:
    """Return the output tokens that an engine says a whole answer has, 0 if it does not."""
    if call.content is None:
        return 0
    try:
        return int(json.loads(body)["usage"]["completion_tokens"])
    except (ValueError, KeyError, TypeError):
        return 0
