#!/usr/bin/env bash
# Runs a whole system on loopback: a stand-in platform, eight backend servers in two
# racks of each of two availability zones, and three VMs. Exits with 0 only if every step
# succeeds. Ends every process that it started, by its ID.
set -uo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
declare -A vm vm_pid
failures=0
cli=bin/eelgrassreach

# end PID...: ends processes that this script started and waits for them.
end() {
  for pid in "$@"; do kill "$pid" 2>/dev/null; done
  for pid in "$@"; do wait "$pid" 2>/dev/null; done
}

# The VMs stop before the platform, so that they can finish their appends.
cleanup() {
  end "${vm_pid[@]}"
  end "${pids[@]}"
  rm -rf "$dir"
}
trap cleanup EXIT

# wait_file NAME: waits until a started process has written its address.
wait_file() {
  for _ in $(seq 200); do
    [ -s "$dir/$1" ] && return 0
    sleep 0.05
  done
  echo "no address from $1"
  exit 1
}

# check NAME WANTED-CODE WANTED-TEXT COMMAND...: runs a step and checks its exit code and
# that its output contains the text.
check() {
  local name=$1 code=$2 text=$3 out got
  shift 3
  out=$("$@" 2>&1)
  got=$?
  echo "--- $name"
  echo "$out" | grep -v '^{"Name":'
  last=$out
  if [ "$got" -ne "$code" ] || ! grep -q -- "$text" <<<"$out"; then
    echo "STEP FAILED: exit code $got, wanted $code with \"$text\""
    failures=$((failures + 1))
  fi
}

# eventually NAME WANTED-TEXT COMMAND...: repeats a query until its output contains the text.
eventually() {
  local name=$1 text=$2 out
  shift 2
  for _ in $(seq 100); do
    out=$("$@" 2>&1)
    if grep -q -- "$text" <<<"$out"; then
      echo "--- $name: $text"
      return 0
    fi
    sleep 0.1
  done
  echo "--- $name"
  echo "$out"
  echo "STEP FAILED: never saw \"$text\""
  failures=$((failures + 1))
}

bin/standin platform -listen 127.0.0.1:0 -port-file "$dir/platform" 2>"$dir/platform.log" &
pids+=($!)
wait_file platform
platform=http://$(cat "$dir/platform")

records=""
for az in a b; do
  for rack in 1 2; do
    for n in 1 2; do
      id="$az-r$rack-$n"
      bin/standin backend -id "$id" -az "zone-$az" -platform "$platform" -port-file "$dir/$id" 2>"$dir/$id.log" &
      pids+=($!)
      wait_file "$id"
      records+="{\"schemaVersion\":2,\"type\":\"backendServer\",\"id\":\"$id\",\"address\":\"$(cat "$dir/$id")\",
        \"location\":{\"az\":\"zone-$az\",\"region\":\"region-$az\",\"rack\":\"$az-r$rack\"},
        \"capacity\":{\"accelerators\":8,\"slots\":8,\"connections\":64,\"cores\":32,\"memoryMB\":65536}}"
    done
  done
done

# start_vm NAME AZ: starts a VM. Tries other random ports if the port is in use.
start_vm() {
  local address
  for _ in $(seq 5); do
    address=127.0.0.1:$((20000 + RANDOM % 20000))
    $cli serve -az "zone-$2" -region "region-$2" -platform "$platform" -listen "$address" \
      -drain-notice 200ms -trace stdout >"$dir/$1.spans" 2>"$dir/$1.log" &
    vm_pid[$1]=$!
    for _ in $(seq 100); do
      if grep -q msg=serving "$dir/$1.log"; then
        vm[$1]=$address
        return 0
      fi
      kill -0 "${vm_pid[$1]}" 2>/dev/null || break
      sleep 0.05
    done
  done
  echo "VM $1 did not start"
  cat "$dir/$1.log"
  exit 1
}
start_vm one a
start_vm two a
start_vm three b
for entry in one:a two:a three:b; do
  bin/standin list -platform "$platform" -address "${vm[${entry%:*}]}" -az "zone-${entry#*:}" || exit 1
done

