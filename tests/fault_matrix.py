"""The product's promises, the faults that may occur, and the tests that prove each promise.

docs/fault-matrix.md is generated from this module, and tests.test_pages checks that the page is up
to date and that the tests named here exist.
"""

from __future__ import annotations

from dataclasses import dataclass

_REQUEST_PATH = "tests.requests.test_request_path"
_CROWDS = "tests.clients.test_crowds"
_UNFRAMED = "tests.requests.test_unframed_streams.TestUnframedStreams"
_VERSIONS = "tests.requests.test_stream_versions"
_ORIGINS = "tests.versions.test_stream_origins.TestStreamOrigins"
_STORE = "tests.platform.test_object_store"
_PARTITIONS = "tests.soak.test_partitions.TestPartitions"
_DIALER = "tests.requests.test_upstream_dialer.TestUpstreamDialer"
_RELAY = "tests.relaying.test_relay_server.TestRelayServer"
_SILENT_CONNECTIONS = "tests.peering.test_silent_connections.TestSilentConnections"
_MEMBER = "tests.membership.test_membership.TestMembership"
_FLEET = "tests.placement.test_fleet.TestEngines"
_TIERS = "tests.requests.test_tiers"
_QUEUEING = "tests.scheduling.test_queueing_client.TestQueueing"
_CLIENT = "tests.scheduling.test_placement_client.TestPlacementClient"
_LOAD = "tests.scheduling.test_shared_load.TestSharedLoad"
_EDITOR = "tests.contracts.test_editor.TestEditor"
_PROGRAM = "tests.console.test_gateway_program.TestGatewayProgram"
_VIEWS = "tests.views.test_views"
_DUTIES = "tests.duties.test_duty_runner.TestDuties"
_LEASE = "tests.duties.test_lease.TestLease"
_TRUE_TIME = "tests.duties.test_true_time.TestTrueTime"
_REPLAY = "tests.load.policy.test_replay.TestBursts"
_RETURNS = "tests.load.policy.test_replay.TestReturns"
_RETURN_GOSSIP = "tests.peering.test_return_gossip.TestReturnGossip"
_QUARANTINE = "tests.requests.test_quarantine"
_HOLDS = "tests.quarantine.test_quarantine.TestQuarantine"
_HOLD_STORE = "tests.quarantine.test_hold_store.TestHoldStore"
_ENTRIES = "tests.platform.test_upstreams"
_SUSPENSION = "tests.requests.test_suspension"
_COOLDOWN = "tests.requests.test_cooldowns"
_COOLDOWNS = "tests.availability.test_cooldowns"
_LEAVING = "tests.requests.test_leaving.TestOneGateway"
_LEAVING_GOSSIP = "tests.peering.test_leaving_gossip.TestLeavingGossip"
_LIMIT = "tests.requests.test_limit.TestOneGateway"
_FLEET_LIMITS = "tests.load.limits.test_emulated_fleet"
_MOVES = "tests.requests.test_moves.TestMoves"
_MOVE_FAULTS = "tests.requests.test_move_faults.TestMoveFaults"
_NO_MEMORY = "tests.requests.test_move_faults.TestUpstreamsThatAcceptNoMemory"
_HANDOVER = "tests.requests.test_handover.TestHandover"
_TRUNCATED = "tests.requests.test_truncated_by_gateway.TestTruncatedByGateway"
_TRIES = "tests.requests.test_continuation_tries.TestContinuationTries"
_STOP = "tests.moves.test_stop_conditions.TestStopObstacle"
_RESERVED = "tests.requests.test_retry_budget.TestReservedRetries"
_SILENT = "tests.requests.test_silent_upstream"
_TEAMS = "tests.load.policy.test_teams"
_TEAM_LIMITS = "tests.limits.test_team_limits.TestTeamLimits"
_DEADLY_PARTS = "tests.quarantine.test_deadly_parts.TestDeadlyParts"
_DEADLY_PARTS_SOAK = (
    "tests.soak.test_soak.TestSoak"
    ".test_hardly_any_request_with_a_deadly_part_is_sent_after_the_fifth_crash"
)
_PART_VERDICT = "tests.quarantine.test_part_suspects.TestVerdict"
_ISOLATION = "tests.requests.test_isolation_policy.TestIsolationPolicy"


@dataclass(frozen=True)
class Case:
    """One fault under one promise; open if it has no proofs, with the reason in `note`."""

    fault: str
    proofs: tuple[str, ...] = ()
    note: str = ""


@dataclass(frozen=True)
class Promise:
    """One guarantee, the users' rules that it covers, and its cases."""

    text: str
    rules: str
    cases: tuple[Case, ...]


