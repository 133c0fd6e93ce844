"""The fault matrix: for each step of the work and each fault, the proof or the reason for none.

docs/fault-matrix.md is written from this module, and a test holds it against the tests.
"""

from __future__ import annotations

COLUMNS = (
    "upstream slow",
    "upstream crashing",
    "upstream leaving",
    "load report lagging or gone",
    "cache events late, with gaps",
    "object API down",
    "object API slow",
    "answer lost after the write",
    "holder paused past its lease",
    "entry killed",
    "entry stopped",
    "dispatcher lost",
    "hall cut off from halls",
    "hall cut off from the platform",
    "hall cut off from both",
    "conflicting edits",
    "clock jump",
    "two at once",
)

_PATH = "tests.callers.test_request_path"
_CLIENT = "tests.dispatch.test_client.TestDispatcherLost"
_LEASE = "tests.keeper.test_lease_protocol"
_MEMBER = "tests.hosts.test_membership.TestMembership"
_EDITOR = "tests.contracts.test_editor.TestEditor"
_FLEET = "tests.console.test_programs.TestFleet"

PROOFS = {
    "A": f"{_PATH}.TestFaultsOfEngines.test_an_engine_that_dies_in_mid_stream_is_replaced",
    "B": f"{_PATH}.TestFaultsOfEngines.test_an_engine_that_dies_before_a_whole_answer_is_replaced",
    "C": f"{_PATH}.TestFaultsOfEngines.test_a_dead_engine_costs_a_caller_nothing",
    "D": f"{_PATH}.TestFaultsOfEngines.test_refused_by_all_engines_is_refused_and_not_run",
    "E": f"{_PATH}.TestFaultsOfEngines.test_a_deadline_in_mid_stream_ends_it_visibly",
    "F": f"{_PATH}.TestFaultsOfEngines.test_a_caller_that_leaves_frees_the_engine",
    "G": f"{_PATH}.TestFaultsOfEngines.test_a_stream_that_stops_short_is_not_taken_for_whole",
    "H": f"{_PATH}.TestFaultsOfEngines.test_refused_after_it_may_have_run_is_not_called_refused",
    "I": f"{_PATH}.TestNotRepeatable.test_a_broken_call_is_not_sent_again",
    "J": f"{_PATH}.TestNotRepeatable.test_a_call_that_was_never_sent_is_refused",
    "K": f"{_PATH}.TestNotRepeatable.test_claims_under_faults_of_the_object_api",
    "L": f"{_PATH}.TestNotRepeatable.test_a_keyed_resend_is_recognised",
    "M": f"{_CLIENT}.test_a_broken_link_moves_what_runs_and_waits_at_once",
    "N": f"{_CLIENT}.test_a_silent_dispatcher_holds_up_no_top_tier",
    "O": f"{_CLIENT}.test_a_dispatcher_that_was_frozen_and_goes_on_doubles_nothing",
    "P": f"{_CLIENT}.test_a_cell_that_another_decides_for_is_forgotten",
    "Q": "tests.dispatch.test_client.TestHalls.test_engines_of_a_hall_out_of_reach_get_no_grants",
    "R": "tests.dispatch.test_client.TestHalls.test_leaving_in_either_source_ends_new_work",
    "S": "tests.dispatch.test_cell_history.TestHistories.test_lower_tiers_are_paused",
    "T": "tests.dispatch.test_cell_progress.TestRetries."
    "test_a_dead_upstream_is_left_alone_and_probed_later",
    "U": f"{_LEASE}.TestAllInterleavings.test_two_never_hold_the_lease_at_once",
    "V": f"{_LEASE}.TestAcceptProtocol.test_histories_with_faults",
    "W": f"{_LEASE}.TestAcceptProtocol.test_a_holder_paused_past_its_lease_changes_nothing",
    "X": f"{_LEASE}.TestAcceptProtocol.test_a_lost_answer_is_recognised_by_its_nonce",
    "Y": "tests.hosts.test_follower.TestFollower.test_histories",
    "Z": f"{_MEMBER}.test_a_crashed_member_is_noticed",
    "a": f"{_MEMBER}.test_a_cut_is_noticed_by_both_sides_and_healed",
    "b": f"{_MEMBER}.test_a_leaving_member_is_known_to_leave_at_once",
    "c": f"{_MEMBER}.test_a_member_whose_clock_jumped_back_is_taken_in_again",
    "d": f"{_EDITOR}.test_disjoint_edits_both_stay",
    "e": f"{_EDITOR}.test_edits_of_the_same_value_conflict_and_show_both_sides",
    "f": f"{_EDITOR}.test_a_lost_answer_is_resolved_by_reading_back",
    "g": f"{_EDITOR}.test_a_write_that_may_still_arrive_is_not_made_again",
    "h": f"{_FLEET}.test_a_planned_stop_cuts_off_no_request_and_takes_no_more",
    "i": f"{_FLEET}.test_a_start_in_an_outage_takes_the_settings_of_its_peers",
    "j": f"{_FLEET}.test_an_edit_comes_into_force_everywhere_and_a_faulty_one_nowhere",
}