eventually "every VM serves" "ready  true" $cli status -server "${vm[three]}"
cat >"$dir/records.json" <<JSON
$records
{"schemaVersion":1,"type":"organisation","id":"palvehelmed","maxAccelerators":32,
 "guarantees":[{"az":"zone-a","tasks":2,"accelerators":8,"adjacency":"rack","count":1}]}
{"schemaVersion":2,"type":"organisation","id":"swanbank","quota":{"accelerators":48},"weight":2,
 "guarantees":[{"az":"zone-b","shape":{"tasks":2,"accelerators":4,"adjacency":"rack"},"count":1}]}
{"schemaVersion":1,"type":"requestKind","id":"quote","class":"urgent","deadline":"2s","idempotent":true}
{"schemaVersion":2,"type":"requestKind","id":"order","priorityClass":"normal","deadline":"2s","idempotent":false}
JSON
check "publish configuration through VM one" 0 "accepted at" $cli config put -server "${vm[one]}" -f "$dir/records.json"
eventually "VM three follows" "swanbank" $cli config list -server "${vm[three]}"
eventually "VM three sees the backend servers of both zones" "8 live" $cli status -server "${vm[three]}"

check "idempotent request" 0 "outcome  done" \
  $cli request run -server "${vm[two]}" -kind quote -organisation palvehelmed -body chaplet
check "request that may not repeat, without a ticket" 3 "outcome  not run" \
  $cli request run -server "${vm[two]}" -kind order -organisation palvehelmed -body ferrules
ticket=$($cli ticket new -server "${vm[one]}")
check "ticketed request through VM two" 0 '"outcome": "done"' \
  $cli request run -server "${vm[two]}" -kind order -organisation palvehelmed -body ferrules -ticket "$ticket" -id order-1 \
  -trace stdout -o json
trace=$(grep -o '"TraceID":"[0-9a-f]*"' <<<"$last" | head -1)
[ -n "$trace" ] || { echo "STEP FAILED: the caller's span is missing"; failures=$((failures + 1)); }
first=$($cli request status -server "${vm[one]}" -ticket "$ticket" order-1)
check "the same ticket again through VM three" 0 "outcome  done" \
  $cli request run -server "${vm[three]}" -kind order -organisation palvehelmed -body ferrules -ticket "$ticket" -id order-1
second=$($cli request status -server "${vm[three]}" -ticket "$ticket" order-1)
if [ "$first" != "$second" ]; then
  echo "STEP FAILED: the ticket had two outcomes: $first / $second"
  failures=$((failures + 1))
fi

check "submit a gang through VM three" 0 "gang-1" \
  $cli job submit -server "${vm[three]}" -id gang-1 -organisation palvehelmed -tasks 2 -accelerators 8 \
  -adjacency rack -payload '{"runMS":1500}'
eventually "VM two watches the gang run" "running" $cli job status -server "${vm[two]}" gang-1
check "VM two watches the gang to its end" 0 "done" $cli job status -server "${vm[two]}" -wait -timeout 15s gang-1
check "submit a long gang" 0 "gang-2" \
  $cli job submit -server "${vm[one]}" -id gang-2 -organisation swanbank -tasks 2 -accelerators 4 \
  -adjacency rack -payload '{"runMS":600000}'
eventually "the long gang runs" "running" $cli job status -server "${vm[one]}" gang-2
check "cancel it through VM two" 0 "gang-2" $cli job cancel -server "${vm[two]}" gang-2
eventually "it is cancelled" "cancelled" $cli job status -server "${vm[three]}" gang-2
check "status" 0 "invariant violations  0" $cli status -server "${vm[two]}"

echo "--- planned stop of VM one"
kill -TERM "${vm_pid[one]}"
wait "${vm_pid[one]}"
code=$?
echo "exit code $code"
[ "$code" -eq 0 ] || failures=$((failures + 1))
eventually "the trace of the ticketed request has spans of VM two" "$trace" cat "$dir/two.spans"
eventually "and of VM one, which decided on the ticket" "$trace" cat "$dir/one.spans"
check "request after the stop" 0 "outcome  done" \
  $cli request run -server "${vm[two]}" -kind quote -organisation palvehelmed -body chaplet

if [ "$failures" -ne 0 ]; then
  echo "demo: $failures steps failed"
  tail -n 20 "$dir"/*.log
  exit 1
fi
echo "demo: every step did what it should"
