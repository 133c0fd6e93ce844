"""One attempt: sends a request to one upstream and relays the answer to the client."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import TypeVar

from lotushill.moves.stalls import max_threshold
from lotushill.platform.upstream_answer import read_statement
from lotushill.requests.answer_state import CutBy
from lotushill.requests.attempt_end import AttemptEnd
from lotushill.requests.attempt_end import EndKind
from lotushill.requests.attempt_end import ReplacedError
from lotushill.requests.attempt_pauses import AttemptPauses
from lotushill.requests.exceptions import LostConnectionError
from lotushill.requests.exceptions import NotSentError
from lotushill.requests.exceptions import OversizedAnswerError
from lotushill.requests.exceptions import PartitionedError
from lotushill.requests.exceptions import SilentUpstreamError
from lotushill.requests.exceptions import TruncatedStreamError
from lotushill.requests.exceptions import UpstreamError
from lotushill.requests.handover import Phase
from lotushill.requests.movable_run import MovableRun
from lotushill.requests.upstream_connection import MAX_ANSWER_BYTES
from lotushill.requests.wire import encode_head
from lotushill.routing.route import RouteKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from lotushill.placement.choice import Choice
    from lotushill.requests.attempt_end import Replacements
    from lotushill.requests.attempt_end import Successor
    from lotushill.requests.attempt_reporter import AttemptReporter
    from lotushill.requests.client_answer import ClientAnswer
    from lotushill.requests.event_stream import EventSplitter
    from lotushill.requests.gateway_components import GatewayComponents
    from lotushill.requests.stream_version import StreamVersion
    from lotushill.requests.upstream_connection import AnswerHead
    from lotushill.requests.upstream_connection import UpstreamConnection
    from lotushill.requests.upstream_gate import Permit
    from lotushill.scheduling.request import Request

T = TypeVar("T")

_SUCCESS = range(200, 300)
_MIN_HEAD_TIMEOUT_SECONDS = 0.8
"""Minimum wait for the head of an answer before the upstream counts as silent."""
_SOURCE_ASKED_AFTER_FRACTION = 0.5
"""Fraction of the time for which a client waits for an event, after which the source of a moved run
is asked whether it still holds the memory, as its target has not answered."""
_HEAD_TIMEOUT_FACTOR = 4.0
"""Multiple of the predicted time to the first event after which the upstream counts as silent."""


class Attempt:
    """Sends one request to one upstream; ends with an `EndKind`, and closes if cancelled."""

    def __init__(
        self,
        components: GatewayComponents,
        request: Request,
        choice: Choice,
        answer: ClientAnswer,
        splitter: EventSplitter,
        version: StreamVersion,
        reporter: AttemptReporter,
        permit: Permit,
        may_repeat: Callable[[], bool],
    ) -> None:
        """Prepare the attempt; `may_repeat` returns whether the request may be sent once more."""
        self._components = components
        self._request = request
        self._choice = choice
        self._answer = answer
        self._splitter = splitter
        self._version = version
        self._reporter = reporter
        self._permit = permit
        self._may_repeat = may_repeat
        self._clock = components.clock
        self._initial_suspension_count = components.suspension.suspension_count
        self.sent_at = 0.0
        self._head_received_at = 0.0
        self.first_event_at = 0.0
        self.last_event_at = 0.0
        self._connection: UpstreamConnection | None = None
        """Connection on which the request was written, None before that."""
        self._replacements: Replacements | None = None
        self._pauses = AttemptPauses(components, request, choice.upstream, reporter)
        engine = request.service.engine
        self._is_movable = engine is not None and engine.can_move_memory
        """Whether runs of the request's service can be moved to other upstreams."""
        self._movable_run: MovableRun | None = None
        """Run of this attempt; None before its first event, or if it cannot be moved."""

    async def send(self) -> AttemptEnd | None:
        """Write the request; return the end of the attempt if it is not written."""
        upstream = self._choice.upstream
        if not self._version.accepts(upstream):
            return AttemptEnd(EndKind.BARRED, f"other version: {upstream.version}")
        load = self._components.fleet.load(upstream.id)
        try:
            connection = await self._components.pool.acquire(
                upstream, may_be_cut=self._request.route.repeatable
            )
        except NotSentError as error:
            load.note_unreachable(self._clock())
            return AttemptEnd(EndKind.NOT_SENT, str(error))
        if not connection.is_open:
            # It was reset between its opening and the moment at which this task runs on.
            connection.close()
            load.note_unreachable(self._clock())
            return AttemptEnd(EndKind.NOT_SENT, "the connection was closed before the request")
        if self._was_suspended():
            connection.close()
            return AttemptEnd(EndKind.NOT_SENT, "the host was suspended")
        if self._is_held():
            connection.close()
            return AttemptEnd(EndKind.BARRED, "quarantined")
        if self._version.value and self._components.ended_incarnations.has_ended(upstream):
            connection.close()
            return AttemptEnd(EndKind.BARRED, "the version at the upstream's address is not known")
        # The placement may be older than the upstream's statement that it takes no requests, or
        # have been made without it.
        if not self._components.gate.authorize_send(self._permit):
            connection.close()
            return AttemptEnd(EndKind.BARRED)
        self._connection = connection
        connection.may_repeat = self._may_repeat
        if connection.relay:
            self._components.log.note(
                "attempt.relayed",
                request=self._request.demand.request_id,
                upstream=upstream.id,
                relay=connection.relay,
            )
        self.sent_at = self._clock()
        last_event_id = self._splitter.last_id if self._splitter.event_count else ""
        head = encode_head(self._request, self._choice, last_event_id, self.sent_at)
        connection.send(
            self._request.demand.request_id, self._request.method, head, self._request.body
        )
        return None

    def _is_held(self) -> bool:
        """Return whether the request must not reach an upstream since it was placed.

        A run that returns to its source was begun there, which shows that it does no harm there.
        """
        return not self._choice.returned_to_source and self._components.quarantine.is_held(
            self._request
        )

    async def is_refused(self, seconds: float | None) -> bool:
        """Return whether the upstream refuses the request, or fails, within some seconds.

        Return False as soon as it has accepted the request; wait for its head if `seconds` is None.
        """
        assert self._connection is not None
        try:
            async with asyncio.timeout(seconds):
                head: AnswerHead | None = await self._connection.read_head()
        except TimeoutError:
            # A process that was busy may have received the head without having read it.
            head = self._connection.head
        except UpstreamError:
            return True
        return head is not None and not _carries_answer(head)

    async def relay(self, replacements: Replacements | None) -> AttemptEnd:
        """Relay the answer to the client, unless another upstream replaces this one.

        Without `replacements`, the attempt ends when the upstream is silent.
        """
        connection = self._connection
        assert connection is not None
        self._replacements = replacements
        try:
            end = await self._relay(connection)
            self._components.pool.release(self._choice.upstream, connection)
        except UpstreamError as error:
            connection.close()
            end = self._broken_end(error)
        except BaseException:
            connection.close()
            raise
        finally:
            self._unregister_run()
        return end

    def close(self) -> None:
        """Close the connection, so that the upstream drops the run."""
        if self._connection is not None:
            self._connection.close()

    def _broken_end(self, error: UpstreamError) -> AttemptEnd:
        """Return the end of an attempt whose answer was truncated by a move or by a fault."""
        if isinstance(error, ReplacedError):
            # The memory of a move in progress is not used, as the run continues without it.
            return self._end_as_broken(error.cause, error.successor)
        handover = self._movable_run.handover if self._movable_run is not None else None
        if handover is not None:
            handover.note_stream_ended()
            if handover.run_stopped:
                return AttemptEnd(
                    EndKind.MOVED,
                    repr(error),
                    answer_started=True,
                    last_event_at=self.last_event_at,
                    handover=handover,
                    cut_by=CutBy.GATEWAY_STOP,
                )
            if handover.phase is Phase.GIVEN_UP:
                handover = None
        return replace(self._end_as_broken(error), handover=handover)

    def _end_as_broken(
        self, error: UpstreamError, successor: Successor | None = None
    ) -> AttemptEnd:
        silent = isinstance(error, SilentUpstreamError | PartitionedError)
        return AttemptEnd(
            EndKind.BROKEN,
            repr(error),
            connection_lost=isinstance(error, LostConnectionError),
            answer_started=bool(self.first_event_at),
            last_event_at=self.last_event_at,
            successor=successor,
            cut_by=CutBy.GATEWAY_SILENCE if silent else CutBy.UPSTREAM,
        )

    def _unregister_run(self) -> None:
        """Unregister the run from the mover, so that it is not moved after this attempt."""
        run = self._movable_run
        if run is None:
            return
        run.ended = True
        self._components.mover.remove_run(run)
        if run.handover is not None and not run.handover.stream_ended:
            self._components.mover.release_handover(run.handover)

    def _was_suspended(self) -> bool:
        """Return whether the host was suspended since the upstream was chosen.

        The upstream may have left the fleet in the meantime.
        """
        self._components.suspension.check()
        return self._components.suspension.suspension_count != self._initial_suspension_count

    async def _relay(self, connection: UpstreamConnection) -> AttemptEnd:
        head = await self._read_head(connection)
        self._head_received_at = self._clock()
        self._components.fleet.load(self._choice.upstream.id).note_reached()
        statement = read_statement(head.status, head.headers)
        self._components.gate.record_statement(self._choice.upstream.id, statement, self.sent_at)
        if statement.not_executed:
            await self._read_body(connection)
            return AttemptEnd(EndKind.REJECTED, str(head.status), statement=statement)
        if head.status not in _SUCCESS:
            body = await self._read_body(connection)
            return AttemptEnd(EndKind.FAILED, str(head.status), head, body, statement)
        if not _carries_answer(head):
            connection.close()
            return AttemptEnd(EndKind.BROKEN, "content-encoding")
        if self._request.route.kind is not RouteKind.STREAM:
            return await self._relay_complete(connection, head)
        return await self._relay_events(connection, head)

    async def _read_head(self, connection: UpstreamConnection) -> AnswerHead:
        """Return the head of the answer; raise ReplacedError if another upstream sends it.

        Only a request of a repeatable route is replaced; others wait on, since a second attempt
        might run them twice.
        """
        timeout_seconds = max(
            _MIN_HEAD_TIMEOUT_SECONDS, _HEAD_TIMEOUT_FACTOR * self._choice.first_event_seconds
        )
        try:
            async with asyncio.timeout(timeout_seconds):
                return await connection.read_head()
        except TimeoutError as error:
            if not self._components.pool.is_partitioned(self._choice.upstream):
                self._reporter.report_silence()
            self._components.pool.close_unused_since(self._choice.upstream, self.sent_at)
            if self._request.route.repeatable:
                return await self._read_unless_replaced(
                    connection.read_head(), SilentUpstreamError(f"no answer head: {error!r}")
                )
        if self._choice.moved is None:
            return await connection.read_head()
        return await self._read_head_of_moved_run(connection)

    async def _read_head_of_moved_run(self, connection: UpstreamConnection) -> AnswerHead:
        """Return the head; raise ReplacedError if the source of the run continues it instead.

        A run that continues from its memory is let in before others, and its source holds the
        memory as well until it is used.
        """
        patience = _SOURCE_ASKED_AFTER_FRACTION * self._request.need.event_timeout
        try:
            async with asyncio.timeout(self.sent_at + patience - self._clock()):
                return await connection.read_head()
        except TimeoutError as error:
            return await self._read_unless_replaced(
                connection.read_head(), SilentUpstreamError(f"no answer head: {error!r}")
            )

    async def _read_unless_replaced(
        self, read: Coroutine[object, object, T], silence: SilentUpstreamError
    ) -> T:
        """Return what `read` returns once the silent upstream continues."""
        if self._replacements is None:
            read.close()
            raise silence
        return await self._replacements.read_unless_replaced(
            read, self._choice, self._may_be_replaced
        )

    def _may_be_replaced(self) -> bool:
        """Return whether another upstream may get the request now.

        A run that was stopped with its memory continues from that.
        """
        handover = self._movable_run.handover if self._movable_run is not None else None
        return handover is None or handover.phase is not Phase.STOPPED

    async def _read_body(self, connection: UpstreamConnection) -> bytes:
        """Return the body of an answer; raise OversizedAnswerError if it is too long.

        Raise NoMemoryError if there is no memory for it.
        """
        body = bytearray()
        while piece := await connection.read():
            await self._answer.hold(len(piece))
            body += piece
            if len(body) > MAX_ANSWER_BYTES:
                raise OversizedAnswerError("body", MAX_ANSWER_BYTES)
        return bytes(body)

    async def _relay_complete(self, connection: UpstreamConnection, head: AnswerHead) -> AttemptEnd:
        """Relay a plain answer once it is complete, so that no truncated answer is started."""
        body = await self._read_body(connection)
        self._note_event()
        await self._answer.start(head.status, head.headers_for(body))
        await self._answer.finish(body)
        return AttemptEnd(EndKind.WHOLE)

    def _can_continue(self) -> bool:
        """Return whether the stream can continue after its connection to the upstream has ended."""
        return self._request.route.resumable or self._choice.backup is not None

    def _event_timeout(self) -> float | None:
        """Return the pause, in seconds, after which another upstream may replace this one.

        None if the run cannot continue elsewhere.
        """
        if not self.first_event_at:
            return self._first_event_timeout()
        gap = self._request.route.target_gap
        if not self._is_movable:
            return max_threshold(gap) if self._can_continue() else None
        if not self._can_continue():
            return None
        return self._components.mover.stalls.threshold(self._request.service.name, gap)

    async def _relay_events(self, connection: UpstreamConnection, head: AnswerHead) -> AttemptEnd:
        """Relay only complete events, so that another upstream can continue after any of them.

        The client's answer is framed in chunks also if that of the upstream is not framed, so that
        the client can tell a truncated answer from a complete one if this gateway ends.
        """
        while piece := await self._read_piece(connection):
            complete_events = self._splitter.feed(piece)
            if not complete_events:
                continue
            self._note_event()
            self._note_version()
            self._track_run(connection)
            await self._start_chunked(head)
            await self._answer.write(complete_events)
            if self._movable_run is not None:
                self._movable_run.note_delivered(self._clock())
        if not connection.is_framed:
            await self._check_unframed_end()
        await self._start_chunked(head)
        await self._answer.finish(self._splitter.partial)
        return AttemptEnd(EndKind.WHOLE)

    async def _check_unframed_end(self) -> None:
        """Raise TruncatedStreamError if a stream that ended with its connection is not complete.

        An upstream that breaks a stream off does so inside an event. The stream of a run that is
        stopped in order to be moved may end between events as well.
        """
        splitter = self._splitter
        self._components.log.note(
            "attempt.unframed_end",
            request=self._request.demand.request_id,
            upstream=self._choice.upstream.id,
            last_event=splitter.last_id,
            partial_bytes=len(splitter.partial),
        )
        if not self.first_event_at:
            raise TruncatedStreamError("connection ended before the first event")
        if splitter.is_inside_event:
            raise TruncatedStreamError(
                f"connection ended {len(splitter.partial)} bytes into an event"
            )
        handover = self._movable_run.handover if self._movable_run is not None else None
        if handover is not None and await handover.has_stopped_run():
            raise TruncatedStreamError("the run may have been stopped")

    async def _read_piece(self, connection: UpstreamConnection) -> bytes:
        """Return the next piece of the stream; raise ReplacedError if another upstream sends it."""
        try:
            return await connection.read(self._event_timeout())
        except SilentUpstreamError as silence:
            return await self._read_unless_replaced(connection.read(), silence)

    def _first_event_timeout(self) -> float | None:
        """Return the timeout for the first event after the head, None if there is none."""
        if not self._is_movable or not self._request.route.repeatable:
            return None
        return self._components.mover.first_event_waits.threshold_if_known(
            self._request.service.name
        )

    def _track_run(self, connection: UpstreamConnection) -> None:
        if not self._is_movable or self._choice.returned_to_source:
            return
        if self._movable_run is None:
            self._movable_run = MovableRun(
                self._request,
                self._choice.upstream,
                self._splitter,
                self._choice.backup is not None,
                self._choice.moved is not None,
                connection.close,
                self.last_event_at,
            )
            self._components.mover.add_run(self._movable_run)
        self._movable_run.note_event(self.last_event_at)

    async def _start_chunked(self, head: AnswerHead) -> None:
        """Start the answer without a length, as another upstream may add to it."""
        if not self._answer.started:
            headers = [item for item in head.headers if item[0] != b"content-length"]
            await self._answer.start(head.status, headers)

    def _note_version(self) -> None:
        """Record the version that the event came from; it may be that of a later incarnation."""
        upstream = self._choice.upstream
        is_known = not self._components.ended_incarnations.has_ended(upstream)
        self._version.note_event(upstream, is_known)

    def _note_event(self) -> None:
        now = self._clock()
        if not self.first_event_at:
            self.first_event_at = now
            self._note_first_event(now)
            self._components.mover.note_continued(self._request.key)
            if self._is_movable:
                self._components.mover.first_event_waits.note(
                    self._request.service.name, now - self._head_received_at
                )
        if self._request.route.kind is RouteKind.STREAM:
            self._pauses.note(now)
        self.last_event_at = now

    def _note_first_event(self, now: float) -> None:
        elapsed = now - self.sent_at
        self._reporter.report_first_event(elapsed)
        self._components.metrics.record_first_event(
            self._request.service.name, elapsed, self._choice.first_event_seconds
        )


def _carries_answer(head: AnswerHead) -> bool:
    """Return whether the body that follows a head is an answer that clients can receive."""
    is_encoded = any(name == b"content-encoding" for name, _ in head.headers)
    return head.status in _SUCCESS and not is_encoded
