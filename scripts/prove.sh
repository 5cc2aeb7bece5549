#!/usr/bin/env bash
# Runs the proofs of docs/PROOFS.md and prints a table: prove.sh [ROW...]; all rows by default.
# Ends non-zero if a proof fails that KNOWN-RED.txt does not name, or if a row does not exist.
set -uo pipefail
cd "$(dirname "$0")/.."

build=build/release
tests=$build/tests
packages=$build/packages

# Proofs by row: `ROW|kind|test|command`. A decision is proved on the decision objects, a path on
# all duties in one process, a fleet on real processes.
proofs=(
  "data-centre-out|fleet|configuration_fleet|$tests/configuration_fleet_test --run_test=*/when_operators_take_one_out"
  "cold-start|decision|balancing|$packages/balancing/balancing_test --run_test=a_target_that_joins_a_running_fleet"
  "cold-start|fleet|balancing_fleet|$tests/balancing_fleet_test --run_test=a_fleet_with_cold_targets"
  "bad-version|decision|rollout|$packages/rollout/rollout_test"
  "bad-version|decision|balancing|$packages/balancing/balancing_test --run_test=*version*"
  "own-whole-answer|fleet|path_fleet|$tests/path_fleet_test --run_test=*/when_a_target_cuts_its_answers"
  "own-whole-answer|path|entry|$packages/entry/entry_test --run_test=a_whole_entry_in_one_process/streams_long_answers_whole,gives_each_of_many_callers_its_own_answer"
  "own-whole-answer|path|forwarding|$packages/forwarding/forwarding_test"
  "not-run-is-true|decision|balancing|$packages/balancing/balancing_test --run_test=*/with_all_targets_at_their_limit"
  "not-run-is-true|decision|idempotency|$packages/idempotency/idempotency_test"
  "not-run-is-true|fleet|soak|$tests/soak --seed 1 --seconds 10"
  "at-most-once|decision|balancing|$packages/balancing/balancing_test --run_test=*/when_a_target_fails"
  "at-most-once|fleet|soak|$tests/soak --seed 2 --seconds 10"
  "at-most-once|decision|idempotency|$packages/idempotency/idempotency_test"
  "at-most-once|path|relay|$packages/relay/relay_test"
  "at-most-once|fleet|calls_fleet|$tests/calls_fleet_test"
  "not-run-is-true|fleet|calls_fleet|$tests/calls_fleet_test --run_test=a_refusal_that_says_not_run"
  "leaving-target|fleet|calls_fleet|$tests/calls_fleet_test --run_test=a_target_that_leaves"
  "leaving-target|decision|balancing|$packages/balancing/balancing_test --run_test=*/with_free_targets"
  "graceful-stop|path|entry|$packages/entry/entry_test --run_test=*/when_it_is_asked_to_stop"
  "graceful-stop|fleet|path_fleet|$tests/path_fleet_test --run_test=*/when_an_entry_is_stopped"
  "graceful-stop|fleet|calls_fleet|$tests/calls_fleet_test --run_test=a_planned_stop_under_load,a_target_that_leaves"
  "configuration|decision|configuration|$packages/configuration/configuration_test"
  "configuration|fleet|configuration_fleet|$tests/configuration_fleet_test --run_test=*/when_two_operators_act_at_once,when_the_platform_loses_its_answer"
  "configuration|decision|membership|$packages/membership/membership_test"
  "configuration|fleet|configuration_fleet|$tests/configuration_fleet_test --run_test=five_entries_that_gossip,a_fleet_whose_platform_is_in_trouble"
)

rows=(cost-of-measuring cold-start data-centre-out bad-version own-whole-answer not-run-is-true
  at-most-once leaving-target graceful-stop configuration)

output=$(mktemp)
trap 'rm -f "$output"' EXIT
failed=0

# prove ROW runs the proofs of a row and prints a line for each.
prove() {
  local proof row kind test command result found=no
  for proof in "${proofs[@]}"; do
    IFS='|' read -r row kind test command <<<"$proof"
    [[ $row == "$1" ]] || continue
    found=yes
    # The command is split at its spaces; file names are not expanded.
    set -f
    if timeout 300 $command >"$output" 2>&1; then
      result=passed
    elif scripts/known_red.py --output "$test" "$output" KNOWN-RED.txt; then
      result="known red"
    else
      result=FAILED
      failed=$((failed + 1))
      tail -n 20 "$output"
    fi
    set +f
    printf '%-18s %-9s %-9s %s\n' "$1" "$kind" "$result" "$command"
  done
  [[ $found == yes ]] || printf '%-18s %-9s not proved yet\n' "$1" -
}

cmake --preset release >/dev/null && cmake --build --preset release >/dev/null || exit 1
wanted=("$@")
((${#wanted[@]})) || wanted=("${rows[@]}")
for row in "${wanted[@]}"; do
  if [[ " ${rows[*]} " != *" $row "* ]]; then
    echo "no row $row; rows: ${rows[*]}" >&2
    exit 2
  fi
  prove "$row"
done
((failed == 0))
