"""The promises of the product, the faults that may come, and the test that proves each.

docs/fault-matrix.md is written from this module, and a test holds it against the tests.
"""

from __future__ import annotations

from dataclasses import dataclass

_PATH = "tests.requests.test_request_path"
_STORE = "tests.platform.test_object_store"
_MEMBER = "tests.membership.test_membership.TestMembership"
_FLEET = "tests.placement.test_fleet.TestEngines"
_TIERS = "tests.requests.test_tiers"
_WAITING = "tests.scheduling.test_waiting_client.TestWaiting"
_CLIENT = "tests.scheduling.test_placement_client.TestPlacementClient"
_LOAD = "tests.scheduling.test_shared_load.TestSharedLoad"
_EDITOR = "tests.contracts.test_editor.TestEditor"
_PROGRAM = "tests.console.test_gateway_program.TestGatewayProgram"
_VIEWS = "tests.views.test_views"
_DUTIES = "tests.duties.test_duty_keeper.TestDuties"
_LEASE = "tests.duties.test_lease.TestLease"
_TIME = "tests.duties.test_true_time.TestTrueTime"
_REPLAY = "tests.load.policy.test_replay.TestBursts"
_RETURNS = "tests.load.policy.test_replay.TestReturns"
_RETURN_NEWS = "tests.peering.test_return_gossip.TestReturnKeeper"
_QUARANTINE = "tests.requests.test_quarantine"
_HELD = "tests.quarantine.test_quarantine.TestQuarantine"
_HOLD_STORE = "tests.quarantine.test_hold_store.TestHoldStore"
_ENTRIES = "tests.platform.test_upstreams"
_ASLEEP = "tests.requests.test_suspension"
_REST = "tests.requests.test_rest"
_RESTS = "tests.availability.test_cooldowns"
_LEAVING = "tests.requests.test_leaving.TestOneGateway"
_LEAVING_NEWS = "tests.peering.test_leaving_gossip.TestLeavingKeeper"
_LIMIT = "tests.requests.test_limit.TestOneGateway"
_LIMITS = "tests.load.limits.test_emulated_fleet"
_MOVES = "tests.requests.test_moves.TestMoves"
_TEAMS = "tests.load.policy.test_teams"
_TEAM_LIMITS = "tests.limits.test_team_limits.TestTeamLimits"
_WARD = "tests.requests.test_ward.TestWard"


@dataclass(frozen=True)
class Case:
    """One fault under one promise; without proofs it is open, and `note` says why."""

    fault: str
    proofs: tuple[str, ...] = ()
    note: str = ""


@dataclass(frozen=True)
class Promise:
    """What must hold, the rules of the users that it covers, and its cases."""

    text: str
    rules: str
    cases: tuple[Case, ...]


