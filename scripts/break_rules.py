"""Breaks one rule at a time in a scratch copy and shows that its proof fails.

Each line of the table names the rule, the file, the code that keeps it, what it is replaced by,
and the tests that must fail then. Run outside CI: `python scripts/break_rules.py`.
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
_SECONDS = 240
_PARALLEL = 4


@dataclass(frozen=True)
class Break:
    """One rule, broken."""

    rule: str
    file: str
    code: str
    broken: str
    tests: str


BREAKS = (
    Break(
        "gateways that know nothing of each other spread",
        "starting/draw.py",
        "return [rng.choice(with_credit).upstream]",
        "return [with_credit[0].upstream]",
        "tests.starting",
    ),
    Break(
        "a scheduler that was told nothing does not choose by its model",
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
        "a healed cut is noticed",
        "membership/membership.py",
        "self._ping_queue = alive + self._rng.sample(lost, min(1, len(lost)))",
        "self._ping_queue = alive; self._rechecks.clear()",
        "tests.membership.test_membership",
    ),
    Break(
        "a member taken for lost speaks up",
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
        "gateway: what an unfinished event left is dropped before a resume",
        "requests/event_stream.py",
        '        self._buffer = b""\n\n    @property',
        "        pass\n\n    @property",
        "tests.requests.test_event_stream",
    ),
    Break(
        "gateway: the answer's id is checked",
        "requests/upstream_connection.py",
        "self._skipping = self._answer_request_id(self._headers) != self._request_id",
        "self._skipping = False",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: a reset answer without length is not whole",
        "requests/upstream_connection.py",
        "        if self._error is None and not self._complete:\n            self._error",
        "        self._complete = self._complete or self._until_end\n"
        "        if self._error is None and not self._complete:\n            self._error",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: an encoded body is not passed on",
        "requests/attempt.py",
        'name == b"content-encoding"',
        'name == b"x-none"',
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: what may not be repeated runs once",
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
        "        if len(self._retries) + 1 > allowed:\n            return False\n",
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
        "gateway: what may have run is not called not run",
        "requests/exchange.py",
        "await self._answer.send_own_answer(_BAD_GATEWAY)",
        "await self._answer.send_own_answer(_UNAVAILABLE, 1.0)",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: the key stays here",
        "platform/request_head.py",
        "        names.AUTHORIZATION,\n",
        "",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: a client's team is not believed",
        "platform/request_head.py",
        "        names.TENANT,\n        names.TARGET",
        "        names.TARGET",
        "tests.platform.test_request_head",
    ),
    Break(
        "gateway: a client that leaves ends the work",
        "requests/client_application.py",
        "            connection.on_lost = disconnect_handler.on_disconnect\n",
        "",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: the unknown is not denied by an old view",
        "requests/client_application.py",
        "if not self._components.view_is_fresh():",
        "if False:",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: the configuration never goes back",
        "views/configuration_view.py",
        "        if revision <= self.revision:\n            return False\n",
        "",
        "tests.views.test_views",
    ),
    Break(
        "gateway: a draining upstream never comes back",
        "views/upstream_view.py",
        "return known if known is not None and known.draining else upstream",
        "return upstream",
        "tests.views.test_views",
    ),
    Break(
        "gateway: a held-back change is not skipped",
        "views/watcher.py",
        "            self._revision = max(self._revision, revision)\n        # Without",
        "        self._revision = max(self._revision, revision)\n        # Without",
        "tests.views.test_watcher",
    ),
    Break(
        "gateway: a prompt is unread until its first event",
        "placement/prefill_queue.py",
        "return min(float(tokens), max(0.0, now - self._current_since) * prefill_rate)",
        "return max(0.0, now - self._current_since) * prefill_rate",
        "tests.placement.test_upstream_load",
    ),
    Break(
        "gateway: a short request is not refused while longer ones begin",
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
        "gateway: logs are bounded",
        "event_log.py",
        "        if self._credit < 1.0:",
        "        if False:",
        "tests.test_event_log",
    ),
    Break(
        "gateway: entries that lapsed in an outage are kept for a while",
        "following/upstreams.py",
        "return {item.id: failed_at + _LAPSED_RETENTION_SECONDS for item in self.view.all()}",
        "return {}",
        "tests.platform.test_object_store",
    ),
    Break(
        "gateway: one that leaves reading to others makes no call",
        "views/watcher.py",
        "            if not self.active:",
        "            if False:",
        "tests.views.test_watcher",
    ),
    Break(
        "gateway: those turned away are no readers",
        "membership/readers.py",
        "sum(member.contact is not StoreContact.AWAY for",
        "sum(True for",
        "tests.membership.test_readers",
    ),
    Break(
        "gateway: a scheduler passes on what others tell it",
        "peering/peers.py",
        "            self._relay.collect(message.records, now)",
        "            pass",
        "tests.peering.test_peers",
    ),
    Break(
        "gateway: groups that formed apart come together",
        "membership/membership.py",
        "return [ping, *self._ping_unknown_seed()]",
        "return [ping]",
        "tests.membership.test_membership",
    ),
    Break(
        "gateway: an outage counts from when the call that failed began",
        "views/watcher.py",
        "self._last_failure_at = self._call_sent_at",
        "self._last_failure_at = self._clock()",
        "tests.views.test_watcher",
    ),
    Break(
        "gateway: the tree only narrows how often a request may run",
        "contracts/effective.py",
        'min(route.max_attempts, values["max_attempts"])',
        'values["max_attempts"]',
        "tests.contracts.test_effective",
    ),
    Break(
        "gateway: a run whose copy is missing is not run again",
        "requests/continuation.py",
        "return end if end.kind is EndKind.WHOLE else interrupted",
        "return end",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: a run goes on only after its first event",
        "requests/continuation.py",
        "return is_known and is_healthy and is_accepting and self._splitter.event_count > 0",
        "return is_known and is_healthy and is_accepting",
        "tests.requests.test_request_path",
    ),
    Break(
        "gateway: a run goes on at no upstream that has just failed",
        "requests/continuation.py",
        "return is_known and is_healthy and is_accepting and self._splitter.event_count > 0",
        "return is_known and is_accepting and self._splitter.event_count > 0",
        "tests.requests.test_request_path",
    ),
    Break(
        "moves: a run is stopped only once its memory has room elsewhere",
        "requests/handover.py",
        "if await self._copy(last=False):\n                await self._stop()",
        "await self._stop()",
        "tests.requests.test_moves",
    ),
    Break(
        "moves: a run is stopped only with a repeat that it can go on by",
        "requests/handover.py",
        "if not self._may_stop():",
        "if False:",
        "tests.requests.test_moves",
    ),
    Break(
        "moves: what is held for nobody is freed",
        "requests/handover.py",
        "if self._is_finished or self.phase is Phase.GIVEN_UP:\n            await self.free()",
        "if False:\n            await self.free()",
        "tests.requests.test_moves",
    ),
    Break(
        "moves: a run that its target does not take goes back to its source",
        "requests/continuation.py",
        "returns_to_source=run_memory.upstream.id == run_memory.source.id",
        "returns_to_source=False",
        "tests.requests.test_moves",
    ),
    Break(
        "moves: a client that takes nothing makes no run stand still",
        "requests/movable_run.py",
        "self._last_at = now\n        self._delivered_at = math.inf\n\n    def note_delivered",
        "self._last_at = now\n        self._delivered_at = now\n\n    def note_delivered",
        "tests.requests.test_moves",
    ),
    Break(
        "moves: no move costs more than it saves",
        "moves/move_plan.py",
        "return Move(cause, worth, time_limit) if worth > 0.0 else None",
        "return Move(cause, worth, time_limit)",
        "tests.moves.test_move_plan",
    ),
    Break(
        "moves: room at a target is counted in from the choice on",
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
        "a pause beside readings is bounded",
        "placement/pauses.py",
        "(queued_seconds if queued_seconds < self._bound else self._bound)",
        "queued_seconds",
        "tests.placement.test_pauses",
    ),
    Break(
        "views that change do not fill the packets of all",
        "membership/roster.py",
        "return state.phase is not former.phase or state.contact is not former.contact",
        "return True",
        "tests.membership.test_membership",
    ),
    Break(
        "a newcomer asks few for the roster",
        "membership/membership.py",
        "return [self._ping(seed) for seed in self._rng.sample(self._seeds, seed_count)]",
        "return [self._ping(seed) for seed in self._seeds]",
        "tests.membership.test_large_fleet",
    ),
    Break(
        "a roster that gossip left incomplete is pulled",
        "membership/roster_sync.py",
        "return (settled or overdue) and since_pull >= options.pull_interval",
        "return False",
        "tests.membership.test_large_fleet",
    ),
    Break(
        "members that come and go take a bounded number of lines",
        "peering/member_log.py",
        "if self._lines >= _MAX_SINGLE_LINES:",
        "if False:",
        "tests.peering.test_member_log",
    ),
    Break(
        "only schedulers hear of load in a large fleet",
        "membership/schedulers.py",
        "self._is_small = len(members) <= MAX_SMALL_FLEET_GATEWAYS",
        "self._is_small = True",
        "tests.peering.test_peers",
    ),
    Break(
        "an answer that comes too late is given up",
        "scheduling/placement_client.py",
        "        elif answer.upstream and answer.request not in self._used_answers:",
        "        elif False:",
        "tests.scheduling.test_placement_client",
    ),
    Break(
        "a silent scheduler is passed over",
        "scheduling/placement_client.py",
        "self._schedulers.note_silent(scheduler.name, self._clock())",
        "pass",
        "tests.scheduling.test_placement_client",
    ),
    Break(
        "how a request ended is learned by all that place",
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
        "a start loads no library that serving does not need",
        "contracts/settings_view.py",
        "from lotushill.contracts.effective import resolve\n",
        "from lotushill.contracts.effective import resolve\n"
        "from lotushill.contracts.tree import Root\n",
        "tests.gateway.test_start",
    ),
    Break(
        "a gateway that restarts does not spend its part of the budget twice",
        "availability/retry_budget.py",
        "if not gateways or now - self._started < self._window:",
        "if not gateways:",
        "tests.requests.test_retry_budget",
    ),
    Break(
        "gateway: a slow head is ended",
        "requests/client_protocol.py",
        "self._set_timer(self._limits().header_seconds, self._close_slow_connection)\n"
        "\n"
        "    def on_headers",
        "pass\n\n    def on_headers",
        "tests.requests.test_client_protocol",
    ),
    Break(
        "tiers: engines are told the tier of the route first",
        "platform/request_head.py",
        "_TEAM_LEVELS * urgency.tier + team",
        "team",
        "tests.requests.test_tiers",
    ),
    Break(
        "tiers: no team's requests go before those of another tier",
        "contracts/effective.py",
        'Urgency(values["tier"], _team_rank(team))',
        "Urgency(_team_rank(team))",
        "tests.contracts.test_effective",
    ),
    Break(
        "tiers: nothing is refused while less urgent, larger ones begin",
        "placement/shedding.py",
        "        if self.must_serve(need, now):\n            return None\n",
        "",
        "tests.placement.test_shedding",
    ),
    Break(
        "tiers: what is long is told by what all gateways send",
        "placement/fleet.py",
        "self.shedding.note(placed, service.name, now)",
        "pass",
        "tests.requests.test_tiers",
    ),
    Break(
        "tiers: the longest take no slot that is not free",
        "placement/shedding.py",
        "is_late = not with_free_slot or wait_seconds",
        "is_late = wait_seconds",
        "tests.placement.test_shedding",
    ),
    Break(
        "tiers: the more urgent overtake what waits to be read",
        "placement/prefill_queue.py",
        "if other <= tier)",
        "if other >= 0)",
        "tests.placement.test_prefill_queue",
    ),
    Break(
        "the usual pause is never 0",
        "placement/baseline_pause.py",
        "seconds = max(_MIN_SECONDS, seconds)",
        "pass",
        "tests.placement.test_pauses",
    ),
    Break(
        "duties: engines that are taken away are replaced",
        "duties/engine_sizing.py",
        "missing = sum(self._lost_engines.count(hall) for hall in short_halls) - cover",
        "missing = 0",
        "tests.duties.test_reclaim",
    ),
    Break(
        "duties: a successor waits a whole lease",
        "duties/lease.py",
        "return now - self._revision_changed_at >= self._options.seconds + extra_wait",
        "return True",
        "tests.duties",
    ),
    Break(
        "duties: one that lost stays out",
        "duties/lease.py",
        "_BACKOFF_LEASES = 2.0",
        "_BACKOFF_LEASES = 0.0",
        "tests.duties",
    ),
    Break(
        "duties: acts end with the lease where tokens are not checked",
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
        "tiers: long requests leave slots to the more urgent",
        "placement/reserve.py",
        "_MAX_RESERVED_FRACTION = 0.4",
        "_MAX_RESERVED_FRACTION = 0.0",
        "tests.placement.test_reserve",
    ),
    Break(
        "a request is the same whatever its id",
        "quarantine/identity.py",
        "for part in (team.encode(),",
        'for part in (__import__("os").urandom(8),',
        "tests.requests.test_quarantine",
    ),
    Break(
        "a request that ends upstreams is held after three",
        "quarantine/suspect.py",
        "return len(self.failed_upstreams) >= FAILURES_TO_HOLD\n\n    def is_clear",
        "return False\n\n    def is_clear",
        "tests.quarantine.test_quarantine",
    ),
    Break(
        "what one gateway saw is told to all",
        "peering/quarantine_gossip.py",
        "self._update_schedule.schedule_failure(interrupted.identity, now)",
        "pass",
        "tests.quarantine.test_fleet",
    ),
    Break(
        "a request that was answered whole is judged by rounds of ends",
        "quarantine/suspect.py",
        "if at - last >= _ROUND_SECONDS:",
        "if True:",
        "tests.quarantine",
    ),
    Break(
        "a whole answer clears a suspect",
        "requests/exchange.py",
        "self._components.quarantine.record_completion(request)",
        "pass",
        "tests.requests.test_quarantine",
    ),
    Break(
        "a planned end blames no request",
        "peering/quarantine_gossip.py",
        "return Listing.LEAVING if listed.draining else Listing.SERVING",
        "return Listing.SERVING",
        "tests.requests.test_quarantine",
    ),
    Break(
        "a reset blames no request while its upstream goes on",
        "requests/upstream_pool.py",
        "connection.close()\n        return False",
        "connection.close()\n        return True",
        "tests.requests.test_quarantine",
    ),
    Break(
        "a suspect is not sent on after two ends",
        "peering/quarantine_gossip.py",
        "_FAILURES_TO_STOP_RETRIES = 2",
        "_FAILURES_TO_STOP_RETRIES = 20",
        "tests.requests.test_quarantine",
    ),
    Break(
        "a hold that is released in the store is released here",
        "quarantine/quarantine.py",
        "suspect.release()",
        "pass",
        "tests.quarantine",
    ),
    Break(
        "suspects of one team cannot push out those of another",
        "quarantine/quarantine.py",
        "_MAX_SUSPECTS_PER_TEAM = 256",
        "_MAX_SUSPECTS_PER_TEAM = 10**9",
        "tests.quarantine",
    ),
    Break(
        "an entry without a usable address names nothing",
        "platform/upstreams.py",
        'address=fields.address("address")',
        'address=str(fields.raw("address"))',
        "tests.platform.test_upstreams",
    ),
    Break(
        "one bad entry costs none beside it",
        "following/upstreams.py",
        "except MalformedEntryError as error:",
        "except ZeroDivisionError as error:",
        "tests.platform.test_upstreams",
    ),
    Break(
        "a new life of an instance is another upstream",
        "platform/upstreams.py",
        'if not fields.has("born"):',
        "if True:",
        "tests.platform.test_upstreams",
    ),
    Break(
        "a fault in reading ends no following",
        "views/watcher.py",
        "except Exception as error:",
        "except OverflowError as error:",
        "tests.views.test_watcher",
    ),
    Break(
        "a suspension is noticed",
        "process/suspension.py",
        "if gap >= _MIN_SUSPENSION_SECONDS:",
        "if False:",
        "tests.requests.test_suspension",
    ),
    Break(
        "requests end when their time is up after a suspension",
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
        "a signal while a gateway starts ends nothing",
        "console/gateway.py",
        "    signals.install()\n",
        "",
        "tests.console.test_gateway_program",
    ),
    Break(
        "settings that were to be read again while it started are",
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
        "the time without the holds counts while the store answers, not from the start",
        "gateway/store_views.py",
        "since = self._watchers[ViewKind.UPSTREAMS].answering_since",
        "since = 0.0",
        "tests.platform.test_object_store",
    ),
    Break(
        "nothing is sent while it is not known what is held",
        "requests/client_application.py",
        " or not self._components.holds_are_known()",
        "",
        "tests.requests.test_quarantine",
    ),
    Break(
        "a rest that is asked for is read",
        "platform/upstream_answer.py",
        "refused = status == _UNAVAILABLE",
        "refused = False",
        "tests.requests.test_cooldowns",
    ),
    Break(
        "nothing is written to an upstream that rests, whoever chose it",
        "requests/attempt.py",
        "if not self._components.gate.authorize_send(self._permit):",
        "if False:",
        "tests.requests.test_cooldowns",
    ),
    Break(
        "a run does not go on where a rest was asked for",
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
        "one that says that it leaves gets nothing more",
        "platform/upstream_answer.py",
        "name == _SERVER_LEAVING and",
        "False and",
        "tests.requests.test_leaving",
    ),
    Break(
        "an entry does not take back what an upstream said",
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
        "a limit that an upstream names is read",
        "platform/upstream_answer.py",
        "if name == _SERVER_LIMIT]",
        "if False]",
        "tests.requests.test_limit",
    ),
    Break(
        "no request is written without a permit",
        "requests/exchange.py",
        "if permit is None:\n                self._defer(placement)\n                continue",
        "if permit is None:\n                permit = Permit(choice.upstream.id)",
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
        "a team over its share leaves room to the others",
        "placement/fleet.py",
        "return Refusal.SHARE if self.shares.is_over_share(need, now) else None",
        "return None",
        "tests.placement.test_team_reserve",
    ),
    Break(
        "no share stands above a tier",
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
        "groups under which upstreams end are kept apart",
        "requests/isolation_policy.py",
        "if isolated_upstream is None or service not in self._isolation.isolated_services(now):",
        "if True:",
        "tests.requests.test_isolation_policy",
    ),
    Break(
        "of what is kept apart one request runs at a time",
        "requests/isolation_policy.py",
        "if self._isolation.is_empty or not choice.running:",
        "if True:",
        "tests.requests.test_isolation_policy",
    ),
    Break(
        "after an end apart nothing of the group is tried for a pause",
        "quarantine/isolation.py",
        "evidence.paused_until = now + evidence.pause",
        "evidence.paused_until = now",
        "tests.quarantine.test_isolation",
    ),
    Break(
        "whole answers speak for a group that was beside the ends",
        "quarantine/isolation.py",
        "_BYSTANDER_COMPLETIONS_PER_FAILURE = 2.0",
        "_BYSTANDER_COMPLETIONS_PER_FAILURE = 1e9",
        "tests.quarantine.test_isolation",
    ),
    Break(
        "the smallest group that was at the ends explains them",
        "quarantine/isolation.py",
        "if other.is_within(group)",
        "if False",
        "tests.quarantine.test_isolation",
    ),
    Break(
        "a gateway that starts anew hears what is kept apart",
        "peering/group_gossip.py",
        "elif self._isolated_timer.is_due(now):",
        "elif False:",
        "tests.quarantine.test_fleet",
    ),
    Break(
        "signals during a planned stop cut nothing",
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
        "larger ones that begin late are held against refusals",
        "placement/fleet.py",
        "self.shedding.starts.note(location.service.name, placed.tier, placed.prompt, now)",
        "pass",
        "tests.waiting.test_admission_queue",
    ),
    Break(
        "a disturbance does not change what lasts",
        "placement/engine_pace.py",
        "        self.median = statistics.median(self._slots)",
        "        self.median = seconds",
        "tests.placement.test_engine_pace",
    ),
    Break(
        "the usual pace is that of the median upstream",
        "placement/engine_pace.py",
        "return statistics.median(known) if",
        "return min(known) * 1.7 if",
        "tests.placement.test_engine_pace",
    ),
    Break(
        "an upstream of which nothing is known is tried with little",
        "placement/weigher.py",
        "len(load.running) < _UNKNOWN_PACE_FRACTION * slots",
        "True",
        "tests.placement.test_uneven_fleet",
    ),
    Break(
        "a newcomer is told the paces",
        "peering/peers.py",
        "self._hooks.on_paces(unpack_paces(",
        "list(unpack_paces(",
        "tests.peering.test_peers",
    ),
)


def proof_fails(item: Break) -> tuple[bool, str]:
    """Return whether the tests fail on a copy with the rule broken, and their last line."""
    with tempfile.TemporaryDirectory(prefix="lotushill-break-") as folder:
        copy = Path(folder)
        for part in ("src", "tests", "scripts"):
            shutil.copytree(ROOT / part, copy / part)
        target = copy / "src" / "lotushill" / item.file
        text = target.read_text(encoding="utf-8")
        if item.code not in text:
            return False, "the code to break is not there"
        target.write_text(text.replace(item.code, item.broken), encoding="utf-8")
        try:
            done = _run_tests(copy, item.tests)
        except subprocess.TimeoutExpired:
            return False, f"not over after {_SECONDS} s"
        last = (done.stdout.strip().splitlines() or ["nothing printed"])[-1]
        return done.returncode == 1 and " failed" in last and not last.endswith(" 0 failed"), last


def _run_tests(copy: Path, tests: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, str(copy / "scripts" / "run_tests.py"), tests],
        capture_output=True,
        text=True,
        timeout=_SECONDS,
        check=False,
        cwd=copy,
        env=os.environ | {"PYTHONPATH": str(copy / "src")},
    )


def main() -> int:
    """Break every rule and print a table; exit 1 if any proof still passes."""
    chosen = [item for item in BREAKS if not sys.argv[1:] or sys.argv[1] in item.rule]
    with ThreadPoolExecutor(_PARALLEL) as pool:
        results = list(pool.map(proof_fails, chosen))
    print("| rule | broken in | proof | fails |\n|---|---|---|---|")
    for item, (fails, last) in zip(chosen, results, strict=True):
        word = "yes" if fails else f"NO: {last}"
        print(f"| {item.rule} | `{item.file}` | `{item.tests}` | {word} |")
    return 0 if all(fails for fails, _ in results) else 1


if __name__ == "__main__":
    sys.exit(main())
