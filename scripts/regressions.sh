#!/usr/bin/env bash
# Runs each randomised test with the seeds that once failed. A line of SEEDS holds the
# package, the test, the seed of rapid and the cause of the failure.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
while IFS='|' read -r package test seed cause; do
  case "$package" in ''|'#'*) continue ;; esac
  if ! go test -count=1 -timeout 2m "./$package" -run "^$test\$" -rapid.seed="$seed" -rapid.checks=1 >/tmp/regression.$$ 2>&1; then
    echo "FAILED: $package $test seed $seed ($cause)"
    tail -5 /tmp/regression.$$
    failed=1
  elif grep -q 'no tests to run' /tmp/regression.$$; then
    echo "FAILED: $package has no test $test"
    failed=1
  fi
done <<'SEEDS'
internal/control|TestRandomFaults|382414|members held in an earlier round made a whole gang look partial, and it ran again
internal/fleet|TestRandomFaults|2776|a start without an answer reached the next incarnation of its backend server
internal/fleet|TestRandomFaults|80|a start that reached the new incarnation was taken for lost
internal/fleet|TestRandomFaults|5359|a start that was given up arrived after a restart
internal/fleet|TestRandomFaults|25428|failed ends were counted twice after a backend server was listed again
internal/fleet|TestRandomFaults|995|a stray run that did not answer its stop let its task run elsewhere
internal/fleet|TestRandomRestartsWithTheSameTimeOfStart|631|a restart with the time of start of before was not noticed, and tasks that were done ran again
SEEDS
rm -f /tmp/regression.$$
exit $failed
