#!/usr/bin/env bash
# Installs, builds and passes every test and check. Usage: test.sh [STEP...]; all steps by default.
set -uo pipefail
cd "$(dirname "$0")/.."

passed=0
failed=0
known_red=0
most_output_bytes=$((16 * 1024 * 1024))

# check NAME COMMAND... runs a check and counts it.
check() {
  local name=$1
  shift
  if "$@"; then
    echo "passed: $name"
    passed=$((passed + 1))
  else
    echo "FAILED: $name"
    failed=$((failed + 1))
  fi
}

# run_tests PRESET [ARGUMENTS...] builds a preset, runs its tests and counts each. Tests that
# KNOWN-RED.txt names are run and printed, and do not fail the run.
run_tests() {
  local preset=$1 report counts
  shift
  report="$PWD/build/$preset-tests.xml"
  if ! (cmake --preset "$preset" >/dev/null && cmake --build --preset "$preset"); then
    echo "FAILED: build of $preset"
    failed=$((failed + 1))
    return
  fi
  rm -f "$report"
  # Failed cases are read from the whole output, of which ctest keeps 300 KiB by default.
  ctest --preset "$preset" -j "$(nproc)" --output-junit "$report" \
    --test-output-size-failed "$most_output_bytes" "$@"
  if ! counts=$(scripts/known_red.py "$report" KNOWN-RED.txt); then
    echo "FAILED: report of $preset"
    failed=$((failed + 1))
    return
  fi
  head -n -1 <<<"$counts"
  read -r now_passed now_failed now_red < <(tail -n 1 <<<"$counts")
  passed=$((passed + now_passed))
  failed=$((failed + now_failed))
  known_red=$((known_red + now_red))
}

check_format() {
  git ls-files '*.h' '*.cc' | grep -v '\.capnp\.' | xargs clang-format --dry-run --Werror
}

check_lint() {
  scripts/lint.py build/release >build/lint.log 2>&1 ||
    { grep -E 'error:|warning:|not built' build/lint.log | sort -u | head -40; return 1; }
}

step_format() { check "format" check_format; }
step_release() { run_tests release; }
step_lint() { check "lint" check_lint; }
step_address() { run_tests address; }
step_thread() { run_tests thread -R '^(core|entry|forwarding|rpc|path_fleet)$'; }

scripts/install_dependencies.sh || exit 1
steps=("$@")
((${#steps[@]})) || steps=(format release lint address thread)
for step in "${steps[@]}"; do
  echo "== $step"
  "step_$step"
done
((known_red == 0)) || echo "$known_red known red, passed over (KNOWN-RED.txt)"
echo "$passed passed, $failed failed"
((failed == 0))