PROMISES = (
    Promise(
        "Each client gets the whole answer to its own request, or none that looks whole.",
        "MIXED, ORDER",
        (
            Case(
                "an answer cut short, or bytes that are none",
                (
                    f"{_PATH}.TestWholeAnswers.test_an_answer_cut_short_is_no_success",
                    f"{_PATH}.TestWholeAnswers.test_bytes_that_are_no_answer_are_no_success",
                ),
            ),
            Case(
                "an answer without length, ended or reset",
                (
                    f"{_PATH}.TestWholeAnswers.test_an_answer_without_length_ends_with_its_connection",
                    f"{_PATH}.TestWholeAnswers.test_an_answer_without_length_that_is_reset_is_not_whole",
                ),
            ),
            Case(
                "an encoded body",
                (f"{_PATH}.TestWholeAnswers.test_an_encoded_body_is_not_the_upstreams",),
            ),
            Case(
                "surplus answers, at once or late",
                (
                    f"{_PATH}.TestWholeAnswers.test_a_surplus_answer_is_not_given_to_the_next_request",
                    f"{_PATH}.TestWholeAnswers."
                    "test_a_late_surplus_answer_in_the_place_of_the_next_is_passed_over",
                ),
            ),
            Case(
                "several requests on one connection",
                (
                    f"{_PATH}.TestWholeAnswers.test_two_requests_on_one_connection_get_their_own_answers",
                ),
            ),
            Case(
                "a stream broken within an event",
                (
                    "tests.requests.test_event_stream.TestEventSplitter."
                    "test_a_resumed_run_does_not_repeat_what_a_broken_one_left",
                    f"{_PATH}.TestStreams.test_a_stream_goes_on_after_the_last_whole_event",
                ),
            ),
            Case(
                "a broken stream that may not be resumed",
                (f"{_PATH}.TestStreams.test_a_stream_that_may_not_be_resumed_is_visibly_cut_off",),
            ),
            Case(
                "a broken stream whose memory was copied to another upstream",
                (f"{_PATH}.TestStreams.test_a_stream_with_a_copy_goes_on_there_as_the_same_run",),
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
                    f"{_PATH}.TestForwarding."
                    "test_method_target_and_body_are_unchanged_and_the_key_stays_here",
                    "tests.platform.test_request_head.TestForwarded."
                    "test_the_key_the_forged_team_and_the_hop_stay_here",
                ),
            ),
            Case("a chunked body", (f"{_PATH}.TestForwarding.test_a_chunked_body_arrives_whole",)),
            Case(
                "an address used again by another service",
                (
                    "tests.platform.test_upstream_answer.TestNotExecuted.test_what_promises_that_nothing_ran",
                ),
            ),
        ),
    ),
    Promise(
        "What may not be repeated runs at most once, and what is refused has not run.",
        "TWICE, REFUSED",
        (
            Case(
                "a reset after the first byte",
                (f"{_PATH}.TestAtMostOnce.test_after_a_reset_what_may_not_be_repeated_is_not",),
            ),
            Case(
                "a broken stream whose copy is missing",
                (
                    f"{_PATH}.TestStreams."
                    "test_a_stream_whose_copy_is_missing_is_cut_and_not_run_again",
                ),
            ),
            Case(
                "an upstream that is full",
                (
                    f"{_PATH}.TestAtMostOnce."
                    "test_a_rejection_is_tried_elsewhere_and_then_told_as_not_run",
                ),
            ),
            Case(
                "a dead upstream", (f"{_PATH}.TestAtMostOnce.test_a_dead_upstream_costs_no_repeat",)
            ),
            Case(
                "time is up",
                (
                    f"{_PATH}.TestTime."
                    "test_when_time_is_up_the_answer_does_not_promise_that_nothing_ran",
                ),
            ),
            Case(
                "the tree allows what the platform forbids",
                (
                    "tests.contracts.test_effective.TestInheritance."
                    "test_the_tree_never_widens_how_often_a_request_may_run",
                ),
            ),
        ),
    ),
    Promise(
        "Repeats stay within the route's bound and the fleet's budget, in every window.",
        "BUDGET",
        (
            Case(
                "many upstreams fail",
                (
                    f"{_PATH}.TestAtMostOnce.test_never_more_upstreams_than_the_route_allows",
                    f"{_PATH}.TestAtMostOnce.test_without_budget_nothing_is_repeated",
                ),
            ),
            Case(
                "all gateways repeat at once",
                (
                    "tests.requests.test_retry_budget.TestRetryBudget."
                    "test_gateways_that_each_take_all_they_can_stay_within_it_together",
                ),
            ),
            Case(
                "gateways cut off from each other, or newly started",
                (
                    "tests.requests.test_retry_budget.TestFleetOfBudgets."
                    "test_the_sum_holds_while_gateways_come_and_start_again",
                    "tests.requests.test_retry_budget.TestFleetOfBudgets."
                    "test_without_the_number_of_gateways_only_the_share_of_own_requests_is_spent",
                ),
            ),
        ),
    ),
    Promise(
        "A request that waits for room is placed once, or refused while that still helps.",
        "TIER",
        (
            Case(
                "its holder is killed, frozen or cut off",
                (
                    f"{_WAITING}.test_a_holder_that_is_lost_is_passed_over_and_the_place_kept",
                    f"{_WAITING}.test_what_a_frozen_holder_places_later_is_given_up",
                ),
            ),
            Case(
                "an ask or an answer is lost, comes twice or late",
                (
                    f"{_WAITING}.test_one_lost_datagram_costs_no_place",
                    f"{_WAITING}.test_an_answer_that_was_lost_comes_with_the_next_ask",
                    f"{_WAITING}.test_an_answer_that_crosses_an_ask_is_used_once",
                ),
            ),
            Case(
                "its client or its gateway leaves",
                (
                    f"{_WAITING}.test_where_its_client_leaves_the_place_is_given_up",
                    "tests.scheduling.test_waiting_desk.TestDesk."
                    "test_one_whose_gateway_is_gone_is_placed_no_more",
                ),
            ),
            Case(
                "more wait than there is room for",
                (
                    "tests.scheduling.test_waiting_desk.TestDesk."
                    "test_where_the_room_is_full_it_is_refused_at_once",
                ),
            ),
            Case(
                "a hall of engines is withdrawn before a burst",
                (
                    "tests.load.policy.test_replay.TestWithdrawn."
                    "test_urgent_ones_do_not_get_nothing_while_longer_ones_begin",
                ),
            ),
        ),
    ),
    Promise(
        "A client that leaves frees its upstream; one that stays has an answer in its time.",
        "GONE, CONFIG",
        (
            Case(
                "a client leaves",
                (f"{_PATH}.TestTime.test_a_client_that_leaves_ends_the_work_of_the_upstream",),
            ),
            Case(
                "a deadline shorter than the route's time",
                (f"{_PATH}.TestTime.test_the_clients_deadline_counts_if_it_is_shorter",),
            ),
            Case(
                "a head that never ends",
                (
                    "tests.requests.test_client_protocol.TestClientProtocol."
                    "test_a_head_that_never_ends_is_turned_away_as_not_run",
                ),
            ),
        ),
    ),
    Promise(
        "An upstream that asks for rest gets none of this gateway's requests until its end.",
        "BUDGET",
        (
            Case(
                "one, some or all of a service ask",
                (
                    f"{_REST}.TestOneGateway.test_while_some_rest_the_others_get_all",
                    f"{_REST}.TestOneGateway.test_while_all_rest_none_gets_anything",
                    f"{_REST}.TestOneGateway.test_one_that_may_have_run_the_request_rests_as_well",
                ),
            ),
            Case(
                "whoever chose it did not know, or chose before",
                (
                    f"{_REST}.TestEveryWay.test_a_choice_that_does_not_know_of_it_is_not_followed",
                    f"{_REST}.TestEveryWay.test_what_waited_for_a_connection_is_chosen_again",
                    f"{_REST}.TestEveryWay.test_a_run_does_not_go_on_there",
                ),
            ),
            Case(
                "schedulers choose, or none of them answers",
                (
                    "tests.scheduling.test_placer.TestRests.test_a_scheduler_is_told_whom_to_leave_out",
                    "tests.scheduling.test_placer.TestRests.test_nor_is_one_of_them_chosen_where_no_scheduler_answers",
                ),
            ),
            Case(
                "the host is suspended",
                (
                    f"{_REST}.TestOneGateway.test_it_is_over_when_its_time_is_up_also_after_a_suspension",
                ),
            ),
            Case(
                "wishes overlap, are shorter, or cannot be read",
                (
                    f"{_RESTS}.TestRests.test_however_wishes_overlap_none_is_broken_and_none_kept_long_after",
                    f"{_REST}.TestOneGateway.test_odd_wishes_change_nothing",
                    "tests.platform.test_upstream_answer.TestRest.test_any_bytes_give_a_rest_within_bounds",
                ),
            ),
            Case(
                "its entry lapses meanwhile",
                (f"{_RESTS}.TestRests.test_what_no_view_knows_is_kept_until_its_end",),
            ),
            Case(
                "it ends at many gateways at once",
                (
                    f"{_RESTS}.TestRests.test_after_it_one_goes_first_and_the_others_with_its_answer",
                    f"{_RESTS}.TestGateways.test_none_sends_more_than_one_into_a_rest_or_at_its_end",
                ),
            ),
            Case(
                "all rest, and callers wait",
                (
                    "tests.availability.test_wait_policy.TestReplay.test_waiting_for_the_first_end_serves_more_than_refusing",
                    "tests.availability.test_wait_policy.TestRestPause.test_the_more_urgent_look_first",
                ),
            ),
        ),
    ),
    Promise(
        "A team that asks for more than its share of too little room takes none from the others.",
        "Starved",
        (
            Case(
                "one team at eight times its usual, at and beyond what engines bear",
                (
                    f"{_TEAMS}.TestTeamAtEightTimes.test_beside_what_the_engines_bear",
                    f"{_TEAMS}.TestTeamAtEightTimes.test_beside_twice_as_much",
                    f"{_TEAMS}.TestManyTimes.test_a_team_at_thirty_times_is_not_starved_itself",
                    f"{_TEAMS}.TestTiers.test_no_urgent_request_is_put_behind_for_a_share",
                ),
            ),
            Case(
                "its limit: gateways are killed, frozen, cut off, join, restart, or disagree",
                (
                    f"{_TEAM_LIMITS}.test_kills_cuts_freezes_and_joins_do_not_break_it",
                    f"{_TEAM_LIMITS}.test_while_two_are_held_for_the_counting_one_it_is_at_most_doubled",
                ),
            ),
        ),
    ),
    Promise(
        "An upstream that names a limit gets no more from all gateways together.",
        "LIMIT",
        (
            Case(
                "one or all of a service name one, in any answer",
                (
                    f"{_LIMIT}.test_what_is_over_the_limit_goes_to_the_others",
                    f"{_LIMIT}.test_where_all_have_a_limit_what_is_over_is_refused_as_not_run",
                    f"{_LIMIT}.test_any_answer_names_it",
                    f"{_LIMIT}.test_the_head_of_a_stream_names_it_while_the_stream_goes_on",
                    f"{_LIMIT}.test_with_other_words_in_one_answer_each_holds",
                ),
            ),
            Case(
                "whoever chose it did not know, or a run is to go on there",
                (
                    f"{_LIMIT}.test_what_is_kept_back_has_spent_neither_a_run_nor_a_repeat",
                    f"{_LIMIT}.test_a_run_does_not_go_on_there_without_a_permit",
                    f"{_LIMIT}.test_no_copy_is_kept_at_one_that_has_a_limit",
                    "tests.scheduling.test_placer.TestRests.test_what_has_no_permit_is_left_out_for_its_rank_and_later_ones",
                ),
            ),
            Case(
                "many gateways, datagrams lost",
                (
                    f"{_LIMITS}.TestCalm.test_what_arrives_stays_at_the_limit_and_most_of_it_is_used",
                    f"{_LIMITS}.TestCalm.test_so_it_is_with_hundreds_of_gateways",
                    "tests.soak.test_limits.TestLimits.test_all_gateways_together_keep_to_the_limits_of_two_engines",
                ),
            ),
            Case(
                "gateways are killed, frozen, cut off, join, restart, or disagree on who counts",
                (
                    f"{_LIMITS}.TestFaults.test_whatever_happens_to_the_gateways_it_holds",
                    f"{_LIMITS}.TestFaults.test_also_where_the_limit_is_high",
                    "tests.limits.test_limit_owners.TestCountingGateways.test_the_parts_of_both_sides_of_a_cut_are_no_more_than_all",
                ),
            ),
            Case(
                "it rises, falls, ends, or cannot be read; answers and news cross",
                (
                    f"{_LIMITS}.TestChanges.test_a_lower_limit_holds_soon_for_all",
                    f"{_LIMITS}.TestChanges.test_a_higher_limit_is_used_soon",
                    f"{_LIMITS}.TestChanges.test_after_its_end_nobody_asks_any_more",
                    f"{_LIMIT}.test_a_word_that_cannot_be_read_ends_no_limit",
                    f"{_LIMIT}.test_a_later_life_has_none",
                    "tests.availability.test_stated_limits.TestStatedLimits.test_words_of_one_after_the_other_lead_to_the_last_in_any_order",
                ),
            ),
        ),
    ),
    Promise(
        "An upstream that leaves gets no new work, and one that lives is not forgotten.",
        "DRAIN",
        (
            Case(
                "it says so in answers alone, while its entry says it is ready",
                (
                    f"{_LEAVING}.test_a_whole_answer_that_says_so_is_the_last",
                    f"{_LEAVING}.test_a_refusal_or_a_failure_says_it_as_well",
                    f"{_LEAVING}.test_the_head_of_a_stream_says_it_while_the_stream_goes_on",
                    f"{_LEAVING}.test_an_entry_that_says_ready_later_does_not_take_it_back",
                    f"{_LEAVING}.test_a_later_life_under_its_name_is_sent_requests",
                ),
            ),
            Case(
                "one gateway hears it, and datagrams are lost, halls cut off, gateways join",
                (
                    f"{_LEAVING_NEWS}.test_all_know_within_a_heartbeat_whoever_was_answered",
                    f"{_LEAVING_NEWS}.test_halls_that_were_cut_off_from_each_other_learn_from_each_other",
                    f"{_LEAVING_NEWS}.test_one_that_joins_later_hears_of_it",
                ),
            ),
            Case(
                "it says that it leaves",
                (
                    f"{_VIEWS}.TestUpstreamView.test_a_draining_upstream_gets_nothing_and_never_comes_back",
                ),
            ),
            Case(
                "its entry goes",
                (
                    f"{_STORE}.TestStoreViews.test_an_upstream_that_goes_in_calm_times_is_gone_at_once",
                ),
            ),
            Case(
                "entries lapse while the store is away",
                (
                    f"{_STORE}.TestStoreViews."
                    "test_upstreams_missing_after_an_outage_are_kept_for_a_while",
                ),
            ),
            Case(
                "older news arrives later",
                (f"{_VIEWS}.TestUpstreamView.test_an_older_list_changes_nothing",),
            ),
        ),
    ),
    Promise(
        "A run is moved whole and once, or stays; what is held for nobody is freed.",
        "TWICE, ORDER, GONE, BUDGET",
        (
            Case(
                "its upstream leaves",
                (
                    f"{_MOVES}.test_a_run_goes_on_at_another_upstream_as_the_same_run",
                    f"{_MOVES}.test_one_that_may_be_resumed_is_moved_as_well",
                ),
            ),
            Case(
                "it leaves under many runs",
                (
                    "tests.requests.test_moves.TestReclaim.test_runs_are_moved_before_it_ends",
                    "tests.moves.test_move_plan.TestReclaim.test_under_one_in_twenty_is_cut_of_those_that_could_be_moved",
                ),
            ),
            Case(
                "the target has no room, or fills up",
                (
                    f"{_MOVES}.test_a_target_without_room_is_followed_by_another",
                    f"{_MOVES}.test_with_no_room_anywhere_the_run_goes_on_where_it_is",
                    f"{_MOVES}.test_a_target_that_fills_up_sends_the_run_back_to_its_source",
                ),
            ),
            Case(
                "the target refuses the run, or is gone",
                (
                    f"{_MOVES}.test_a_target_that_refuses_the_run_sends_it_back_to_its_source",
                    f"{_MOVES}.test_a_target_that_is_gone_when_the_run_comes_sends_it_back",
                ),
            ),
            Case(
                "the target ends after the handover",
                (
                    f"{_MOVES}.test_a_target_that_ends_after_the_handover_cuts_the_answer",
                    f"{_MOVES}.test_one_that_may_run_again_goes_on_elsewhere_after_its_target_has_ended",
                ),
            ),
            Case(
                "the source ends before or after the copy",
                (
                    f"{_MOVES}.test_a_source_that_ends_before_the_copy_cuts_a_run_that_runs_once",
                    f"{_MOVES}.test_a_source_that_ends_after_the_copy_leaves_it_to_go_on_from",
                ),
            ),
            Case(
                "an answer to a call is lost, or says to wait",
                (
                    f"{_MOVES}.test_a_lost_answer_to_the_copy_is_asked_for_again",
                    f"{_MOVES}.test_a_lost_answer_to_the_stop_costs_nothing",
                    f"{_MOVES}.test_a_call_under_way_is_waited_for",
                    f"{_MOVES}.test_a_source_that_does_not_know_the_run_is_left_alone",
                ),
            ),
            Case(
                "the end of the stopped stream is lost",
                (
                    f"{_MOVES}.test_a_stream_whose_end_is_never_seen_is_ended_once_its_run_has_stopped",
                    f"{_MOVES}.test_one_that_may_have_stopped_is_ended_where_nothing_comes",
                ),
            ),
            Case(
                "its client leaves meanwhile",
                (f"{_MOVES}.test_a_client_that_leaves_meanwhile_leaves_nothing_held",),
            ),
            Case(
                "no repeat is left",
                (f"{_MOVES}.test_without_a_repeat_left_nothing_is_stopped",),
            ),
            Case(
                "only its client or its gateway stands still",
                (
                    f"{_MOVES}.test_a_client_that_takes_nothing_makes_no_run_stand_still",
                    f"{_MOVES}.test_a_process_that_stood_still_itself_moves_nothing_for_that",
                ),
            ),
            Case(
                "it stands still",
                (
                    f"{_MOVES}.test_a_run_that_stands_still_is_moved_with_its_memory",
                    f"{_MOVES}.test_one_that_stands_still_and_may_be_repeated_goes_on_without_its_memory",
                    f"{_MOVES}.test_one_that_makes_no_first_event_and_may_be_repeated_goes_on_elsewhere",
                ),
            ),
        ),
    ),
    Promise(
        "A configuration is in force everywhere within seconds, and never goes back.",
        "CONFIG, DENIED",
        (
            Case(
                "news in any order",
                (
                    f"{_VIEWS}.TestConfigurationView."
                    "test_whatever_comes_in_any_order_it_never_goes_back",
                ),
            ),
            Case(
                "the store forgets its history",
                (f"{_STORE}.TestStoreViews.test_after_a_gap_in_the_history_a_list_is_read",),
            ),
            Case(
                "the store is away",
                (
                    f"{_STORE}.TestStoreViews.test_an_outage_changes_nothing_and_is_told_once_each_way",
                ),
            ),
            Case(
                "the store turns this gateway away",
                (f"{_STORE}.TestStoreViews.test_a_peers_view_is_taken_only_if_it_is_newer",),
            ),
            Case(
                "the readers of a hall are turned away",
                (
                    "tests.membership.test_readers.TestReaders."
                    "test_each_hall_has_its_readers_whoever_is_turned_away",
                    "tests.peering.test_peers.TestPulls."
                    "test_a_passive_one_pulls_at_once_from_its_hall_and_a_reader_waits",
                ),
            ),
            Case(
                "the store tells those that wait nothing of a change",
                (
                    "tests.views.test_watcher.TestWatcher."
                    "test_watches_end_soon_and_at_different_times",
                ),
            ),
            Case(
                "a peer brought what the own watch has not seen",
                (
                    "tests.views.test_watcher.TestWatcher."
                    "test_what_others_brought_meanwhile_is_not_asked_for_again",
                ),
            ),
            Case(
                "a gateway takes up reading after a rest",
                (
                    "tests.views.test_watcher.TestWatcher."
                    "test_one_that_leaves_reading_to_others_makes_no_call_and_goes_on_from_theirs",
                ),
            ),
            Case(
                "a configuration that cannot be read",
                (
                    f"{_STORE}.TestStoreViews."
                    "test_a_configuration_that_cannot_be_read_leaves_the_last_one_in_force",
                ),
            ),
            Case(
                "a route or key that this gateway may not know yet",
                (
                    f"{_PATH}.TestTurnedAway."
                    "test_while_the_view_may_be_old_the_unknown_is_asked_to_come_back",
                    f"{_PATH}.TestTurnedAway.test_without_a_configuration_nothing_is_denied",
                ),
            ),
        ),
    ),
    Promise(
        "Edits of the settings tree are never lost in a race and never half in force.",
        "the brief",
        (
            Case("two edits race", (f"{_EDITOR}.test_disjoint_edits_both_stay",)),
            Case(
                "two edits of one value",
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
        "More urgent requests are not starved by less urgent ones, nor large ones by small.",
        "TIER, Sizes, Starved",
        (
            Case(
                "overload",
                (
                    f"{_FLEET}.test_under_overload_long_prompts_are_refused_and_short_ones_are_not",
                    f"{_FLEET}.test_large_and_small_ones_of_a_route_are_refused_alike",
                ),
            ),
            Case(
                "a gateway just started, or one that placed few, beside others' long prompts",
                (
                    f"{_TIERS}.TestRefusals."
                    "test_no_urgent_request_is_taken_for_the_longest_by_what_one_gateway_placed",
                    "tests.placement.test_shedding.TestShedding."
                    "test_nothing_is_refused_while_less_urgent_larger_ones_begin",
                ),
            ),
            Case(
                "upstreams full of less urgent prompts, or of urgent streams",
                (
                    f"{_TIERS}.TestRefusals."
                    "test_urgent_requests_find_room_behind_less_urgent_prompts",
                    f"{_TIERS}.TestRefusals."
                    "test_the_least_urgent_are_refused_while_urgent_ones_fill_the_engines",
                ),
            ),
            Case(
                "an engine out of memory preempts what it was told is least urgent",
                (f"{_TIERS}.TestEngines.test_engines_are_told_the_tier_of_the_route_first",),
            ),
            Case(
                "a fifth of all answers lost, or nearly half of all requests failing",
                (),
                "runs that must not run twice are lost; no rule broke of late (bench/findings.md)",
            ),
        ),
    ),
    Promise(
        "All that place requests hold the same load of each upstream.",
        "worth",
        (
            Case(
                "datagrams are lost",
                (f"{_LOAD}.test_after_a_whole_list_both_agree_whatever_was_lost",),
            ),
            Case(
                "one of them is lost",
                (
                    "tests.peering.test_peers.TestSmallFleet.test_one_that_is_gone_keeps_nobody_in_the_dark",
                ),
            ),
            Case(
                "one becomes a scheduler",
                (
                    f"{_LOAD}.test_a_gateway_that_becomes_a_scheduler_is_told_all_that_runs_anywhere",
                    "tests.peering.test_peers.TestSmallFleet."
                    "test_one_that_has_come_asks_one_other_for_all_that_runs",
                ),
            ),
            Case(
                "a scheduler is silent",
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
                "a gateway starts later",
                (f"{_LOAD}.test_one_that_comes_later_is_told_of_all_that_runs_within_some_lists",),
            ),
            Case("a gateway is lost", (f"{_LOAD}.test_requests_of_a_lost_gateway_are_dropped",)),
        ),
    ),
    Promise(
        "Gateways find one another, and notice who is lost.",
        "the brief",
        (
            Case("a crash, with packets lost", (f"{_MEMBER}.test_a_crashed_member_is_noticed",)),
            Case(
                "a cut that heals",
                (f"{_MEMBER}.test_a_cut_is_noticed_by_both_sides_and_healed",),
            ),
            Case(
                "a clock that jumped back",
                (f"{_MEMBER}.test_a_member_whose_clock_jumped_back_is_taken_in_again",),
            ),
            Case(
                "replayed and forged packets",
                (
                    f"{_MEMBER}.test_a_replayed_packet_is_counted_and_dropped",
                    f"{_MEMBER}.test_a_packet_in_anothers_name_is_dropped",
                ),
            ),
        ),
    ),
    Promise(
        "One gateway at a time does the duties of the fleet, and no window is reported twice.",
        "ONE, Duty",
        (
            Case(
                "the holder is killed, or stopped in a planned way",
                (
                    f"{_DUTIES}.test_a_killed_holder_is_followed_and_no_window_is_missed",
                    f"{_DUTIES}.test_a_stopped_holder_hands_over_within_a_second",
                ),
            ),
            Case(
                "all power lost",
                (
                    f"{_DUTIES}.test_after_all_power_is_lost_the_open_window_is_reported_from_the_store",
                ),
            ),
            Case(
                "the holder stands still and wakes up again",
                (f"{_DUTIES}.test_a_former_holder_that_wakes_up_changes_nothing",),
            ),
            Case(
                "the holder is cut off from the store, tokens not checked",
                (
                    f"{_DUTIES}.test_without_checked_tokens_a_holder_without_the_store_stops_acting",
                    f"{_LEASE}.test_without_checked_tokens_acts_end_half_a_lease_after_the_last_write",
                ),
            ),
            Case(
                "the holder is cut off from the platform",
                (f"{_DUTIES}.test_a_holder_that_the_platform_does_not_answer_is_followed",),
            ),
            Case(
                "calls without an answer that are carried out later",
                (f"{_DUTIES}.test_reports_that_are_carried_out_late_are_the_same",),
            ),
            Case(
                "writes to the store without an answer, and an outage of it",
                (
                    f"{_DUTIES}.test_writes_without_answers_make_no_second_holder",
                    f"{_DUTIES}.test_an_outage_of_the_store_costs_reports_and_never_doubles_one",
                ),
            ),
            Case(
                "clocks that step",
                (
                    f"{_DUTIES}.test_a_clock_that_is_seconds_off_shifts_no_window",
                    f"{_TIME}.test_a_minority_of_wrong_clocks_does_not_show",
                ),
            ),
            Case(
                "several of these, alone and overlapping, 3 to 9 gateways",
                (f"{_DUTIES}.test_drawn_histories_keep_what_must_hold",),
            ),
            Case(
                "a fault in the code of a duty",
                (
                    "tests.process.test_side_tasks.TestSideTasks"
                    ".test_a_fault_is_logged_and_the_task_starts_again_with_a_growing_pause",
                ),
            ),
        ),
    ),
    Promise(
        "The more urgent find slots while long requests come in a burst.",
        "TIER, Prices",
        (
            Case(
                "bursts of long and of the most urgent requests that overlap",
                (f"{_REPLAY}.test_urgent_requests_find_slots_in_a_burst_of_long_ones",),
            ),
            Case(
                "far too few engines",
                (
                    f"{_REPLAY}.test_more_urgent_ones_do_not_get_nothing_while_larger_ones_begin",
                    f"{_REPLAY}.test_nor_where_a_third_of_the_engines_needed_is_left",
                ),
            ),
        ),
    ),
    Promise(
        "Who was refused and returns as told goes before newcomers of its tier, at any gateway.",
        "worth",
        (
            Case(
                "long requests at 1.3 times the room",
                (
                    f"{_RETURNS}.test_in_a_brief_wave_few_are_refused_again_and_more_are_served",
                    f"{_RETURNS}.test_in_a_long_one_no_less_is_earned",
                ),
            ),
            Case(
                "callers that return at once and often",
                (f"{_RETURNS}.test_who_comes_at_once_and_often_gains_nothing",),
            ),
            Case(
                "whoever promised is killed",
                (f"{_RETURN_NEWS}.test_what_a_killed_scheduler_promised_is_kept_by_the_others",),
            ),
            Case(
                "a cut between schedulers",
                (f"{_RETURN_NEWS}.test_a_scheduler_that_is_cut_off_costs_its_own_promises_alone",),
            ),
            Case(
                "news that are lost",
                (f"{_RETURN_NEWS}.test_nearly_all_find_their_place_at_another_scheduler",),
            ),
            Case(
                "a storm of refusals",
                ("tests.returns.test_promises.TestPromises.test_a_storm_of_refusals_is_bounded",),
            ),
            Case(
                "a more urgent tier is refused meanwhile",
                (
                    "tests.returns.test_promises.TestPromises"
                    ".test_none_goes_first_while_a_more_urgent_tier_is_refused",
                ),
            ),
            Case(
                "room that is lost after it was promised",
                (
                    "tests.returns.test_promises.TestPromises"
                    ".test_no_more_than_the_reserve_goes_first",
                ),
            ),
        ),
    ),
    Promise(
        "After a stop of everything the first requests are spread and served.",
        "worth, RECOVER",
        (
            Case(
                "all gateways start at once and know no other",
                (
                    "tests.load.policy.test_replay.TestAllStopped"
                    ".test_the_first_seconds_are_served",
                    "tests.scheduling.test_placer.TestRests"
                    ".test_one_that_has_just_started_sends_to_all_by_turns",
                ),
            ),
            Case(
                "callers come just before a gateway is ready",
                (
                    f"{_QUARANTINE}.TestBeforeTheHoldsAreKnown"
                    ".test_who_comes_just_before_is_served_and_not_turned_away",
                ),
            ),
            Case(
                "what is held is not known yet",
                (
                    f"{_QUARANTINE}.TestBeforeTheHoldsAreKnown"
                    ".test_nothing_is_sent_though_the_configuration_is_known",
                ),
            ),
        ),
    ),
    Promise(
        "A planned stop cuts off nothing; a start serves nothing that it does not know.",
        "LOST, DRAIN, RECOVER",
        (
            Case(
                "a planned stop",
                (f"{_PROGRAM}.test_a_planned_stop_finishes_what_is_in_progress",),
            ),
            Case(
                "a start without a configuration",
                (f"{_PROGRAM}.test_without_a_configuration_it_is_not_ready",),
            ),
            Case(
                "signals while a gateway starts, and during its planned stop",
                (
                    f"{_PROGRAM}.test_signals_that_come_during_a_planned_stop_cut_nothing",
                    f"{_PROGRAM}.test_a_signal_to_read_settings_that_comes_while_it_starts_ends_nothing",
                    f"{_PROGRAM}.test_a_planned_stop_while_it_starts_is_one",
                    "tests.console.test_process_signals.TestProcessSignals.test_a_stop_ends_the_program_wherever_it_comes",
                ),
            ),
            Case("all power lost", (), "days of the bench alone: served again is measured there"),
        ),
    ),
    Promise(
        "A request that ends its upstreams reaches no more than a few, whoever sends it and where.",
        "BUDGET",
        (
            Case(
                "it comes again under another id, at one gateway or many",
                (
                    f"{_QUARANTINE}.TestOneGateway.test_after_three_upstreams_a_request_reaches_no_other",
                    f"{_QUARANTINE}.TestFleet.test_what_one_gateway_saw_holds_at_all_and_after_all_were_killed",
                    "tests.quarantine.test_fleet.TestDeadly.test_it_reaches_no_upstream_soon_after_its_third_and_all_others_are_served",
                ),
            ),
            Case(
                "its route allows many attempts, or a copy of its memory is kept",
                (
                    f"{_QUARANTINE}.TestSuspects.test_an_arrival_that_ended_two_upstreams_is_not_sent_on",
                    f"{_QUARANTINE}.TestSuspects.test_a_copy_of_its_memory_is_not_where_a_suspect_goes_on",
                ),
            ),
            Case(
                "the upstream goes dark, so that only its entry shows the end",
                (
                    f"{_QUARANTINE}.TestWhatIsNoEnd.test_an_end_that_shows_only_in_the_list_counts_then",
                ),
            ),
            Case(
                "connections are reset, or upstreams end as planned: no request is to blame",
                (
                    f"{_QUARANTINE}.TestWhatIsNoEnd.test_a_connection_that_ends_while_its_upstream_goes_on_counts_for_nothing",
                    f"{_QUARANTINE}.TestWhatIsNoEnd.test_an_upstream_that_was_leaving_ends_as_planned",
                ),
            ),
            Case(
                "half of all upstreams end at once, again and again, beside a common request",
                (
                    "tests.quarantine.test_fleet.TestNobodyToBlame.test_the_common_request_goes_on_and_hardly_any_other_is_held",
                    "tests.quarantine.test_suspect.TestAnsweredWholeBefore.test_a_hall_that_loses_power_says_no_more_than_one_end",
                ),
            ),
            Case(
                "news are lost, repeated, or late",
                (
                    "tests.quarantine.test_suspect.TestNeverWhole.test_the_order_in_which_ends_are_heard_does_not_matter",
                    "tests.quarantine.test_suspect.TestNeverWhole.test_a_whole_answer_clears_it_and_late_news_of_those_ends_do_not_count",
                ),
            ),
            Case(
                "the store is away, or the gateway that saw it is gone",
                (
                    "tests.platform.test_object_store.TestOrderOfReading.test_the_configuration_is_read_after_the_requests_that_are_held",
                    f"{_HOLD_STORE}.test_an_outage_is_tried_again_now_and_then",
                    f"{_HOLD_STORE}.test_what_only_others_saw_is_left_to_them_for_some_seconds",
                ),
            ),
            Case(
                "very many such requests",
                (
                    f"{_HELD}.test_one_team_cannot_push_the_suspects_of_another_out",
                    f"{_HOLD_STORE}.test_the_objects_are_bounded_and_the_oldest_of_the_same_team_goes",
                ),
            ),
            Case(
                "an operator lets it go",
                (
                    f"{_HELD}.test_a_release_counts_also_where_the_ends_are_known",
                    "tests.console.test_quarantine_commands.TestQuarantineCommands.test_one_is_released_by_how_it_begins_and_no_other",
                ),
            ),
            Case(
                "a caller whose deadly bodies differ each time",
                (
                    "tests.quarantine.test_fleet.TestBodiesThatDiffer.test_others_are_served_soon_after_its_third_end",
                    "tests.quarantine.test_fleet.TestBodiesThatDiffer.test_sound_requests_of_the_same_team_are_served_as_those_of_others",
                    f"{_WARD}.test_the_group_runs_at_one_upstream_and_all_others_elsewhere",
                    f"{_WARD}.test_one_runs_at_a_time_and_the_next_is_refused_as_not_run",
                    f"{_WARD}.test_one_that_ends_the_upstream_is_not_sent_on_and_the_next_waits",
                ),
            ),
            Case(
                "a gateway starts anew while such a caller is kept apart",
                (
                    "tests.quarantine.test_fleet.TestBodiesThatDiffer.test_a_gateway_that_starts_anew_keeps_apart_what_the_others_do",
                ),
            ),
            Case(
                "half of all upstreams end again and again, with no caller to blame",
                (
                    "tests.quarantine.test_fleet.TestNobodyToBlame.test_no_group_is_kept_apart_however_few_its_requests_are",
                ),
            ),
            Case(
                "all gateways start in a long outage of the store",
                (
                    f"{_STORE}.TestOrderOfReading.test_a_store_that_comes_back_late_is_asked_for_the_holds_first",
                    f"{_QUARANTINE}.TestBeforeTheHoldsAreKnown.test_nothing_is_sent_though_the_configuration_is_known",
                ),
            ),
            Case(
                "a caller whose team has one upstream left, or that varies team, path and prompt",
                (),
                "with one upstream nothing can be kept apart; who varies all of these is not seen",
            ),
        ),
    ),
    Promise(
        "What another writer left in the store costs nothing beside it.",
        "DENIED, DRAIN",
        (
            Case(
                "fields missing, of another type or out of range",
                (
                    f"{_ENTRIES}.TestEntries.test_an_entry_that_lacks_a_field_or_has_one_of_another_type_names_nothing",
                    f"{_ENTRIES}.TestViewOfEntries.test_a_bad_entry_costs_none_of_the_others_and_later_changes_are_seen",
                ),
            ),
            Case(
                "any plain data, from the store or a peer",
                (
                    f"{_ENTRIES}.TestEntries.test_any_plain_data_is_an_upstream_or_a_typed_error",
                    f"{_ENTRIES}.TestViewOfEntries.test_whatever_a_peer_sends_is_taken_or_a_typed_error",
                ),
            ),
            Case(
                "a fault of ours in reading or using it",
                (
                    "tests.views.test_watcher.TestWatcher.test_a_fault_in_reading_ends_no_following",
                    "tests.requests.test_sight.TestSight.test_an_upstream_at_which_a_fault_of_ours_shows_does_not_draw_all",
                ),
            ),
        ),
    ),
    Promise(
        "An upstream that starts again under its name is a new one.",
        "DRAIN, MIXED",
        (
            Case(
                "it drained, ended and came back",
                (
                    f"{_ENTRIES}.TestViewOfEntries.test_one_that_drained_and_ended_works_again_under_its_name",
                ),
            ),
            Case(
                "the store was away meanwhile",
                (
                    f"{_ENTRIES}.TestViewOfEntries.test_a_former_life_is_not_kept_beside_the_present_one",
                ),
            ),
        ),
    ),
    Promise(
        "A host that was suspended believes nothing of before until it is confirmed.",
        "BUDGET, DRAIN",
        (
            Case(
                "requests and connections that were open",
                (
                    f"{_ASLEEP}.TestRequests.test_a_request_ends_when_its_time_is_up_though_its_timer_stood_still",
                    f"{_ASLEEP}.TestRequests.test_connections_that_rested_through_it_are_not_used_again",
                    f"{_ASLEEP}.TestRequests.test_nothing_is_sent_beyond_the_deadline",
                ),
            ),
            Case(
                "an upstream that left meanwhile",
                (
                    f"{_ASLEEP}.TestRequests.test_what_was_chosen_before_it_is_chosen_again",
                    "tests.views.test_watcher.TestWatcher.test_what_is_doubted_is_listed_again_though_a_watch_still_waits",
                ),
            ),
            Case(
                "the holder of the duties",
                (
                    f"{_ASLEEP}.TestLease.test_a_holder_that_slept_starts_no_act_once_another_may_have_taken_over",
                ),
            ),
            Case(
                "a call of a duty that had begun before",
                (),
                "only the platform's check of tokens stops it",
            ),
        ),
    ),
)
_HEAD = """# Promises, faults and proofs

What must hold, the users' rules that it covers, and for each fault the test that proves it without
the bench. Written by `python scripts/write_pages.py` from `tests/fault_matrix.py` and held against
the tests in CI. `scripts/break_rules.py` breaks the code that keeps a promise, one at a time, and
shows that a proof fails. "Open" is a fault without a proof here.
"""


def page() -> str:
    """Return the page as Markdown."""
    sections = [_HEAD]
    for promise in PROMISES:
        lines = [f"## {promise.text}", "", f"Rules: {promise.rules}.", ""]
        lines += ["| fault | proof |", "|---|---|"]
        lines += [f"| {case.fault} | {_proof(case)} |" for case in promise.cases]
        sections.append("\n".join(lines) + "\n")
    return "\n".join(sections)


def _proof(case: Case) -> str:
    if not case.proofs:
        return f"open: {case.note}"
    return "<br>".join(f"`{name.removeprefix('tests.')}`" for name in case.proofs)