REASONS = {
    "1": "no upstream takes part in this step",
    "2": "load reports and cache events are not read at all; what was granted is counted instead",
    "3": "the object API takes no part in this step",
    "4": "no lease is held in this step",
    "5": "settings take no part in this step",
    "6": "only monotonic clocks of one process are compared in this step",
    "7": "only the keeper takes part in this step, and entries do not",
    "8": "only a caller and one entry take part in this step",
    "9": "no other hall takes part in this step",
    "0": "the step does not exist yet",
}

OPEN = "?"
"""A cell that is not proved yet."""

# One mark a column, in the order of COLUMNS.
MATRIX = {
    "accept a connection": "1 1 1 2 2 3 3 3 4 ? h 8 8 8 8 5 6 ?",
    "ask": "1 1 1 2 2 3 3 3 4 Z h M a 3 a 5 6 O",
    "queue": "S S R 2 2 3 3 3 4 Z h M Q 3 Q 5 6 S",
    "grant": "S T R 2 2 3 3 3 4 Z h O Q 3 Q 5 6 O",
    "connect": "? C R 2 2 3 3 3 4 8 h M ? 3 ? 5 6 J",
    "first byte": "E B ? 2 2 3 3 3 4 ? h M ? 3 ? 5 6 H",
    "mid-stream": "E A ? 2 2 3 3 3 4 ? h M ? 3 ? 5 6 G",
    "end": "F I ? 2 2 3 3 3 4 ? h P ? 3 ? 5 6 O",
    "claim of a key": "1 1 1 2 2 K K K 4 ? h 8 9 K K 5 ? L",
    "edit": "1 1 1 2 2 g ? f 7 7 7 7 9 g g e ? d",
    "accept": "1 1 1 2 2 V ? X W 7 7 7 9 V V V 6 V",
    "publish": "1 1 1 2 2 V ? V W 7 7 7 9 V V V 6 V",
    "pull": "1 1 1 2 2 i ? 3 4 Y Y 5 Y Y Y j 6 Y",
    "heartbeat": "1 1 1 2 2 3 3 3 4 Z b Z a 3 a 5 c a",
    "hand-over": "1 1 1 2 2 3 3 3 4 M h M a 3 a 5 6 O",
    "drain": "? ? ? 2 2 3 3 3 4 8 h M ? 3 ? 5 6 ?",
    "lease": "1 1 1 2 2 V ? X U 7 7 7 9 V V 5 6 V",
    "order": "0 0 0 0 0 0 0 0 0 0 0 0 0 0 0 0 0 0",
    "load": "0 0 0 0 0 0 0 0 0 0 0 0 0 0 0 0 0 0",
    "status": "1 1 1 2 2 ? ? ? 4 ? ? 5 ? ? ? j ? ?",
}


def page() -> str:
    """Return docs/fault-matrix.md."""
    lines = [
        "# The fault matrix",
        "",
        "Rows are the steps of the work, columns the faults that may come at them. A letter is a",
        "proof, a digit a reason why the fault cannot come there, `?` a cell not proved yet.",
        "The page is written by `python scripts/write_pages.py` from `tests/fault_matrix.py`",
        "and held against the tests in CI.",
        "",
        "Beside it `scripts/faults.py` runs the same faults against real processes, outside CI.",
        "",
    ]
    numbered = [f"{index}. {name}" for index, name in enumerate(COLUMNS, start=1)]
    lines += [*numbered, ""]
    heads = [str(index) for index in range(1, len(COLUMNS) + 1)]
    lines.append(f"| step | {' | '.join(heads)} |")
    lines.append("|---" * (len(COLUMNS) + 1) + "|")
    for step, marks in MATRIX.items():
        lines.append(f"| {step} | {' | '.join(marks.split())} |")
    lines += ["", "## Proofs", ""]
    lines += [f"- `{mark}`: `{name}`" for mark, name in PROOFS.items()]
    lines += ["", "## Reasons", ""]
    lines += [f"- `{mark}`: {reason}" for mark, reason in REASONS.items()]
    open_cells = sum(marks.split().count(OPEN) for marks in MATRIX.values())
    missing = sum(marks.split().count("0") for marks in MATRIX.values())
    total = len(MATRIX) * len(COLUMNS)
    lines += ["", "## What is left", ""]
    lines.append(f"Of {total} cells {open_cells} are not proved and {missing} wait for their step.")
    return "\n".join(lines) + "\n"
