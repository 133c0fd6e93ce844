"""Break one rule at a time in a temporary copy and show that its tests fail.

Each entry names the rule, the file, the code that enforces the rule, the replacement for that code
and the tests that must fail with it. Not part of CI; run `python scripts/break_rules.py`.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
_TIMEOUT_SECONDS = 240
_MAX_PARALLEL = 4


@dataclass(frozen=True)
class Break:
    """A source edit that breaks one rule, and the tests that detect it."""

    rule: str
    file: str
    code: str
    replacement: str
    tests: str


BREAKS = (
    Break(
        "gateways without a model spread their requests",
        "starting/draw.py",
        "return [rng.choice(with_credit).upstream]",
        "return [with_credit[0].upstream]",
        "tests.starting",
    ),
    Break(
        "a scheduler that has received no model does not choose by it",
        "starting/startup_phase.py",
        "return has_model",
        "return True",
        "tests.starting",
    ),
    Break(
        "no return has priority while a more urgent tier is refused",
        "returns/promises.py",
        "        if self._more_urgent_refused(known, now):\n            return False\n",
        "",
        "tests.returns.test_promises",
    ),
    Break(
        "a promise is used once",
        "returns/promises.py",
        "        known.used = True\n",
        "",
        "tests.returns.test_promises",
    ),
    Break(
        "an early return gains nothing",
        "returns/promises.py",
        "return known.due_at - EARLY_TOLERANCE_SECONDS <= now <= known.expires_at",
        "return now <= known.expires_at",
        "tests.returns.test_promises",
    ),
    Break(
        "the end of a partition is detected",
        "membership/membership.py",
        "self._ping_queue = alive + self._rng.sample(lost, min(1, len(lost)))",
        "self._ping_queue = alive; self._rechecks.clear()",
        "tests.membership.test_membership",
    ),
    Break(
        "a member that is reported lost refutes it",
        "membership/roster.py",
        "if newer or contradicts:\n            self.own",
        "if False:\n            self.own",
        "tests.membership.test_membership",
    ),
    Break(
        "a replayed packet is dropped",
        "membership/membership.py",
        "if self._is_replayed(message):",
        "if False:",
        "tests.membership.test_membership",
    ),
    Break(
        "a forged frame is dropped",
        "links/seal.py",
        "if hmac.compare_digest(code, _code(key, data, context)):",
        "if True:",
        "tests.links",
    ),
    Break(
        "racing edits of one value conflict",
        "contracts/merge.py",
        "conflicts.append(",
        "list().append(",
        "tests.contracts",
    ),
    Break(
        "gateway: a partial event is discarded before a stream is resumed",
        "requests/event_stream.py",
        '        self._buffer = b""\n\n    @property',
        "        pass\n\n    @property",
        "tests.requests.test_event_stream",
    ),
    Break(
        "gateway: the request id of an answer is checked",
        "requests/upstream_connection.py",
        "self._skipping = self._answer_request_id(self._headers) != self._request_id",
        "self._skipping = False",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: a reset answer without a length is incomplete",
        "requests/upstream_connection.py",
        "        if self._error is None and not self._complete:\n            self._error",
        "        self._complete = self._complete or self._ends_with_connection\n"
        "        if self._error is None and not self._complete:\n            self._error",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: an encoded body is not forwarded",
        "requests/attempt.py",
        'name == b"content-encoding"',
        'name == b"x-none"',
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: a request that may not be repeated runs once",
        "requests/exchange.py",
        "if not route.repeatable or self.runs",
        "if self.runs",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: no more upstreams than the route allows",
        "requests/exchange.py",
        "or self.runs >= route.max_attempts",
        "or self.runs >= 9",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: retries are taken from the budget",
        "availability/retry_budget.py",
        "        if self._left(gateways, now) < 1:\n            return False\n",
        "",
        "tests.requests.test_retry_budget",
    ),
    Break(
        "gateway: the budget is divided among the gateways",
        "availability/retry_budget.py",
        "return self._slack / gateways",
        "self._slack",
        "tests.requests.test_retry_budget",
    ),
    Break(
        "gateway: a request that may have run is not reported as not run",
        "requests/exchange.py",
        "await self._answer.send_own_answer(_BAD_GATEWAY)",
        "await self._answer.send_own_answer(_UNAVAILABLE, 1.0)",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: the client's key is not forwarded",
        "platform/request_head.py",
        "        names.AUTHORIZATION,\n",
        "",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: a team header of the client is ignored",
        "platform/request_head.py",
        "        names.TENANT,\n        names.TARGET",
        "        names.TARGET",
        "tests.platform.test_request_head",
    ),
    Break(
        "gateway: a client disconnect ends the work of the upstream",
        "requests/client_application.py",
        "            connection.on_lost = disconnect_handler.on_disconnect\n",
        "",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: an unknown route or key is not denied while the view may be stale",
        "requests/client_application.py",
        "if not self._components.view_is_fresh():",
        "if False:",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: the configuration never reverts to an older revision",
        "views/configuration_view.py",
        "        if revision <= self.revision:\n            return False\n",
        "",
        "tests.views.test_views",
    ),
    Break(
        "gateway: a draining upstream never becomes available again",
        "views/upstream_view.py",
        "return known if known is not None and known.draining else upstream",
        "return upstream",
        "tests.views.test_views",
    ),
    Break(
        "gateway: a deferred change is not skipped",
        "views/watcher.py",
        "            self._revision = max(self._revision, revision)\n        # Without",
        "        self._revision = max(self._revision, revision)\n        # Without",
        "tests.views.test_watcher",
    ),
    Break(
        "gateway: a prompt counts as prefill until its first event",
        "placement/prefill_queue.py",
        "return min(float(tokens), max(0.0, now - self._current_since) * prefill_rate)",
        "return max(0.0, now - self._current_since) * prefill_rate",
        "tests.placement.test_upstream_load",
    ),
    Break(
        "gateway: a short request is not refused while longer ones are started",
        "placement/shedding.py",
        "overload = self.is_long(need) and is_late",
        "overload = is_late",
        "tests.placement.test_fleet",
    ),
    Break(
        "gateway: lost load updates are repaired",
        "scheduling/shared_load.py",
        "                if request not in reported and now - since > _SNAPSHOT_TRANSIT_SECONDS:",
        "                if False:",
        "tests.scheduling.test_shared_load",
    ),
    Break(
        "gateway: the rate of log lines is limited",
        "event_log.py",
        "        if self._credit < 1.0:",
        "        if False:",
        "tests.test_event_log",
    ),
    Break(
        "gateway: entries that lapsed in an outage are retained for a while",
        "following/upstreams.py",
        "return {item.id: failed_at + _LAPSED_RETENTION_SECONDS for item in self.view.all()}",
        "return {}",
        "tests.platform.test_object_store",
    ),
    Break(
        "gateway: a passive gateway makes no calls to the store",
        "views/watcher.py",
        "            if not self.active:",
        "            if False:",
        "tests.views.test_watcher",
    ),
    Break(
        "gateway: gateways that the store rejects are not counted as readers",
        "membership/readers.py",
        "sum(member.contact is not StoreContact.AWAY for",
        "sum(True for",
        "tests.membership.test_readers",
    ),
    Break(
        "gateway: a scheduler relays load updates that it receives",
        "peering/peers.py",
        "            self._relay.collect(message.records, now)",
        "            pass",
        "tests.peering.test_peers",
    ),
    Break(
        "gateway: groups of members that formed separately merge",
        "membership/membership.py",
        "return [ping, *self._ping_unknown_seed()]",
        "return [ping]",
        "tests.membership.test_membership",
    ),
    Break(
        "gateway: an outage starts when the failed call was sent",
        "views/watcher.py",
        "self._last_failure_at = self._call_sent_at",
        "self._last_failure_at = self._clock()",
        "tests.views.test_watcher",
    ),
    Break(
        "gateway: the settings tree can only reduce the number of attempts",
        "contracts/effective.py",
        'min(route.max_attempts, values["max_attempts"])',
        'values["max_attempts"]',
        "tests.contracts.test_effective",
    ),
    Break(
        "gateway: a run whose backup is missing is not run again",
        "requests/continuation.py",
        "                if end.is_continued:\n                    return end\n",
        "                return end\n",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: a run is continued only after its first event",
        "requests/continuation.py",
        "return is_known and is_healthy and is_accepting and self._splitter.event_count > 0",
        "return is_known and is_healthy and is_accepting",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: a run is not continued at an upstream that has just failed",
        "requests/continuation.py",
        "return is_known and is_healthy and is_accepting and self._splitter.event_count > 0",
        "return is_known and is_accepting and self._splitter.event_count > 0",
        "tests.requests.test_request_path",
    ),
    Break(
        "moves: a run is stopped only after its memory was copied to a target",
        "requests/handover.py",
        "if await self._copy():\n                await self._stop()",
        "await self._stop()",
        "tests.requests.test_moves",
    ),
    Break(
        "moves: a run is stopped only if retries are left for the way to the target and back",
        "moves/stop_conditions.py",
        "RETRIES_PER_STOP = 2",
        "RETRIES_PER_STOP = 1",
        "tests.requests.test_truncated_by_gateway",
    ),
    Break(
        "moves: a run that its engine has not stopped is not closed",
        "requests/handover.py",
        "return await self._has_ended(_CLOSE_TIMEOUT_SECONDS)",
        "return True",
        "tests.requests.test_truncated_by_gateway",
    ),
    Break(
        "moves: a run that may have been stopped is not closed while its source is reachable",
        "requests/handover.py",
        "if silence.is_lost(_now()):",
        "if silence.unanswered:",
        "tests.requests.test_truncated_by_gateway",
    ),
    Break(
        "moves: memory that is refused for a moment is asked for again",
        "requests/continuation_tries.py",
        "if now >= self._ends_at:",
        "if True:",
        "tests.requests.test_truncated_by_gateway",
    ),
    Break(
        "moves: memory may still be held after a failure of its upstream",
        "requests/continuation.py",
        "return end.kind in (EndKind.WHOLE, EndKind.MOVED) or",
        "return end.kind in (EndKind.WHOLE, EndKind.MOVED, EndKind.FAILED) or",
        "tests.requests.test_truncated_by_gateway",
    ),
    Break(
        "moves: memory that no run needs any more is freed",
        "requests/handover.py",
        "if self._is_finished or self.phase is Phase.GIVEN_UP:\n            await self.free()",
        "if False:\n            await self.free()",
        "tests.requests.test_moves",
    ),
    Break(
        "moves: a run that its target refuses returns to its source",
        "requests/continuation.py",
        "Permit(upstream.id, holds_memory=True)",
        "Permit(upstream.id)",
        "tests.requests.test_moves",
    ),
    Break(
        "moves: a run is not taken for stalled while its client does not read",
        "requests/movable_run.py",
        "self._last_at = now\n        self._delivered_at = math.inf\n\n    def note_delivered",
        "self._last_at = now\n        self._delivered_at = now\n\n    def note_delivered",
        "tests.requests.test_moves",
    ),
    Break(
        "moves: a move that costs more than it saves is not made",
        "moves/move_plan.py",
        "return Move(cause, worth, time_limit) if worth > 0.0 else None",
        "return Move(cause, worth, time_limit)",
        "tests.moves.test_move_plan",
    ),
    Break(
        "moves: a run counts as load of its target as soon as the target is chosen",
        "requests/mover.py",
        "self._shared_load.start(placed, request.service, announced)",
        "pass",
        "tests.requests.test_moves",
    ),
    Break(
        "gateway: watches end at different times",
        "views/watcher.py",
        "kind.max_watch_seconds * self._rng.uniform(_MIN_WATCH_FRACTION, 1.0)",
        "kind.max_watch_seconds",
        "tests.views.test_watcher",
    ),
    Break(
        "the pause during prefill is bounded",
        "placement/pauses.py",
        "(queued_seconds if queued_seconds < self._bound else self._bound)",
        "queued_seconds",
        "tests.placement.test_pauses",
    ),
    Break(
        "a changed view alone is not gossiped to all members",
        "membership/roster.py",
        "return state.phase is not former.phase or state.contact is not former.contact",
        "return True",
        "tests.membership.test_membership",
    ),
    Break(
        "a joining member requests the roster from few seeds",
        "membership/membership.py",
        "return [self._ping(seed) for seed in self._rng.sample(self._seeds, seed_count)]",
        "return [self._ping(seed) for seed in self._seeds]",
        "tests.membership.test_large_fleet",
    ),
    Break(
        "a roster that is still incomplete after gossip is pulled",
        "membership/roster_sync.py",
        "return (settled or overdue) and since_pull >= options.pull_interval",
        "return False",
        "tests.membership.test_large_fleet",
    ),
    Break(
        "membership changes are logged in a bounded number of lines",
        "peering/member_log.py",
        "if self._lines >= _MAX_SINGLE_LINES:",
        "if False:",
        "tests.peering.test_member_log",
    ),
    Break(
        "only schedulers receive load updates in a large fleet",
        "membership/schedulers.py",
        "self._is_small = len(members) <= MAX_SMALL_FLEET_GATEWAYS",
        "self._is_small = True",
        "tests.peering.test_peers",
    ),
    Break(
        "the placement of an answer that arrives too late is released",
        "scheduling/placement_client.py",
        "        elif answer.upstream and answer.request not in self._used_answers:",
        "        elif False:",
        "tests.scheduling.test_placement_client",
    ),
    Break(
        "a scheduler that does not respond is skipped",
        "scheduling/placement_client.py",
        "self._schedulers.note_silent(scheduler.name, self._clock())",
        "pass",
        "tests.scheduling.test_placement_client",
    ),
    Break(
        "outcomes of requests update the model of every gateway that places requests",
        "placement/fleet.py",
        "        load.failures.note(ended.outcome is not Outcome.WHOLE, now, weight)",
        "        pass",
        "tests.scheduling.test_fleet_learning",
    ),
    Break(
        "a gateway that becomes a scheduler pulls the running requests",
        "scheduling/model_sync.py",
        "        self._pulled_at = now\n",
        "        return None\n",
        "tests.peering.test_peers",
    ),
    Break(
        "a start imports no library that serving does not need",
        "contracts/settings_view.py",
        "from lotushill.contracts.effective import resolve\n",
        "from lotushill.contracts.effective import resolve\n"
        "from lotushill.contracts.tree import Root\n",
        "tests.gateway.test_start",
    ),
    Break(
        "a restarted gateway does not spend its part of the retry budget twice",
        "availability/retry_budget.py",
        "if not gateways or now - self._started < self._window:",
        "if not gateways:",
        "tests.requests.test_retry_budget",
    ),
    Break(
        "gateway: a connection with a slow request head is closed",
        "requests/client_protocol.py",
        "self._set_timer(self._limits().header_seconds, self._close_slow_connection)\n"
        "\n"
        "    def on_headers",
        "pass\n\n    def on_headers",
        "tests.requests.test_client_protocol",
    ),
    Break(
        "tiers: the priority sent to engines is ordered by the tier of the route first",
        "platform/request_head.py",
        "_TEAM_LEVELS * urgency.tier + team",
        "team",
        "tests.requests.test_tiers",
    ),
    Break(
        "tiers: the rank of a team does not override the tier",
        "contracts/effective.py",
        'Urgency(values["tier"], _team_rank(team))',
        "Urgency(_team_rank(team))",
        "tests.contracts.test_effective",
    ),
    Break(
        "tiers: nothing is refused while less urgent, larger requests are started",
        "placement/shedding.py",
        "        if self.must_serve(need, now):\n            return None\n",
        "",
        "tests.placement.test_shedding",
    ),
    Break(
        "tiers: requests of all gateways decide which prompts count as long",
        "placement/fleet.py",
        "self.shedding.note(placed, service.name, now)",
        "pass",
        "tests.requests.test_tiers",
    ),
    Break(
        "tiers: the longest requests are sent only to free slots",
        "placement/shedding.py",
        "is_late = not with_free_slot or wait_seconds",
        "is_late = wait_seconds",
        "tests.placement.test_shedding",
    ),
    Break(
        "tiers: more urgent prompts overtake others in the prefill queue",
        "placement/prefill_queue.py",
        "if other <= tier)",
        "if other >= 0)",
        "tests.placement.test_prefill_queue",
    ),
    Break(
        "the baseline pause is never 0",
        "placement/baseline_pause.py",
        "seconds = max(_MIN_SECONDS, seconds)",
        "pass",
        "tests.placement.test_pauses",
    ),
    Break(
        "duties: reclaimed engines are replaced",
        "duties/engine_sizing.py",
        "missing = sum(self._lost_engines.count(hall) for hall in short_halls) - cover",
        "missing = 0",
        "tests.duties.test_reclaim",
    ),
    Break(
        "duties: a candidate waits a full lease before it takes over",
        "duties/lease.py",
        "return now - self._revision_changed_at >= self._options.seconds + extra_wait",
        "return True",
        "tests.duties",
    ),
    Break(
        "duties: a holder that lost the lease backs off",
        "duties/lease.py",
        "_BACKOFF_LEASES = 2.0",
        "_BACKOFF_LEASES = 0.0",
        "tests.duties",
    ),
    Break(
        "duties: work ends with the lease if fencing tokens are not checked",
        "duties/lease.py",
        "return is_fresh or self._options.fenced",
        "return True",
        "tests.duties",
    ),
    Break(
        "duties: recorded counts never change",
        "duties/usage_duty.py",
        "return replace(record, settled=settled,",
        "return replace(record, settled=record.settled,",
        "tests.duties",
    ),
    Break(
        "duties: counts are recorded before they are reported",
        "duties/usage_duty.py",
        "for window in sorted(record.reports.keys() - self._reported):\n"
        "                if not await self._report_window(window, record.reports[window]):",
        "for window in sorted(self._recorded.keys() - self._reported):\n"
        "                if not await self._report_window(window, self._recorded[window]):",
        "tests.duties",
    ),
    Break(
        "duties: true time is the median of all clocks",
        "duties/true_time.py",
        "median_low([*fresh,",
        "max([*fresh,",
        "tests.duties",
    ),
    Break(
        "a fault in a side task does not end the gateway",
        "process/side_tasks.py",
        "except Exception as error:",
        "except ZeroDivisionError as error:",
        "tests.process.test_side_tasks",
    ),
    Break(
        "tiers: slots are reserved for requests more urgent than long ones",
        "placement/reserve.py",
        "_MAX_RESERVED_FRACTION = 0.4",
        "_MAX_RESERVED_FRACTION = 0.0",
        "tests.placement.test_reserve",
    ),
    Break(
        "the identity of a request does not depend on its id",
        "quarantine/identity.py",
        "for part in (team.encode(),",
        'for part in (__import__("os").urandom(8),',
        "tests.requests.test_quarantine",
    ),
    Break(
        "a request is held after three upstream failures",
        "quarantine/suspect.py",
        "return len(self.failed_upstreams) >= FAILURES_TO_HOLD\n\n    def is_clear",
        "return False\n\n    def is_clear",
        "tests.quarantine.test_quarantine",
    ),
    Break(
        "an upstream failure that one gateway observes is reported to all",
        "peering/quarantine_gossip.py",
        "self._update_schedule.schedule_failure(interrupted.identity, now)",
        "pass",
        "tests.quarantine.test_fleet",
    ),
    Break(
        "failures of a request that is known good are counted in rounds",
        "quarantine/suspect.py",
        "if at - last >= _ROUND_SECONDS:",
        "if True:",
        "tests.quarantine",
    ),
    Break(
        "a complete response clears a suspect",
        "requests/exchange.py",
        "self._components.quarantine.record_completion(request)",
        "pass",
        "tests.requests.test_quarantine",
    ),
    Break(
        "no request is blamed for a planned shutdown",
        "peering/quarantine_gossip.py",
        "return Listing.LEAVING if listed.draining else Listing.SERVING",
        "return Listing.SERVING",
        "tests.requests.test_quarantine",
    ),
    Break(
        "no request is blamed for a reset while its upstream keeps running",
        "requests/upstream_pool.py",
        "connection.close()\n        return False",
        "connection.close()\n        return True",
        "tests.requests.test_quarantine",
    ),
    Break(
        "a suspect is not retried after two failures",
        "peering/quarantine_gossip.py",
        "_FAILURES_TO_STOP_RETRIES = 2",
        "_FAILURES_TO_STOP_RETRIES = 20",
        "tests.requests.test_quarantine",
    ),
    Break(
        "a hold that is released in the store is released at the gateway",
        "quarantine/quarantine.py",
        "suspect.release()",
        "pass",
        "tests.quarantine",
    ),
    Break(
        "suspects of one team cannot evict those of another",
        "quarantine/quarantine.py",
        "_MAX_SUSPECTS_PER_TEAM = 256",
        "_MAX_SUSPECTS_PER_TEAM = 10**9",
        "tests.quarantine",
    ),
    Break(
        "an entry without a usable address is rejected",
        "platform/upstreams.py",
        'address=fields.address("address")',
        'address=str(fields.raw("address"))',
        "tests.platform.test_upstreams",
    ),
    Break(
        "a malformed entry does not affect the others",
        "following/upstreams.py",
        "except MalformedEntryError as error:",
        "except ZeroDivisionError as error:",
        "tests.platform.test_upstreams",
    ),
    Break(
        "a new incarnation of an instance is another upstream",
        "platform/upstreams.py",
        'if not fields.has("born"):',
        "if True:",
        "tests.platform.test_upstreams",
    ),
    Break(
        "an error while an object is read does not stop the watcher",
        "views/watcher.py",
        "except Exception as error:",
        "except OverflowError as error:",
        "tests.views.test_watcher",
    ),
    Break(
        "a suspension of the host is detected",
        "process/suspension.py",
        "if gap >= _MIN_SUSPENSION_SECONDS:",
        "if False:",
        "tests.requests.test_suspension",
    ),
    Break(
        "deadlines of requests hold after a suspension",
        "requests/client_application.py",
        "scope.deadline -= seconds",
        "scope.deadline -= 0.0",
        "tests.requests.test_suspension",
    ),
    Break(
        "an upstream that was chosen before a suspension is chosen again",
        "requests/attempt.py",
        "if self._was_suspended():",
        "if False:",
        "tests.requests.test_suspension",
    ),
    Break(
        "a signal during the start does not terminate the gateway",
        "console/gateway.py",
        "    signals.install()\n",
        "",
        "tests.console.test_gateway_program",
    ),
    Break(
        "a reload requested during the start is carried out",
        "gateway/gateway.py",
        "if is_reload_requested():",
        "if False:",
        "tests.console.test_gateway_program",
    ),
    Break(
        "the configuration is read after the held requests",
        "gateway/store_views.py",
        "        if self.holds.revision >= 0:\n            return True\n",
        "        return True\n",
        "tests.platform.test_object_store",
    ),
    Break(
        "the time without the holds is counted while the store responds, not from the start",
        "gateway/store_views.py",
        "since = self._watchers[ViewKind.UPSTREAMS].answering_since",
        "since = 0.0",
        "tests.platform.test_object_store",
    ),
    Break(
        "no request is sent before the holds are known",
        "requests/client_application.py",
        " or not self._components.holds_are_known()",
        "",
        "tests.requests.test_quarantine",
    ),
    Break(
        "a cooldown stated in an answer is read",
        "platform/upstream_answer.py",
        "refused = status == _UNAVAILABLE",
        "refused = False",
        "tests.requests.test_cooldowns",
    ),
    Break(
        "no request is sent to an upstream in cooldown, no matter what chose it",
        "requests/attempt.py",
        "if not self._components.gate.authorize_send(self._permit):",
        "if False:",
        "tests.requests.test_cooldowns",
    ),
    Break(
        "a run is not continued at an upstream in cooldown",
        "requests/continuation.py",
        "is_accepting = self._components.gate.accepts_requests(backup.id)",
        "is_accepting = True",
        "tests.requests.test_cooldowns",
    ),
    Break(
        "schedulers are sent the upstreams in cooldown",
        "scheduling/placer.py",
        "excluded |= barred",
        "excluded |= frozenset()",
        "tests.scheduling.test_placer",
    ),
    Break(
        "a shorter cooldown does not end a longer one",
        "availability/cooldowns.py",
        "max(until, known.until if known else until)",
        "until",
        "tests.availability.test_cooldowns",
    ),
    Break(
        "after a cooldown one probe is sent first",
        "availability/cooldowns.py",
        "cooldown.probe_at = now",
        "cooldown.probe_at = now - 1.0",
        "tests.availability.test_cooldowns",
    ),
    Break(
        "a cooldown is kept while the entry is missing",
        "availability/cooldowns.py",
        "if now >= self._cooldowns[upstream_id].until:",
        "if True:",
        "tests.availability.test_cooldowns",
    ),
    Break(
        "a request waits for the first of all cooldowns to end",
        "availability/wait_policy.py",
        "MAX_WAIT_FRACTION = 1.0",
        "MAX_WAIT_FRACTION = 0.0",
        "tests.availability.test_wait_policy",
    ),
    Break(
        "an upstream that announces that it leaves gets no more requests",
        "platform/upstream_answer.py",
        "name == _SERVER_LEAVING and",
        "False and",
        "tests.requests.test_leaving",
    ),
    Break(
        "an entry does not revoke the announcement of an upstream",
        "views/upstream_view.py",
        "if upstream.id in self._leaving:",
        "if False:",
        "tests.requests.test_leaving",
    ),
    Break(
        "all gateways receive which upstreams leave",
        "availability/announcement_schedule.py",
        "return self._selector.choose(names) if self._timer.is_due(now) else []",
        "return []",
        "tests.peering.test_leaving_gossip",
    ),
    Break(
        "an announcement that was received is not repeated by all",
        "availability/trickle.py",
        "self._consistent_count += 1",
        "self._consistent_count += 0",
        "tests.peering.test_leaving_gossip",
    ),
    Break(
        "a limit that an upstream states is read",
        "platform/upstream_answer.py",
        "if name == _SERVER_LIMIT]",
        "if False]",
        "tests.requests.test_limit",
    ),
    Break(
        "no request is sent without a permit",
        "requests/exchange.py",
        "                    self._defer(placement)\n                    continue\n",
        "                    permit = Permit(choice.upstream.id)\n",
        "tests.requests.test_limit",
    ),
    Break(
        "one gateway owns a limit for all",
        "limits/limit_owners.py",
        "return self.owner_of(upstream).name == self.own_name",
        "return True",
        "tests.limits.test_limit_owners",
    ),
    Break(
        "both sides of a partition together grant no more than the limit",
        "limits/limit_owners.py",
        "return live / max(1, live, len(staying), self._registered())",
        "return 1.0",
        "tests.limits.test_limit_owners",
    ),
    Break(
        "a new limit owner starts without permits",
        "limits/permit_buckets.py",
        "level: float = 0.0",
        "level: float = BUCKET_DEPTH",
        "tests.limits.test_permit_buckets",
    ),
    Break(
        "a team over its share leaves slots to the others",
        "placement/fleet.py",
        "return Refusal.SHARE if self.shares.is_over_share(need, now) else None",
        "return None",
        "tests.placement.test_team_reserve",
    ),
    Break(
        "a share does not override a tier",
        "placement/fleet.py",
        "return self.shares.is_over_share(need, now) and not self.shedding.must_serve(need, now)",
        "return self.shares.is_over_share(need, now)",
        "tests.placement.test_team_reserve",
    ),
    Break(
        "a team over its share is not starved",
        "shares/shares.py",
        "return own < _MIN_SERVED_FRACTION * all_teams",
        "return False",
        "tests.shares.test_shares",
    ),
    Break(
        "an unused share is lent",
        "shares/ledger.py",
        "return now - self.last_request_at < _ACTIVE_SECONDS",
        "return True",
        "tests.shares.test_shares",
    ),
    Break(
        "one gateway owns the limit of a team",
        "limits/team_limits.py",
        "if owner.name == self._owners.own_name:",
        "if True:",
        "tests.limits.test_team_limits",
    ),
    Break(
        "a request over the limit of its team is not sent",
        "requests/upstream_search.py",
        "if limit is None or self._within_limit:",
        "if True:",
        "tests.requests.test_team_limit",
    ),
    Break(
        "no more permits are granted than the limit allows",
        "limits/permit_buckets.py",
        "bucket.level -= 1.0",
        "bucket.level -= 0.5",
        "tests.limits.test_permit_buckets",
    ),
    Break(
        "all gateways receive limits and their ends",
        "availability/announcement_schedule.py",
        "return self._selector.choose(names) if self._timer.is_due(now) else []",
        "return []",
        "tests.limits.test_limit_gossip",
    ),
    Break(
        "the newest report of a limit applies",
        "availability/stated_limits.py",
        "if report.sent_at >= known.received_at:",
        "if True:",
        "tests.availability.test_stated_limits",
    ),
    Break(
        "a denied permit is not requested again at once",
        "limits/denials.py",
        "return self.seconds_left(upstream_id, route, now) > 0.0",
        "return False",
        "tests.limits.test_denials",
    ),
    Break(
        "permits go to requests that relieve the other engines most",
        "limits/permit_rank.py",
        "if others_have_free_slots:",
        "if False:",
        "tests.limits.test_permit_rank",
    ),
    Break(
        "groups under which upstreams fail are isolated",
        "requests/isolation_policy.py",
        "if isolated_upstream is None or service not in self._isolation.isolated_services(now):",
        "if True:",
        "tests.requests.test_isolation_policy",
    ),
    Break(
        "isolated requests run one at a time",
        "requests/isolation_policy.py",
        "if self._isolation.is_empty or not choice.running:",
        "if True:",
        "tests.requests.test_isolation_policy",
    ),
    Break(
        "after a failure during isolation the group is not sent for the retry delay",
        "quarantine/isolation.py",
        "evidence.paused_until = now + evidence.pause",
        "evidence.paused_until = now",
        "tests.quarantine.test_isolation",
    ),
    Break(
        "complete responses clear a group that was only present at failures",
        "quarantine/isolation.py",
        "_BYSTANDER_COMPLETIONS_PER_FAILURE = 2.0",
        "_BYSTANDER_COMPLETIONS_PER_FAILURE = 1e9",
        "tests.quarantine.test_isolation",
    ),
    Break(
        "the smallest group present at all failures explains them",
        "quarantine/isolation.py",
        "if other.is_within(group)",
        "if False",
        "tests.quarantine.test_isolation",
    ),
    Break(
        "a restarted gateway is notified of the isolated groups",
        "peering/group_gossip.py",
        "elif self._isolated_timer.is_due(now):",
        "elif False:",
        "tests.quarantine.test_fleet",
    ),
    Break(
        "signals during a planned stop interrupt no request",
        "gateway/gateway.py",
        "self._stopping = True\n",
        "self._stopping = True; signal.signal(signal.SIGHUP, signal.SIG_DFL)\n",
        "tests.console.test_gateway_program",
    ),
    Break(
        "a stop during a start is not lost",
        "console/process_signals.py",
        "os._exit(0)",
        "raise SystemExit(0)",
        "tests.console.test_process_signals",
    ),
    Break(
        "queued requests are ordered by tier",
        "waiting/admission_queue.py",
        "precedence.tier,\n            late,",
        "0,\n            late,",
        "tests.waiting.test_admission_queue",
    ),
    Break(
        "a freed slot goes to one scheduler",
        "waiting/slot_turns.py",
        "(rank - slot) % count",
        "0 * (rank - slot)",
        "tests.waiting.test_slot_turns",
    ),
    Break(
        "a new request does not overtake queued ones",
        "waiting/admission_queue.py",
        "if is_new and self._has_predecessor(entry, now):",
        "if False:",
        "tests.waiting.test_admission_queue",
    ),
    Break(
        "an entry without renewal is not placed",
        "waiting/queued_requests.py",
        "now - entry.renewed_at > ENTRY_EXPIRY_SECONDS",
        "False",
        "tests.scheduling.test_placement_responder",
    ),
    Break(
        "an answer received twice does not end its request",
        "scheduling/placement_client.py",
        "            self._used_answers[request] = now",
        "            pass",
        "tests.scheduling.test_queueing_client",
    ),
    Break(
        "starts of larger requests that are late prevent refusals",
        "placement/fleet.py",
        "self.shedding.starts.note(location.service.name, placed.tier, placed.prompt, now)",
        "pass",
        "tests.waiting.test_admission_queue",
    ),
    Break(
        "a short disturbance does not change the long-term pace",
        "placement/engine_pace.py",
        "        self.median = statistics.median(self._slots)",
        "        self.median = seconds",
        "tests.placement.test_engine_pace",
    ),
    Break(
        "the reference pace is that of the median upstream",
        "placement/engine_pace.py",
        "return statistics.median(known) if",
        "return min(known) * 1.7 if",
        "tests.placement.test_engine_pace",
    ),
    Break(
        "an upstream with an unknown pace gets few requests",
        "placement/weigher.py",
        "len(load.running) < _UNKNOWN_PACE_FRACTION * slots",
        "True",
        "tests.placement.test_uneven_fleet",
    ),
    Break(
        "a joining gateway receives the paces",
        "peering/peers.py",
        "self._hooks.on_paces(unpack_paces(",
        "list(unpack_paces(",
        "tests.peering.test_peers",
    ),
    Break(
        "a silent upstream is not given up without an attempt left",
        "availability/replacement_conditions.py",
        "conditions.repeatable and conditions.runs >= conditions.max_attempts",
        "False",
        "tests.requests.test_replacement_conditions",
    ),
    Break(
        "a silent upstream is not given up while nothing replaces it",
        "requests/replacement_search.py",
        "            self._log_obstacle(silent, found)\n",
        "            raise SilentUpstreamError\n",
        "tests.requests.test_silent_upstream",
    ),
    Break(
        "a silent upstream is not given up without room at another one",
        "requests/upstream_search.py",
        "or not result.choice.is_full:",
        "or True:",
        "tests.requests.test_silent_upstream",
    ),
    Break(
        "a silent upstream is not given up before its replacement can refuse the request",
        "requests/replacement_search.py",
        "if not await attempt.is_refused(_REFUSAL_SECONDS):",
        "if True:",
        "tests.requests.test_silent_upstream",
    ),
    Break(
        "a silent upstream is given up while its replacement has not answered yet",
        "requests/replacement_search.py",
        "_REFUSAL_SECONDS = 0.08",
        "_REFUSAL_SECONDS = 8.0",
        "tests.requests.test_silent_upstream",
    ),
    Break(
        "what was reserved to replace an upstream is released if it answers",
        "requests/replacement_search.py",
        "            retries.release()\n",
        "            pass\n",
        "tests.requests.test_silent_upstream",
    ),
    Break(
        "a placement that is not used is given up",
        "requests/replacement_search.py",
        "        if placement.scheduler:\n",
        "        if False:\n",
        "tests.requests.test_silent_upstream",
    ),
    Break(
        "a replacement in progress is looked after if the silent stream ends",
        "requests/replacement_search.py",
        "                await self._decision.wait()\n",
        "                pass\n",
        "tests.requests.test_silent_upstream",
    ),
    Break(
        "a backup that refuses for a moment is asked again",
        "requests/continuation.py",
        "_MAX_BACKUP_REFUSALS = 4",
        "_MAX_BACKUP_REFUSALS = 1",
        "tests.requests.test_request_path",
    ),
    Break(
        "a backup that may have run the request is not asked again",
        "requests/continuation.py",
        "return is_refused and not",
        "return not",
        "tests.requests.test_request_path",
    ),
    Break(
        "a gateway that stops awaits answers that are written and not sent",
        "gateway/gateway.py",
        "is_connected = self.client_listener.connections() > 0",
        "is_connected = False",
        "tests.console.test_gateway_program",
    ),
    Break(
        "a gateway that stops frees the memory of runs that were being moved",
        "gateway/gateway.py",
        "is_moving = self.mover.handovers_in_progress > 0",
        "is_moving = False",
        "tests.console.test_gateway_program",
    ),
    Break(
        "the duties are handed over only if another gateway could take them",
        "duties/ownership.py",
        " and self._fleet.candidates() > 1:",
        ":",
        "tests.duties.test_duty_runner",
    ),
    Break(
        "a renewal in progress does not prevent a handover of the duties",
        "duties/ownership.py",
        "_MAX_HAND_OVER_WRITES = 2",
        "_MAX_HAND_OVER_WRITES = 1",
        "tests.duties.test_duty_runner",
    ),
    Break(
        "a gateway that becomes a scheduler learns of open promises",
        "peering/return_gossip.py",
        "        if new:\n",
        "        if False:\n",
        "tests.peering.test_return_gossip",
    ),
)


def proof_fails(item: Break) -> tuple[bool, str]:
    """Return whether the tests fail on a copy in which the rule is broken, and their last line."""
    with tempfile.TemporaryDirectory(prefix="lotushill-break-") as folder:
        copy = Path(folder)
        for part in ("src", "tests", "scripts"):
            shutil.copytree(ROOT / part, copy / part)
        target = copy / "src" / "lotushill" / item.file
        text = target.read_text(encoding="utf-8")
        if item.code not in text:
            return False, "the code to break was not found in the file"
        target.write_text(text.replace(item.code, item.replacement), encoding="utf-8")
        try:
            completed = _run_tests(copy, item.tests)
        except subprocess.TimeoutExpired:
            return False, f"the tests did not end within {_TIMEOUT_SECONDS} s"
        last_line = (completed.stdout.strip().splitlines() or ["no output"])[-1]
        return completed.returncode == 1 and " failed" in last_line and not last_line.endswith(
            " 0 failed"
        ), last_line


def _run_tests(copy: Path, tests: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, str(copy / "scripts" / "run_tests.py"), tests],
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_SECONDS,
        check=False,
        cwd=copy,
        env=os.environ | {"PYTHONPATH": str(copy / "src")},
    )


def main() -> int:
    """Break every rule and print a table; return 1 if the tests of any rule still pass."""
    chosen = [item for item in BREAKS if not sys.argv[1:] or sys.argv[1] in item.rule]
    with ThreadPoolExecutor(_MAX_PARALLEL) as pool:
        results = list(pool.map(proof_fails, chosen))
    print("| rule | broken in | proof | fails |\n|---|---|---|---|")
    for item, (fails, last_line) in zip(chosen, results, strict=True):
        verdict = "yes" if fails else f"NO: {last_line}"
        print(f"| {item.rule} | `{item.file}` | `{item.tests}` | {verdict} |")
    return 0 if all(fails for fails, _ in results) else 1


if __name__ == "__main__":
    sys.exit(main())