PROMISES = (
    Promise(
        "Each client gets the complete answer to its own request, or none that looks complete.",
        "MIXED, ORDER",
        (
            Case(
                "a truncated answer, or bytes that are not an answer",
                (
                    f"{_REQUEST_PATH}.TestCompleteAnswers.test_a_truncated_answer_is_not_a_success",
                    f"{_REQUEST_PATH}.TestCompleteAnswers.test_malformed_answer_bytes_are_not_a_success",
                ),
            ),
            Case(
                "an answer without length, ended or reset",
                (
                    f"{_REQUEST_PATH}.TestCompleteAnswers.test_an_answer_without_length_ends_with_its_connection",
                    f"{_REQUEST_PATH}.TestCompleteAnswers.test_a_reset_answer_without_length_is_not_complete",
                ),
            ),
            Case(
                "a stream without length and chunks that its upstream closes inside an event",
                (
                    f"{_UNFRAMED}.test_a_stream_that_ends_inside_an_event_is_not_complete",
                    f"{_UNFRAMED}.test_a_stream_that_ends_before_its_first_event_is_not_complete",
                    f"{_UNFRAMED}.test_a_resumable_stream_that_ends_inside_an_event_continues",
                    f"{_UNFRAMED}."
                    "test_a_run_that_continued_from_its_backup_is_not_complete_inside_an_event",
                ),
            ),
            Case(
                "such a stream of a run that is stopped in order to be moved",
                (
                    f"{_UNFRAMED}ThatMove."
                    "test_a_stopped_stream_that_ends_between_events_continues_at_its_target",
                    f"{_UNFRAMED}ThatMove."
                    "test_a_run_that_ends_by_itself_while_it_is_to_be_stopped_is_complete",
                ),
            ),
            Case(
                "an encoded body",
                (f"{_REQUEST_PATH}.TestCompleteAnswers.test_an_encoded_body_is_not_forwarded",),
            ),
            Case(
                "surplus answers, immediate or late",
                (
                    f"{_REQUEST_PATH}.TestCompleteAnswers.test_a_surplus_answer_is_not_given_to_the_next_request",
                    f"{_REQUEST_PATH}.TestCompleteAnswers."
                    "test_a_late_surplus_answer_before_the_next_one_is_skipped",
                ),
            ),
            Case(
                "several requests on one connection",
                (
                    f"{_REQUEST_PATH}.TestCompleteAnswers.test_two_requests_on_one_connection_get_their_own_answers",
                ),
            ),
            Case(
                "a stream interrupted within an event",
                (
                    "tests.requests.test_event_stream.TestEventSplitter."
                    "test_a_resumed_run_does_not_repeat_the_partial_event_of_a_broken_one",
                    f"{_REQUEST_PATH}.TestStreams.test_a_stream_continues_after_the_last_complete_event",
                ),
            ),
            Case(
                "an interrupted stream that may not be resumed",
                (
                    f"{_REQUEST_PATH}.TestStreams.test_a_stream_that_may_not_be_resumed_is_visibly_truncated",
                ),
            ),
            Case(
                "an interrupted stream with a backup of its memory at another upstream",
                (
                    f"{_REQUEST_PATH}.TestStreams.test_a_stream_with_a_backup_continues_there_as_the_same_run",
                    f"{_REQUEST_PATH}.TestStreams.test_a_backup_that_refuses_for_a_moment_is_asked_again",
                    f"{_REQUEST_PATH}.TestStreams."
                    "test_a_backup_that_may_have_run_the_request_is_not_asked_again",
                ),
            ),
        ),
    ),
    Promise(
        "A stream goes on at the software version that began it, or is refused as not run.",
        "ORDER, LOST",
        (
            Case(
                "its upstream breaks off, falls silent or leaves, and others have another version",
                (
                    f"{_VERSIONS}.TestStreamVersions."
                    "test_another_attempt_is_made_at_the_version_that_began_the_stream",
                    f"{_VERSIONS}.TestStreamVersions."
                    "test_a_silent_upstream_is_replaced_at_the_version_that_began_the_stream",
                    f"{_VERSIONS}.TestStreamVersions."
                    "test_a_backup_is_kept_at_the_version_of_its_run",
                    f"{_VERSIONS}.TestStreamVersions."
                    "test_a_run_is_moved_to_the_version_that_began_its_stream",
                ),
            ),
            Case(
                "no upstream of its version is left",
                (
                    f"{_VERSIONS}.TestStreamVersions."
                    "test_without_an_upstream_of_its_version_a_stream_is_truncated",
                    f"{_VERSIONS}.TestTakeUps."
                    "test_a_stream_without_an_upstream_of_its_version_is_refused_at_once",
                ),
            ),
            Case(
                "its version is full, or has two upstreams left under high load",
                (
                    "tests.waiting.test_admission_queue.TestAdmissionQueue."
                    "test_a_stream_bound_to_a_full_version_does_not_hold_up_others",
                    "tests.placement.test_version_reserve.TestVersionReserve."
                    "test_the_last_slots_of_a_scarce_version_are_left_to_its_streams",
                ),
            ),
            Case(
                "an instance restarts under its name with another version",
                (
                    f"{_VERSIONS}.TestStreamVersions."
                    "test_a_later_incarnation_of_another_version_is_another_upstream",
                ),
            ),
            Case(
                "its client takes it up at another gateway, after the one that had it was killed",
                (
                    f"{_ORIGINS}.test_every_gateway_finds_the_version",
                    f"{_ORIGINS}.test_the_version_outlives_the_gateway_and_all_owners_but_one",
                    f"{_ORIGINS}.test_a_gateway_that_has_just_started_finds_the_version",
                ),
            ),
            Case(
                "a hall is cut off, or datagrams between gateways are lost",
                (
                    f"{_ORIGINS}.test_a_hall_that_is_cut_off_finds_what_began_before",
                    f"{_ORIGINS}.test_lost_datagrams_are_made_up_for",
                ),
            ),
            Case(
                "nobody knows its version",
                (
                    f"{_ORIGINS}.test_what_nobody_knows_is_refused_at_once",
                    f"{_VERSIONS}.TestTakeUps."
                    "test_a_stream_whose_version_nobody_knows_is_refused_as_not_run",
                ),
            ),
            Case(
                "versions are rolled while clients leave and gateways and engines are killed",
                (
                    "tests.soak.test_soak.TestSoak."
                    "test_no_stream_goes_on_at_another_version_than_the_one_that_began_it",
                ),
            ),
            Case(
                "all gateways are lost within the life of a stream",
                note="its version is not known any more; it goes on with one version in service",
            ),
        ),
    ),
    Promise(
        "An upstream runs what the client sent, for the team of the client's key.",
        "UNASKED, ROUTE",
        (
            Case(
                "forged headers",
                (
                    f"{_REQUEST_PATH}.TestForwarding."
                    "test_method_target_and_body_are_unchanged_and_the_key_is_removed",
                    "tests.platform.test_request_head.TestForwarded."
                    "test_the_key_the_forged_team_and_hop_headers_are_not_forwarded",
                ),
            ),
            Case(
                "a chunked body",
                (f"{_REQUEST_PATH}.TestForwarding.test_a_chunked_body_arrives_complete",),
            ),
            Case(
                "an address reused by another service",
                (
                    "tests.platform.test_upstream_answer.TestNotExecuted.test_which_answers_state_that_nothing_ran",
                ),
            ),
        ),
    ),
    Promise(
        "A request that may not be repeated runs at most once, and a refused request has not run.",
        "TWICE, REFUSED",
        (
            Case(
                "a reset after the first byte",
                (
                    f"{_REQUEST_PATH}.TestAtMostOnce.test_after_a_reset_a_request_that_may_run_once_is_not_retried",
                ),
            ),
            Case(
                "an interrupted stream whose backup is missing",
                (
                    f"{_REQUEST_PATH}.TestStreams."
                    "test_a_stream_whose_backup_is_missing_is_truncated_and_not_run_again",
                ),
            ),
            Case(
                "an upstream that is full",
                (
                    f"{_REQUEST_PATH}.TestAtMostOnce."
                    "test_a_rejection_is_retried_elsewhere_and_then_reported_as_not_run",
                ),
            ),
            Case(
                "an unreachable upstream",
                (f"{_REQUEST_PATH}.TestAtMostOnce.test_an_unreachable_upstream_spends_no_retry",),
            ),
            Case(
                "the request times out",
                (
                    f"{_REQUEST_PATH}.TestTime."
                    "test_after_a_timeout_the_answer_does_not_state_that_nothing_ran",
                ),
            ),
            Case(
                "the settings tree allows more attempts than the platform",
                (
                    "tests.contracts.test_effective.TestInheritance."
                    "test_the_settings_tree_never_increases_the_number_of_attempts",
                ),
            ),
        ),
    ),
    Promise(
        "Retries stay within the route's bound and the fleet's budget, in every window.",
        "BUDGET",
        (
            Case(
                "many upstreams fail",
                (
                    f"{_REQUEST_PATH}.TestAtMostOnce.test_never_more_upstreams_than_the_route_allows",
                    f"{_REQUEST_PATH}.TestAtMostOnce.test_without_retry_budget_nothing_is_retried",
                ),
            ),
            Case(
                "all gateways retry at once",
                (
                    "tests.requests.test_retry_budget.TestRetryBudget."
                    "test_gateways_that_each_spend_the_maximum_stay_within_the_budget",
                    f"{_RESERVED}.test_gateways_that_reserve_stay_within_the_budget_in_every_window",
                ),
            ),
            Case(
                "partitioned or newly started gateways",
                (
                    "tests.requests.test_retry_budget.TestFleetOfBudgets."
                    "test_the_sum_stays_within_the_budget_while_gateways_join_and_restart",
                    "tests.requests.test_retry_budget.TestFleetOfBudgets."
                    "test_without_the_number_of_gateways_only_the_share_of_own_requests_is_spent",
                ),
            ),
        ),
    ),
    Promise(
        "A queued request is placed once, or refused while the client can still use the refusal.",
        "TIER",
        (
            Case(
                "the scheduler that queues it is killed, frozen or partitioned",
                (
                    f"{_QUEUEING}.test_a_lost_scheduler_is_passed_over_and_the_time_waited_is_kept",
                    f"{_QUEUEING}.test_a_late_placement_by_a_frozen_scheduler_is_given_up",
                ),
            ),
            Case(
                "a query or an answer is lost, duplicated or late",
                (
                    f"{_QUEUEING}.test_one_lost_datagram_does_not_lose_the_place_in_the_queue",
                    f"{_QUEUEING}.test_a_lost_answer_is_repeated_on_the_next_renewal",
                    f"{_QUEUEING}.test_an_answer_that_crosses_a_renewal_is_used_once",
                ),
            ),
            Case(
                "its client disconnects or its gateway leaves",
                (
                    f"{_QUEUEING}.test_the_queue_entry_is_given_up_when_the_client_leaves",
                    "tests.scheduling.test_placement_responder.TestPlacementResponder."
                    "test_requests_of_a_gateway_that_has_left_are_not_placed",
                ),
            ),
            Case(
                "the queue is full",
                (
                    "tests.scheduling.test_placement_responder.TestPlacementResponder."
                    "test_a_request_is_refused_at_once_when_the_queue_is_full",
                ),
            ),
            Case(
                "the engines of a hall are withdrawn before a burst",
                (
                    "tests.load.policy.test_replay.TestWithdrawn."
                    "test_urgent_requests_are_served_while_longer_ones_start",
                ),
            ),
        ),
    ),
    Promise(
        "A client that disconnects frees its upstream; one that stays gets an answer in time.",
        "GONE, CONFIG",
        (
            Case(
                "a client disconnects",
                (
                    f"{_REQUEST_PATH}.TestTime.test_a_client_disconnect_ends_the_work_of_the_upstream",
                ),
            ),
            Case(
                "a deadline shorter than the route's timeout",
                (f"{_REQUEST_PATH}.TestTime.test_the_clients_deadline_counts_if_it_is_shorter",),
            ),
            Case(
                "a request head that never ends",
                (
                    "tests.requests.test_client_protocol.TestClientProtocol."
                    "test_a_head_that_never_ends_is_turned_away_as_not_run",
                ),
            ),
        ),
    ),
    Promise(
        "No crowd of clients ends a gateway or keeps it from serving others.",
        "FAULT, REFUSED",
        (
            Case(
                "heads and empty lines without end",
                (
                    f"{_CROWDS}.TestHeads.test_heads_without_end",
                    f"{_CROWDS}.TestEmptyLines.test_empty_lines_without_end_before_a_request",
                ),
            ),
            Case(
                "many large bodies, whole or without their end",
                (
                    f"{_CROWDS}.TestBodies.test_whole_bodies_at_once",
                    f"{_CROWDS}.TestBodies.test_bodies_that_stop_just_short_of_their_end",
                ),
            ),
            Case(
                "requests sent ahead whose answers are not taken",
                (f"{_CROWDS}.TestSentAhead.test_requests_sent_ahead_whose_answers_are_not_taken",),
            ),
            Case(
                "more connections than descriptors",
                (f"{_CROWDS}.TestConnections.test_connections_that_send_nothing",),
            ),
            Case(
                "strangers at the port of the peers",
                (
                    f"{_CROWDS}.TestPeers"
                    ".test_long_frames_of_strangers_that_stop_just_short_of_their_end",
                ),
            ),
            Case(
                "one request of the largest legal size",
                (f"{_CROWDS}.TestOneLegalRequest.test_with_the_longest_head_and_body",),
            ),
        ),
    ),
    Promise(
        "An upstream that answers nothing but failures gets a few requests.",
        "MIXED",
        (
            Case(
                "two of five upstreams fail at once",
                (
                    "tests.placement.test_ejections.TestReplays"
                    ".test_engines_that_fail_all_requests_get_a_few",
                ),
            ),
            Case(
                "answers whose status is none",
                ("tests.requests.test_invalid_status.TestInvalidStatus.test_it_costs_one_attempt",),
            ),
        ),
    ),
    Promise(
        "An upstream that asks for a cooldown gets no requests from this gateway until it ends.",
        "BUDGET",
        (
            Case(
                "one, some or all upstreams of a service ask for it",
                (
                    f"{_COOLDOWN}.TestOneGateway.test_upstreams_without_a_cooldown_get_all_requests",
                    f"{_COOLDOWN}.TestOneGateway.test_no_upstream_gets_requests_while_all_are_in_cooldown",
                    f"{_COOLDOWN}.TestOneGateway.test_an_upstream_that_may_have_run_the_request_gets_a_cooldown",
                ),
            ),
            Case(
                "the upstream was chosen without knowledge of the cooldown, or before it",
                (
                    f"{_COOLDOWN}.TestEverySend.test_a_placement_that_ignores_the_cooldown_is_not_used",
                    f"{_COOLDOWN}.TestEverySend.test_a_request_that_waited_for_a_connection_is_placed_again",
                    f"{_COOLDOWN}.TestEverySend.test_a_run_is_not_continued_at_an_upstream_in_cooldown",
                ),
            ),
            Case(
                "schedulers choose the upstream, or none of them responds",
                (
                    "tests.scheduling.test_placer.TestBarredUpstreams.test_upstreams_in_cooldown_are_excluded_from_the_query",
                    "tests.scheduling.test_placer.TestBarredUpstreams.test_upstreams_in_cooldown_are_not_chosen_without_a_scheduler",
                ),
            ),
            Case(
                "the host is suspended",
                (f"{_COOLDOWN}.TestOneGateway.test_a_cooldown_ends_in_time_after_a_suspension",),
            ),
            Case(
                "cooldowns overlap, are shorter, or are malformed",
                (
                    f"{_COOLDOWNS}.TestCooldowns.test_overlapping_cooldowns_are_all_observed_and_end_with_the_last",
                    f"{_COOLDOWN}.TestOneGateway.test_malformed_retry_after_values_are_ignored",
                    "tests.platform.test_upstream_answer.TestCooldown.test_any_bytes_give_a_cooldown_within_bounds",
                ),
            ),
            Case(
                "the upstream's entry lapses during the cooldown",
                (
                    f"{_COOLDOWNS}.TestCooldowns.test_the_cooldown_of_an_unknown_upstream_is_kept_until_its_end",
                ),
            ),
            Case(
                "the cooldown ends at many gateways at once",
                (
                    f"{_COOLDOWNS}.TestCooldowns.test_after_a_cooldown_one_probe_is_sent_and_the_others_after_its_answer",
                    f"{_COOLDOWNS}.TestGateways.test_no_gateway_sends_more_than_one_request_per_cooldown",
                ),
            ),
            Case(
                "all upstreams are in cooldown, and clients wait",
                (
                    "tests.availability.test_wait_policy.TestReplay.test_waiting_for_the_first_end_serves_more_than_refusing",
                    "tests.availability.test_wait_policy.TestCooldownWait.test_more_urgent_requests_check_first",
                ),
            ),
        ),
    ),
    Promise(
        "A team that exceeds its share of scarce capacity takes none from the other teams.",
        "Starved",
        (
            Case(
                "one team at eight times its usual load, at and above the capacity of the engines",
                (
                    f"{_TEAMS}.TestTeamAtEightTimes.test_at_the_capacity_of_the_engines",
                    f"{_TEAMS}.TestTeamAtEightTimes.test_beside_twice_as_much",
                    f"{_TEAMS}.TestTeamAtThirtyTimes.test_a_team_at_thirty_times_is_not_starved_itself",
                    f"{_TEAMS}.TestTiers.test_no_urgent_request_is_delayed_for_a_share",
                ),
            ),
            Case(
                "a team limit: gateways are killed, frozen, partitioned, join, restart, disagree",
                (
                    f"{_TEAM_LIMITS}.test_kills_partitions_freezes_and_joins_do_not_break_the_limit",
                    f"{_TEAM_LIMITS}.test_with_two_limit_owners_at_once_the_limit_is_at_most_doubled",
                ),
            ),
        ),
    ),
    Promise(
        "An upstream that states a limit gets no more than that from all gateways together.",
        "LIMIT",
        (
            Case(
                "one or all upstreams of a service state a limit, in any answer",
                (
                    f"{_LIMIT}.test_requests_over_the_limit_go_to_other_upstreams",
                    f"{_LIMIT}.test_if_all_have_a_limit_requests_over_it_are_refused_as_not_run",
                    f"{_LIMIT}.test_any_answer_can_state_a_limit",
                    f"{_LIMIT}.test_the_head_of_a_stream_states_the_limit_while_the_stream_continues",
                    f"{_LIMIT}.test_each_statement_of_one_answer_applies",
                ),
            ),
            Case(
                "the upstream was chosen without knowledge of the limit, or to continue a run",
                (
                    f"{_LIMIT}.test_a_request_without_a_permit_spends_neither_a_run_nor_a_retry",
                    f"{_LIMIT}.test_a_run_is_not_continued_without_a_permit",
                    f"{_LIMIT}.test_no_backup_is_kept_at_an_upstream_with_a_limit",
                    "tests.scheduling.test_placer.TestBarredUpstreams.test_an_upstream_without_a_permit_is_excluded_for_its_rank_and_later_ones",
                ),
            ),
            Case(
                "many gateways, with lost datagrams",
                (
                    f"{_FLEET_LIMITS}.TestWithoutFaults.test_arrivals_stay_within_the_limit_and_use_most_of_it",
                    f"{_FLEET_LIMITS}.TestWithoutFaults.test_the_limit_is_kept_and_used_with_hundreds_of_gateways",
                    "tests.soak.test_limits.TestLimits.test_all_gateways_together_keep_to_the_limits_of_two_engines",
                ),
            ),
            Case(
                "gateways are killed, frozen, partitioned, join, restart, disagree on the owner",
                (
                    f"{_FLEET_LIMITS}.TestFaults.test_faults_of_gateways_do_not_break_the_limit",
                    f"{_FLEET_LIMITS}.TestFaults.test_faults_do_not_break_a_high_limit",
                    "tests.limits.test_limit_owners.TestLimitOwners.test_the_fractions_of_both_sides_of_a_partition_are_at_most_one",
                ),
            ),
            Case(
                "it rises, falls, ends, or is malformed; answers and updates are out of order",
                (
                    f"{_FLEET_LIMITS}.TestChanges.test_a_lower_limit_holds_soon_for_all",
                    f"{_FLEET_LIMITS}.TestChanges.test_a_higher_limit_is_used_soon",
                    f"{_FLEET_LIMITS}.TestChanges.test_after_its_end_no_gateway_requests_permits",
                    f"{_LIMIT}.test_a_malformed_limit_does_not_end_the_limit",
                    f"{_LIMIT}.test_a_later_incarnation_has_no_limit",
                    "tests.availability.test_stated_limits.TestStatedLimits.test_successive_reports_lead_to_the_last_one_in_any_order",
                ),
            ),
        ),
    ),
    Promise(
        "An upstream that leaves gets no new requests, and a running one is not dropped.",
        "DRAIN",
        (
            Case(
                "it announces that it leaves only in answers, while its entry says it is ready",
                (
                    f"{_LEAVING}.test_a_complete_answer_that_announces_it_is_the_last",
                    f"{_LEAVING}.test_a_refusal_or_a_failure_announces_it_as_well",
                    f"{_LEAVING}.test_the_head_of_a_stream_announces_it_while_the_stream_continues",
                    f"{_LEAVING}.test_a_later_ready_entry_does_not_revoke_it",
                    f"{_LEAVING}.test_a_later_incarnation_is_sent_requests",
                ),
            ),
            Case(
                "one gateway is notified; datagrams are lost, halls are partitioned, gateways join",
                (
                    f"{_LEAVING_GOSSIP}.test_all_gateways_know_within_a_heartbeat",
                    f"{_LEAVING_GOSSIP}.test_gateways_exchange_announcements_after_a_partition",
                    f"{_LEAVING_GOSSIP}.test_gateway_that_joins_later_is_notified",
                ),
            ),
            Case(
                "its entry says that it is draining",
                (
                    f"{_VIEWS}.TestUpstreamView.test_a_draining_upstream_gets_no_requests_and_never_returns",
                ),
            ),
            Case(
                "its entry is removed",
                (
                    f"{_STORE}.TestStoreViews.test_an_upstream_removed_without_an_outage_is_dropped_at_once",
                ),
            ),
            Case(
                "entries lapse while the store is unavailable",
                (
                    f"{_STORE}.TestStoreViews."
                    "test_upstreams_missing_after_an_outage_are_kept_for_a_while",
                ),
            ),
            Case(
                "an older list arrives later",
                (f"{_VIEWS}.TestUpstreamView.test_an_older_list_changes_nothing",),
            ),
        ),
    ),
    Promise(
        "A run is moved completely and once, or stays; memory that no run needs is freed.",
        "TWICE, ORDER, GONE, BUDGET",
        (
            Case(
                "its upstream leaves",
                (
                    f"{_MOVES}.test_a_run_goes_on_at_another_upstream_as_the_same_run",
                    f"{_MOVES}.test_a_resumable_run_is_moved_as_well",
                ),
            ),
            Case(
                "its upstream leaves with many runs",
                (
                    "tests.requests.test_moves.TestReclaim.test_runs_are_moved_before_the_upstream_ends",
                    "tests.moves.test_move_plan.TestReclaim.test_fewer_than_one_in_twenty_movable_runs_are_cut_off",
                ),
            ),
            Case(
                "the target has no room, or fills up",
                (
                    f"{_MOVES}.test_a_target_without_room_is_followed_by_another",
                    f"{_MOVES}.test_with_no_room_anywhere_the_run_stays",
                    f"{_MOVES}.test_a_target_that_fills_up_sends_the_run_back_to_its_source",
                ),
            ),
            Case(
                "the target refuses the run, or is gone",
                (
                    f"{_MOVES}.test_a_target_that_refuses_the_run_sends_it_back_to_its_source",
                    f"{_MOVES}.test_a_run_whose_target_is_gone_returns_to_its_source",
                ),
            ),
            Case(
                "the target fails after the handover",
                (
                    f"{_MOVES}.test_a_target_that_fails_after_the_handover_truncates_the_answer",
                    f"{_MOVES}.test_a_repeatable_run_continues_elsewhere_after_its_target_fails",
                ),
            ),
            Case(
                "the source fails before or after the copy",
                (
                    f"{_MOVES}.test_a_source_that_fails_before_the_copy_truncates_a_one_time_run",
                    f"{_MOVES}.test_a_run_continues_from_the_copy_after_its_source_fails",
                ),
            ),
            Case(
                "an answer to a call is lost, or says that the call is in progress",
                (
                    f"{_MOVES}.test_a_copy_whose_answer_was_lost_is_requested_again",
                    f"{_MOVES}.test_a_lost_answer_to_the_stop_does_no_harm",
                    f"{_MOVES}.test_a_call_in_progress_is_awaited",
                    f"{_MOVES}.test_a_source_that_does_not_know_the_run_is_left_alone",
                ),
            ),
            Case(
                "the end of the stopped stream is lost",
                (
                    f"{_MOVES}.test_a_stream_whose_end_is_lost_is_ended_once_its_run_has_stopped",
                    f"{_MOVES}.test_a_run_that_may_have_stopped_is_ended_if_no_event_arrives",
                ),
            ),
            Case(
                "one step fails in any way, or two at once",
                (
                    f"{_MOVE_FAULTS}.test_each_fault_alone",
                    f"{_MOVE_FAULTS}.test_each_fault_of_the_stop_with_each_fault_of_the_target",
                    f"{_MOVE_FAULTS}.test_each_fault_of_the_target_with_each_fault_of_the_source",
                    f"{_MOVE_FAULTS}.test_faults_at_all_steps_at_once",
                ),
            ),
            Case(
                "its source does not stop it, or does not answer the stop",
                (
                    f"{_TRUNCATED}.test_a_run_whose_engine_did_not_stop_it_is_not_closed",
                    f"{_TRUNCATED}.test_a_run_whose_stop_was_not_answered_is_not_closed_in_a_pause",
                    f"{_HANDOVER}.test_a_run_that_was_not_stopped_stays_at_its_source",
                    f"{_HANDOVER}.test_a_run_that_its_source_runs_after_unanswered_stops_stays_there",
                    f"{_HANDOVER}.test_a_silent_source_that_accepts_connections_is_never_closed",
                    f"{_HANDOVER}.test_a_source_that_resets_each_call_is_not_asked_without_pause",
                ),
            ),
            Case(
                "its source closes its listener, and completes its streams",
                (
                    f"{_HANDOVER}.test_a_source_that_accepts_no_connections_but_sends_events_is_not_closed",
                    f"{_NO_MEMORY}.test_a_source_that_accepts_no_connections_any_more_completes_its_stream",
                ),
            ),
            Case(
                "its source answers a stop late, or forgets the run",
                (
                    f"{_MOVE_FAULTS}.test_a_stop_that_takes_effect_after_its_timeout_does_no_harm",
                    f"{_HANDOVER}.test_a_run_is_stopped_even_if_an_event_arrives_after_the_source_has_forgotten_it",
                    f"{_HANDOVER}.test_a_copy_is_kept_if_the_stream_ends_while_another_call_is_in_progress",
                ),
            ),
            Case(
                "the target or the source refuses, fails or resets the stopped run",
                (
                    f"{_TRUNCATED}.test_memory_that_each_engine_refuses_for_a_moment_is_asked_for_again",
                    f"{_TRUNCATED}.test_a_run_that_fails_at_its_target_returns_to_its_source",
                    f"{_NO_MEMORY}.test_a_run_whose_target_resets_each_request_returns_to_its_source",
                    f"{_NO_MEMORY}.test_a_run_whose_source_resets_each_request_continues_at_its_target",
                    f"{_TRIES}.test_no_other_one_is_asked_while_one_may_work_on_the_run",
                ),
            ),
            Case(
                "the target is silent after it was sent the run",
                (
                    f"{_NO_MEMORY}.test_a_run_whose_target_is_silent_returns_to_its_source",
                    f"{_NO_MEMORY}.test_a_resumable_run_whose_target_is_silent_returns_to_its_source",
                ),
            ),
            Case(
                "a way there or back is not open before the stop",
                (
                    f"{_STOP}.test_a_slow_run_is_stopped_only_if_all_ways_are_open",
                    f"{_STOP}.test_a_condition_that_worsens_never_permits_a_stop",
                ),
            ),
            Case(
                "upstreams begin to leave, or ask for a cooldown, during the move",
                (
                    f"{_MOVE_FAULTS}.test_all_upstreams_begin_to_leave_meanwhile",
                    f"{_MOVE_FAULTS}.test_all_upstreams_ask_for_a_cooldown_meanwhile",
                    f"{_MOVE_FAULTS}.test_the_target_begins_to_leave_after_the_run_has_reached_it",
                ),
            ),
            Case(
                "its client disconnects during the move",
                (
                    f"{_MOVES}.test_a_client_that_disconnects_during_a_move_leaves_no_memory_held",
                    f"{_MOVE_FAULTS}.test_the_client_leaves_meanwhile",
                    f"{_MOVE_FAULTS}.test_the_client_leaves_while_a_lost_source_is_checked",
                    f"{_HANDOVER}.test_a_handover_abandoned_at_any_time_frees_its_memory",
                ),
            ),
            Case(
                "its gateway stops during the move",
                (f"{_PROGRAM}.test_a_planned_stop_frees_the_memory_of_runs_that_were_being_moved",),
            ),
            Case(
                "no retry is left",
                (
                    f"{_MOVES}.test_without_a_retry_left_no_run_is_stopped",
                    f"{_TRUNCATED}.test_without_a_retry_for_the_way_back_no_run_is_stopped",
                    f"{_MOVE_FAULTS}.test_few_retries_are_left",
                    f"{_RESERVED}.test_no_reservation_outlasts_its_request",
                ),
            ),
            Case(
                "only its client stops reading, or its gateway is frozen",
                (
                    f"{_MOVES}.test_a_run_is_not_stalled_while_its_client_does_not_read",
                    f"{_MOVES}.test_a_process_that_was_frozen_itself_moves_no_run",
                ),
            ),
            Case(
                "the run stalls",
                (
                    f"{_MOVES}.test_a_stalled_run_is_moved_with_its_memory",
                    f"{_MOVES}.test_a_stalled_repeatable_run_continues_without_its_memory",
                    f"{_MOVES}.test_a_repeatable_run_without_a_first_event_continues_elsewhere",
                ),
            ),
        ),
    ),
    Promise(
        "A silent upstream is given up only when another one has the request.",
        "LOST, BUDGET, TWICE",
        (
            Case(
                "no attempt, retry, other upstream, room or permit is left",
                (
                    f"{_SILENT}.TestStreams.test_without_an_attempt_left_a_paused_stream_is_read_on",
                    f"{_SILENT}.TestStreams.test_without_a_retry_left_a_paused_stream_is_read_on",
                    f"{_SILENT}.TestStreams.test_without_another_upstream_a_paused_stream_is_read_on",
                    f"{_SILENT}.TestStreams.test_without_room_elsewhere_a_paused_stream_is_read_on",
                    f"{_SILENT}.TestStreams."
                    "test_while_no_other_upstream_accepts_requests_a_paused_stream_is_read_on",
                ),
            ),
            Case(
                "the other upstream refuses the request, fails, or cannot be reached",
                (
                    f"{_SILENT}.TestStreams.test_a_paused_stream_is_read_on_if_others_do_not_accept_it",
                    f"{_SILENT}.TestStreams."
                    "test_a_paused_stream_is_read_on_if_no_other_upstream_can_be_reached",
                    f"{_SILENT}.TestPlainRequests."
                    "test_a_slow_answer_is_awaited_if_others_do_not_accept_the_request",
                    f"{_SILENT}.TestBackups.test_a_paused_stream_whose_backup_is_missing_is_read_on",
                ),
            ),
            Case(
                "it continues, or ends, while it is being replaced",
                (
                    f"{_SILENT}.TestStreams.test_a_stream_that_goes_on_while_it_is_replaced_is_read_on",
                    f"{_SILENT}.TestStreams.test_what_was_reserved_is_released_if_the_stream_goes_on",
                    f"{_SILENT}.TestStreams."
                    "test_a_stream_that_ends_while_it_is_replaced_continues_elsewhere",
                ),
            ),
            Case(
                "it does not continue",
                (
                    f"{_SILENT}.TestStreams.test_a_stalled_stream_is_replaced_at_once_and_then_closed",
                    f"{_SILENT}.TestStreams."
                    "test_a_replacement_is_looked_for_again_while_the_stream_stalls",
                    f"{_SILENT}.TestPlainRequests.test_a_silent_upstream_is_replaced",
                ),
            ),
        ),
    ),
    Promise(
        "A configuration takes effect everywhere within seconds, and never reverts.",
        "CONFIG, DENIED",
        (
            Case(
                "updates in any order",
                (
                    f"{_VIEWS}.TestConfigurationView."
                    "test_updates_in_any_order_never_revert_the_revision",
                ),
            ),
            Case(
                "the store drops its history",
                (f"{_STORE}.TestStoreViews.test_after_a_gap_in_the_history_a_list_is_read",),
            ),
            Case(
                "the store is unavailable",
                (
                    f"{_STORE}.TestStoreViews.test_an_outage_changes_nothing_and_its_start_and_end_are_logged_once",
                ),
            ),
            Case(
                "the store rejects this gateway",
                (f"{_STORE}.TestStoreViews.test_a_peers_view_is_applied_only_if_it_is_newer",),
            ),
            Case(
                "the store rejects the readers of a hall",
                (
                    "tests.membership.test_readers.TestReaders."
                    "test_each_hall_has_enough_readers_served_by_the_store",
                    "tests.peering.test_peers.TestPulls."
                    "test_passive_gateway_pulls_from_its_hall_at_once_and_a_reader_waits",
                ),
            ),
            Case(
                "the store does not notify open watches of a change",
                (
                    "tests.views.test_watcher.TestWatcher."
                    "test_watches_end_soon_and_at_different_times",
                ),
            ),
            Case(
                "open connections to the store and between gateways fall silent without a reset",
                (
                    f"{_SILENT_CONNECTIONS}.test_changes_are_in_force_in_time_after_every_connection_fell_silent",
                    f"{_SILENT_CONNECTIONS}.test_changes_are_in_force_in_time_with_one_reader_in_each_hall",
                    f"{_SILENT_CONNECTIONS}.test_an_edit_of_the_settings_tree_is_in_force_in_time_after_silence",
                    "tests.soak.test_soak.TestSoak."
                    "test_views_are_current_after_open_connections_fell_silent",
                ),
            ),
            Case(
                "only those to the store, or only those between gateways, fall silent",
                (
                    f"{_SILENT_CONNECTIONS}.test_changes_are_in_force_in_time_after_connections_to_the_store_fell_silent",
                    f"{_SILENT_CONNECTIONS}.test_changes_are_in_force_in_time_after_peer_connections_fell_silent",
                    f"{_SILENT_CONNECTIONS}.test_a_lone_reader_has_changes_in_force_in_time",
                ),
            ),
            Case(
                "connections of some or most gateways to all engines hang",
                (
                    f"{_PARTITIONS}.test_most_gateways_serve_while_their_connections_to_engines_hang",
                    f"{_PARTITIONS}.test_all_gateways_of_a_hall_serve_while_their_connections_hang",
                    f"{_DIALER}.test_a_hanging_connection_is_overtaken_by_a_relayed_one",
                ),
            ),
            Case(
                "they are reset, or live on while new ones are refused",
                (
                    f"{_PARTITIONS}.test_most_gateways_serve_while_their_connections_to_engines_are_reset",
                    f"{_PARTITIONS}.test_one_gateway_serves_while_new_connections_to_engines_are_refused",
                    f"{_DIALER}.test_a_refused_connection_is_relayed_at_once",
                ),
            ),
            Case(
                "requests are under way on connections that a partition has made dead",
                (
                    "tests.requests.test_partitioned_connections.TestPartitionedConnections."
                    "test_only_what_may_be_repeated_is_given_up_and_only_on_quiet_direct_connections",
                ),
            ),
            Case(
                "all gateways of a hall are refused by engines, and do not know that of each other",
                (
                    f"{_PARTITIONS}.test_all_gateways_of_a_hall_serve_while_their_connections_are_reset",
                    f"{_DIALER}.test_peers_that_are_refused_as_well_do_not_make_an_upstream_dead",
                ),
            ),
            Case(
                "an engine is dead, and no gateway reaches it",
                (f"{_DIALER}.test_an_upstream_that_nobody_reaches_is_dead_and_not_partitioned",),
            ),
            Case(
                "the gateway that carries a connection ends, or the engine behind it resets",
                (
                    f"{_RELAY}.test_an_answer_without_a_length_is_truncated_if_the_relay_ends",
                    f"{_RELAY}.test_an_answer_without_a_length_is_truncated_if_the_upstream_resets",
                ),
            ),
            Case(
                "other gateways are partitioned as well, or stop",
                (f"{_RELAY}.test_a_gateway_that_is_partitioned_or_stops_says_so_at_once",),
            ),
            Case(
                "the partition from the engines ends",
                (f"{_DIALER}.test_the_end_of_a_partition_is_found_by_a_probe",),
            ),
            Case(
                "overloaded engines fall over if all gateways make them reject too many requests",
                (
                    "tests.soak.test_brittle.TestBrittle."
                    "test_overloaded_engines_that_are_brittle_do_not_fall_over",
                    "tests.placement.test_brittle_services.TestBrittleServices."
                    "test_brittle_upstreams_are_sent_no_more_than_they_have_slots",
                    "tests.limits.test_fleet_slots.TestSlots."
                    "test_all_slots_are_in_use_and_no_engine_falls",
                    "tests.requests.test_slot_permits.TestSlotPermits."
                    "test_no_request_is_sent_while_all_slots_are_held",
                ),
            ),
            Case(
                "brittle engines end and are back together, in turn, or are added",
                (
                    "tests.soak.test_brittle.TestManyDeciders."
                    "test_engines_that_end_and_return_together_do_not_fall_over",
                    "tests.limits.test_fleet_slots.TestSlots."
                    "test_engines_that_end_and_return_together_or_in_turn",
                ),
            ),
            Case(
                "gateways before brittle engines are killed, frozen, cut off or restarted",
                (
                    "tests.limits.test_fleet_slots.TestSlots."
                    "test_gateways_that_are_killed_frozen_cut_off_or_restarted",
                    "tests.limits.test_slot_ledger.TestRejections."
                    "test_two_sides_of_a_partition_together_stay_within_half_of_what_it_bears",
                ),
            ),
            Case(
                "an upstream resets while a relayed connection to it is opened",
                (
                    "tests.relaying.test_relay_server.TestRelayServer."
                    "test_an_upstream_that_resets_while_it_is_connected_to_is_unreachable",
                ),
            ),
            Case(
                "idle connections of the store's client are dead",
                (
                    "tests.links.test_json_client.TestJsonClient."
                    "test_after_a_silent_call_the_next_one_uses_no_connection_from_before",
                ),
            ),
            Case(
                "the connection on which a peer would answer is dead",
                (
                    "tests.links.test_peer_links.TestPeerLinks."
                    "test_an_answer_is_sent_on_the_connection_that_the_peer_has_opened_last",
                ),
            ),
            Case(
                "a slow store is not taken for a silent one",
                (
                    "tests.links.test_json_client.TestAnswerTimeout."
                    "test_calls_to_a_slow_server_are_not_given_up",
                ),
            ),
            Case(
                "a peer sent changes that the gateway's own watch has not received",
                (
                    "tests.views.test_watcher.TestWatcher."
                    "test_changes_received_from_others_are_not_requested_again",
                ),
            ),
            Case(
                "a gateway resumes reading from the store after a passive period",
                (
                    "tests.views.test_watcher.TestWatcher."
                    "test_a_passive_watcher_makes_no_call_and_continues_from_the_revision_of_others",
                ),
            ),
            Case(
                "a malformed configuration",
                (
                    f"{_STORE}.TestStoreViews."
                    "test_a_configuration_that_cannot_be_read_leaves_the_last_one_in_force",
                ),
            ),
            Case(
                "a route or key that this gateway may not have received yet",
                (
                    f"{_SILENT_CONNECTIONS}.test_a_gateway_that_knows_of_a_newer_configuration_is_not_fresh",
                    f"{_REQUEST_PATH}.TestDenials."
                    "test_while_the_view_may_be_stale_unknown_requests_get_a_retry_after",
                    f"{_REQUEST_PATH}.TestDenials.test_without_a_configuration_nothing_is_denied",
                ),
            ),
        ),
    ),
    Promise(
        "Edits of the settings tree are never lost in a race and never partly in force.",
        "the brief",
        (
            Case(
                "two concurrent edits of different values",
                (f"{_EDITOR}.test_disjoint_edits_both_stay",),
            ),
            Case(
                "two concurrent edits of one value",
                (f"{_EDITOR}.test_edits_of_the_same_value_conflict_and_show_both_sides",),
            ),
            Case(
                "the answer of a write is lost",
                (
                    f"{_EDITOR}.test_a_lost_answer_is_resolved_by_reading_back",
                    f"{_EDITOR}.test_a_write_that_may_still_arrive_is_not_made_again",
                ),
            ),
            Case(
                "a faulty edit",
                (
                    "tests.contracts.test_settings_view.TestSettingsView."
                    "test_a_faulty_object_keeps_its_last_good_state_and_is_named",
                ),
            ),
        ),
    ),
    Promise(
        "More urgent requests are not starved by less urgent ones, nor large ones by small ones.",
        "TIER, Sizes, Starved",
        (
            Case(
                "overload",
                (
                    f"{_FLEET}.test_under_overload_long_prompts_are_refused_and_short_ones_are_not",
                    f"{_FLEET}.test_large_and_small_requests_of_a_route_are_refused_alike",
                ),
            ),
            Case(
                "a gateway that just started or placed few requests; others place long prompts",
                (
                    f"{_TIERS}.TestRefusals."
                    "test_an_urgent_request_is_not_the_longest_by_one_gateways_requests",
                    "tests.placement.test_shedding.TestShedding."
                    "test_nothing_is_refused_while_less_urgent_larger_requests_start",
                ),
            ),
            Case(
                "upstreams that are full of less urgent prompts, or of urgent streams",
                (
                    f"{_TIERS}.TestRefusals."
                    "test_urgent_requests_find_room_behind_less_urgent_prompts",
                    f"{_TIERS}.TestRefusals."
                    "test_the_least_urgent_are_refused_while_urgent_ones_fill_the_engines",
                ),
            ),
            Case(
                "an engine out of memory preempts the requests with the lowest priority sent to it",
                (
                    f"{_TIERS}.TestEngines.test_engine_priorities_are_ordered_by_the_tier_of_the_route_first",
                ),
            ),
            Case(
                "a fifth of all answers are lost, or nearly half of all requests fail",
                (),
                "runs that must not run twice are lost; no recent rule break (bench/findings.md)",
            ),
        ),
    ),
    Promise(
        "All gateways that place requests have the same model of each upstream's load.",
        "worth",
        (
            Case(
                "datagrams are lost",
                (f"{_LOAD}.test_after_a_snapshot_both_gateways_agree_whatever_was_lost",),
            ),
            Case(
                "one of these gateways is lost",
                (
                    "tests.peering.test_peers.TestSmallFleet.test_load_reaches_the_others_while_one_gateway_is_down",
                ),
            ),
            Case(
                "a gateway becomes a scheduler",
                (
                    f"{_LOAD}.test_a_gateway_that_becomes_a_scheduler_receives_all_running_requests",
                    "tests.peering.test_peers.TestSmallFleet."
                    "test_new_gateway_pulls_the_model_from_one_other",
                ),
            ),
            Case(
                "a scheduler does not respond",
                (
                    f"{_CLIENT}.test_a_silent_scheduler_is_passed_over",
                    f"{_CLIENT}.test_without_any_answer_the_gateway_decides_alone",
                ),
            ),
            Case(
                "a scheduler answers too late",
                (f"{_CLIENT}.test_a_late_answer_is_given_up",),
            ),
            Case(
                "a gateway joins later",
                (
                    f"{_LOAD}.test_a_late_joiner_receives_all_running_requests_within_some_snapshots",
                ),
            ),
            Case("a gateway is lost", (f"{_LOAD}.test_requests_of_a_lost_gateway_are_dropped",)),
        ),
    ),
    Promise(
        "Gateways discover each other, and detect which are lost.",
        "the brief",
        (
            Case("a crash, with lost packets", (f"{_MEMBER}.test_crashed_member_is_detected",)),
            Case(
                "a partition that heals",
                (f"{_MEMBER}.test_partition_is_detected_on_both_sides_and_heals",),
            ),
            Case(
                "a clock that jumped back",
                (f"{_MEMBER}.test_restarted_member_with_older_incarnation_is_live_again",),
            ),
            Case(
                "replayed and forged packets",
                (
                    f"{_MEMBER}.test_a_replayed_packet_is_counted_and_dropped",
                    f"{_MEMBER}.test_packet_without_state_of_its_sender_is_dropped",
                ),
            ),
        ),
    ),
    Promise(
        "One gateway at a time performs the duties of the fleet, and no window is reported twice.",
        "ONE, Duty",
        (
            Case(
                "the holder is killed, or shut down as planned",
                (
                    f"{_DUTIES}.test_a_killed_holder_is_replaced_and_no_window_is_missed",
                    f"{_DUTIES}.test_a_stopped_holder_hands_over_within_a_second",
                    f"{_DUTIES}.test_a_holder_that_stops_while_it_renews_its_lease_hands_over",
                ),
            ),
            Case(
                "power failure of the whole fleet",
                (
                    f"{_DUTIES}.test_after_all_power_is_lost_the_open_window_is_reported_from_the_store",
                ),
            ),
            Case(
                "the holder is frozen and resumes",
                (f"{_DUTIES}.test_a_former_holder_that_wakes_up_changes_nothing",),
            ),
            Case(
                "the holder is disconnected from the store, and fencing tokens are not checked",
                (
                    f"{_DUTIES}.test_without_checked_tokens_a_holder_without_the_store_stops_acting",
                    f"{_LEASE}.test_without_checked_tokens_work_ends_half_a_lease_after_the_last_write",
                ),
            ),
            Case(
                "the holder is disconnected from the platform",
                (f"{_DUTIES}.test_a_holder_that_the_platform_does_not_answer_is_replaced",),
            ),
            Case(
                "calls without an answer that are carried out later",
                (f"{_DUTIES}.test_reports_that_are_carried_out_late_are_the_same",),
            ),
            Case(
                "writes to the store without an answer, and an outage of the store",
                (
                    f"{_DUTIES}.test_writes_without_answers_make_no_second_holder",
                    f"{_DUTIES}.test_an_outage_of_the_store_costs_reports_and_never_doubles_one",
                ),
            ),
            Case(
                "clocks that step",
                (
                    f"{_DUTIES}.test_a_clock_that_is_seconds_off_shifts_no_window",
                    f"{_TRUE_TIME}.test_a_minority_of_wrong_clocks_does_not_change_the_time",
                ),
            ),
            Case(
                "several of these faults, single and overlapping, with 3 to 9 gateways",
                (f"{_DUTIES}.test_random_histories_keep_the_invariants",),
            ),
            Case(
                "an error in the code of a duty",
                (
                    "tests.process.test_supervisor.TestSupervisor"
                    ".test_a_fault_is_logged_and_the_task_starts_again_with_a_growing_pause",
                ),
            ),
        ),
    ),
    Promise(
        "More urgent requests find slots during a burst of long requests.",
        "TIER, Prices",
        (
            Case(
                "bursts of long and of the most urgent requests that overlap",
                (f"{_REPLAY}.test_urgent_requests_find_slots_in_a_burst_of_long_ones",),
            ),
            Case(
                "far too few engines",
                (
                    f"{_REPLAY}.test_more_urgent_requests_are_served_while_larger_ones_start",
                    f"{_REPLAY}.test_they_are_served_with_a_third_of_the_engines_needed",
                ),
            ),
        ),
    ),
    Promise(
        "A refused client that returns on time precedes new requests of its tier, at any gateway.",
        "worth",
        (
            Case(
                "long requests at 1.3 times the capacity",
                (
                    f"{_RETURNS}.test_in_a_brief_wave_few_are_refused_again_and_more_are_served",
                    f"{_RETURNS}.test_a_long_wave_earns_no_less_credit",
                ),
            ),
            Case(
                "clients that return at once and often",
                (f"{_RETURNS}.test_clients_that_return_at_once_and_often_gain_nothing",),
            ),
            Case(
                "the scheduler that made the promise is killed",
                (f"{_RETURN_GOSSIP}.test_promises_of_a_killed_scheduler_are_kept_by_the_others",),
            ),
            Case(
                "another gateway becomes a scheduler",
                (
                    f"{_RETURN_GOSSIP}.test_a_gateway_that_becomes_a_scheduler_learns_of_open_promises",
                ),
            ),
            Case(
                "a partition between schedulers",
                (f"{_RETURN_GOSSIP}.test_partitioned_scheduler_loses_only_its_own_promises",),
            ),
            Case(
                "lost updates",
                (f"{_RETURN_GOSSIP}.test_nearly_all_callers_find_their_place_at_any_scheduler",),
            ),
            Case(
                "a burst of refusals",
                ("tests.returns.test_promises.TestPromises.test_number_of_promises_is_bounded",),
            ),
            Case(
                "a more urgent tier is refused at the same time",
                (
                    "tests.returns.test_promises.TestPromises"
                    ".test_returns_have_no_priority_while_a_more_urgent_tier_is_refused",
                ),
            ),
            Case(
                "capacity that is lost after it was promised",
                (
                    "tests.returns.test_promises.TestPromises"
                    ".test_returns_with_priority_are_limited_to_the_reserve",
                ),
            ),
        ),
    ),
    Promise(
        "After a stop of the whole fleet the first requests are spread and served.",
        "worth, RECOVER",
        (
            Case(
                "all gateways start at once and know no others",
                (
                    "tests.load.policy.test_replay.TestAllStopped"
                    ".test_the_first_seconds_are_served",
                    "tests.scheduling.test_placer.TestBarredUpstreams"
                    ".test_a_gateway_that_has_just_started_spreads_its_requests",
                ),
            ),
            Case(
                "nearly all new connections go to one gateway, which cannot read them in time",
                (
                    "tests.soak.test_funnel.TestFunnel.test_requests_are_served_while_most_connections_go_to_a_slow_gateway",
                    "tests.requests.test_unread_limit.TestClosedConnections.test_a_late_connection_is_closed_unread_and_an_open_one_is_served_on",
                    "tests.requests.test_unread_limit.TestUnreadLimit.test_nothing_is_closed_without_another_gateway",
                ),
            ),
            Case(
                "requests arrive just before a gateway is ready",
                (
                    f"{_QUARANTINE}.TestBeforeTheHoldsAreKnown"
                    ".test_a_request_shortly_before_readiness_is_served_and_not_refused",
                ),
            ),
            Case(
                "the holds are not known yet",
                (
                    f"{_QUARANTINE}.TestBeforeTheHoldsAreKnown"
                    ".test_no_request_is_sent_although_the_configuration_is_known",
                ),
            ),
        ),
    ),
    Promise(
        "A planned stop interrupts no request; a start serves nothing without a configuration.",
        "LOST, DRAIN, RECOVER",
        (
            Case(
                "a planned stop",
                (
                    f"{_PROGRAM}.test_a_planned_stop_finishes_what_is_in_progress",
                    f"{_PROGRAM}.test_a_planned_stop_awaits_clients_that_read_slowly",
                ),
            ),
            Case(
                "a start without a configuration",
                (f"{_PROGRAM}.test_without_a_configuration_it_is_not_ready",),
            ),
            Case(
                "signals while a gateway starts, and during its planned stop",
                (
                    f"{_PROGRAM}.test_signals_during_a_planned_stop_interrupt_no_request",
                    f"{_PROGRAM}.test_a_reload_signal_during_the_start_does_not_terminate_it",
                    f"{_PROGRAM}.test_a_planned_stop_during_the_start_is_carried_out",
                    "tests.console.test_process_signals.TestProcessSignals.test_a_stop_signal_ends_the_program_at_any_time",
                ),
            ),
            Case(
                "power failure of the whole fleet",
                (),
                "only days of the bench measure how soon requests are served again",
            ),
        ),
    ),
    Promise(
        "A request that crashes its upstreams reaches only a few, from any client and gateway.",
        "BUDGET",
        (
            Case(
                "it is sent again under another id, at one gateway or many",
                (
                    f"{_QUARANTINE}.TestOneGateway.test_after_three_upstreams_a_request_reaches_no_other",
                    f"{_QUARANTINE}.TestFleet.test_a_hold_applies_at_all_gateways_and_after_all_were_killed",
                    "tests.quarantine.test_fleet.TestDeadlyRequest.test_it_reaches_no_upstream_soon_after_the_third_failure_and_others_are_served",
                ),
            ),
            Case(
                "its route allows many attempts, or a backup of its memory is kept",
                (
                    f"{_QUARANTINE}.TestSuspects.test_a_request_under_which_two_upstreams_failed_is_not_retried",
                    f"{_QUARANTINE}.TestSuspects.test_a_suspect_is_not_continued_from_a_backup",
                ),
            ),
            Case(
                "the upstream stops responding, so that only its entry shows the failure",
                (
                    f"{_QUARANTINE}.TestFailureDetection.test_a_failure_that_only_the_entries_show_is_counted",
                ),
            ),
            Case(
                "connections are reset, or upstreams shut down as planned: no request is to blame",
                (
                    f"{_QUARANTINE}.TestFailureDetection.test_a_lost_connection_to_a_running_upstream_is_not_counted",
                    f"{_QUARANTINE}.TestFailureDetection.test_the_end_of_a_leaving_upstream_is_a_planned_shutdown",
                ),
            ),
            Case(
                "half of all upstreams fail at once, repeatedly, during a common request",
                (
                    "tests.quarantine.test_fleet.TestUnrelatedFailures.test_the_common_request_is_served_and_hardly_any_other_is_held",
                    "tests.quarantine.test_suspect.TestKnownGood.test_a_hall_that_loses_power_counts_as_one_failure",
                ),
            ),
            Case(
                "updates are lost, repeated, or late",
                (
                    "tests.quarantine.test_suspect.TestNeverCompleted.test_the_order_of_received_failures_does_not_matter",
                    "tests.quarantine.test_suspect.TestNeverCompleted.test_completion_clears_it_and_late_updates_on_those_failures_do_not_count",
                ),
            ),
            Case(
                "the store is unavailable, or the gateway that observed the failures is gone",
                (
                    "tests.platform.test_object_store.TestOrderOfReading.test_the_configuration_is_read_after_the_requests_that_are_held",
                    f"{_HOLD_STORE}.test_writes_are_retried_at_intervals_during_an_outage",
                    f"{_HOLD_STORE}.test_failures_observed_only_by_others_are_left_to_them_at_first",
                ),
            ),
            Case(
                "very many such requests",
                (
                    f"{_HOLDS}.test_one_team_cannot_evict_the_suspects_of_another",
                    f"{_HOLD_STORE}.test_the_objects_are_bounded_and_the_oldest_of_the_same_team_is_evicted",
                ),
            ),
            Case(
                "an operator releases it",
                (
                    f"{_HOLDS}.test_a_release_applies_at_gateways_that_know_the_failures",
                    "tests.console.test_quarantine_commands.TestQuarantineCommands.test_a_hold_is_released_by_its_prefix_and_no_other",
                ),
            ),
            Case(
                "a client whose deadly bodies differ each time",
                (
                    "tests.quarantine.test_fleet.TestVaryingBodies.test_other_requests_are_served_soon_after_the_third_failure",
                    "tests.quarantine.test_fleet.TestVaryingBodies.test_harmless_requests_of_the_same_team_are_served_like_those_of_others",
                    f"{_ISOLATION}.test_the_group_runs_at_one_upstream_and_all_others_elsewhere",
                    f"{_ISOLATION}.test_requests_run_one_at_a_time_and_the_next_is_refused_as_not_run",
                    f"{_ISOLATION}.test_one_that_crashes_the_upstream_is_not_retried_and_the_next_waits",
                ),
            ),
            Case(
                "a gateway restarts while the requests of such a client are isolated",
                (
                    "tests.quarantine.test_fleet.TestVaryingBodies.test_a_restarted_gateway_isolates_the_same_groups_as_the_others",
                ),
            ),
            Case(
                "half of all upstreams fail repeatedly, with no client to blame",
                (
                    "tests.quarantine.test_fleet.TestUnrelatedFailures.test_no_group_is_isolated_even_if_it_has_few_requests",
                ),
            ),
            Case(
                "all gateways start during a long outage of the store",
                (
                    f"{_STORE}.TestOrderOfReading.test_holds_are_read_first_when_the_store_returns_late",
                    f"{_QUARANTINE}.TestBeforeTheHoldsAreKnown.test_no_request_is_sent_although_the_configuration_is_known",
                ),
            ),
            Case(
                "one part of prompts crashes them, at any place, from any client, two at once",
                (
                    f"{_DEADLY_PARTS}.test_it_is_found_at_any_place_and_from_any_caller",
                    f"{_DEADLY_PARTS}.test_two_parts_at_once_are_both_found",
                    f"{_DEADLY_PARTS}.test_it_is_found_in_larger_fleets",
                    f"{_DEADLY_PARTS}.test_a_part_that_was_sound_before_is_found_as_well",
                    f"{_QUARANTINE}.TestHeldPart.test_only_requests_with_the_part_are_refused_as_not_run",
                    f"{_QUARANTINE}.TestHeldPart.test_a_request_that_was_placed_before_the_verdict_is_not_written",
                    _DEADLY_PARTS_SOAK,
                ),
            ),
            Case(
                "such a part, while engines fail by themselves or all gateways are killed",
                (
                    f"{_DEADLY_PARTS}.test_it_is_found_while_engines_fail_by_themselves",
                    f"{_DEADLY_PARTS}.test_few_requests_reach_upstreams_after_all_gateways_were_killed",
                ),
            ),
            Case(
                "sound parts at the same failures, or at failures that no request causes",
                (
                    f"{_PART_VERDICT}.test_a_part_beside_some_of_the_failures_of_the_cause_is_not_held",
                    f"{_PART_VERDICT}.test_failures_at_the_same_moment_are_one_round",
                    "tests.quarantine.test_deadly_parts.TestUnrelatedFailures.test_no_sound_part_is_held_when_engines_fail_by_themselves",
                ),
            ),
            Case(
                "very many parts, made up by a client",
                (
                    "tests.quarantine.test_part_suspects.TestBounds.test_made_up_parts_do_not_push_out_the_cause",
                ),
            ),
            Case(
                "a client without prompt parts that has one upstream left or varies team and path",
                (),
                "with one upstream nothing can be isolated; varying all of these is not detected",
            ),
        ),
    ),
    Promise(
        "Malformed objects of other writers in the store affect nothing else.",
        "DENIED, DRAIN",
        (
            Case(
                "fields that are missing, mistyped or out of range",
                (
                    f"{_ENTRIES}.TestEntries.test_an_entry_with_a_missing_or_mistyped_field_is_rejected",
                    f"{_ENTRIES}.TestViewOfEntries.test_a_malformed_entry_affects_no_other_and_later_changes_are_applied",
                ),
            ),
            Case(
                "arbitrary plain data, from the store or a peer",
                (
                    f"{_ENTRIES}.TestEntries.test_any_plain_data_is_an_upstream_or_a_typed_error",
                    f"{_ENTRIES}.TestViewOfEntries.test_any_data_of_a_peer_is_applied_or_a_typed_error",
                ),
            ),
            Case(
                "an error of the gateway in reading or using it",
                (
                    "tests.views.test_watcher.TestWatcher.test_an_error_in_reading_does_not_stop_the_watcher",
                    "tests.requests.test_logs.TestRequestLogs.test_an_upstream_with_gateway_errors_does_not_attract_all_requests",
                ),
            ),
        ),
    ),
    Promise(
        "An upstream that restarts under its name is a new one.",
        "DRAIN, MIXED",
        (
            Case(
                "it drained, ended and restarted",
                (
                    f"{_ENTRIES}.TestViewOfEntries.test_a_drained_upstream_that_restarts_under_its_name_is_available_again",
                ),
            ),
            Case(
                "the store was unavailable during the restart",
                (
                    f"{_ENTRIES}.TestViewOfEntries.test_a_former_incarnation_is_not_kept_with_the_current_one",
                ),
            ),
        ),
    ),
    Promise(
        "After a suspension a host uses no earlier state until it is confirmed.",
        "BUDGET, DRAIN",
        (
            Case(
                "requests and connections that were open during the suspension",
                (
                    f"{_SUSPENSION}.TestRequests.test_a_request_times_out_although_its_timer_was_suspended",
                    f"{_SUSPENSION}.TestRequests.test_connections_that_were_idle_during_a_suspension_are_not_reused",
                    f"{_SUSPENSION}.TestRequests.test_nothing_is_sent_beyond_the_deadline",
                ),
            ),
            Case(
                "an upstream that left during the suspension",
                (
                    f"{_SUSPENSION}.TestRequests.test_an_upstream_chosen_before_a_suspension_is_chosen_again",
                    "tests.views.test_watcher.TestWatcher.test_an_unconfirmed_view_is_listed_again_while_a_watch_is_open",
                ),
            ),
            Case(
                "the holder of the duties",
                (
                    f"{_SUSPENSION}.TestLease.test_a_suspended_holder_starts_no_work_once_another_may_have_taken_over",
                ),
            ),
            Case(
                "a call of a duty that began before the suspension",
                (),
                "only the platform's check of the fencing token stops it",
            ),
        ),
    ),
)
_PAGE_HEAD = """# Promises, faults and proofs

Each promise with the users' rules that it covers, and for each fault the tests that prove the
promise without the bench. Generated by `python scripts/write_pages.py` from `tests/fault_matrix.py`
and checked against the tests in CI. `scripts/break_rules.py` breaks the code that enforces a
promise, one rule at a time, and shows that a test fails. "Open" marks a fault without a test here.
"""


def page() -> str:
    """Return the fault matrix as a Markdown page."""
    sections = [_PAGE_HEAD]
    for promise in PROMISES:
        lines = [f"## {promise.text}", "", f"Rules: {promise.rules}.", ""]
        lines += ["| fault | proof |", "|---|---|"]
        lines += [f"| {case.fault} | {_format_proofs(case)} |" for case in promise.cases]
        sections.append("\n".join(lines) + "\n")
    return "\n".join(sections)


def _format_proofs(case: Case) -> str:
    if not case.proofs:
        return f"open: {case.note}"
    return "<br>".join(f"`{name.removeprefix('tests.')}`" for name in case.proofs)
