#!/usr/bin/env bash
# Measures what a VM without requests costs: processor time, memory and bytes on the
# loopback interface (headers included), at several numbers of backend servers and VMs in
# one availability zone. Run it on an otherwise idle machine.
# Usage: measure-vm.sh SECONDS "SERVERS..." "VMS..." [GANGS] [ELSEWHERE]
# ELSEWHERE is the number of backend servers configured in other zones.
set -uo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-20}
server_counts=${2:-16 48 144}
vm_counts=${3:-2}
gangs=${4:-0}
elsewhere=${5:-0}
cli=bin/eelgrassreach
ticks=$(getconf CLK_TCK)

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
lo_bytes() { awk '/lo:/ {print $10}' /proc/net/dev; }

# run SERVERS VMS: prints one row of the table.
run() {
  local servers=$1 vms=$2 dir pids=() vm_pids=() records="" port addr
  dir=$(mktemp -d)
  bin/standin platform -port-file "$dir/platform" 2>/dev/null & pids+=($!)
  bin/standin backends -count "$servers" -port-file "$dir/backends" 2>/dev/null & pids+=($!)
  until [ -s "$dir/platform" ] && [ -s "$dir/backends" ]; do sleep 0.1; done
  local platform
  platform=http://$(cat "$dir/platform")
  for n in $(seq "$vms"); do
    port=$((21000 + RANDOM % 20000))
    $cli serve -az zone-a -platform "$platform" -listen "127.0.0.1:$port" -drain-notice 0s -drain-timeout 2s \
      2>"$dir/vm$n.log" & vm_pids+=($!)
    bin/standin list -platform "$platform" -address "127.0.0.1:$port" -az zone-a
    [ "$n" -eq 1 ] && addr=127.0.0.1:$port
  done
  sleep 3
  local i=0
  while read -r id address; do
    records+="{\"schemaVersion\":2,\"type\":\"backendServer\",\"id\":\"$id\",\"address\":\"$address\",
      \"location\":{\"az\":\"zone-a\",\"region\":\"r\",\"rack\":\"k$((i / 8))\"},
      \"capacity\":{\"accelerators\":8,\"slots\":8,\"connections\":64,\"cores\":32,\"memoryMB\":65536}}"
    i=$((i + 1))
  done <"$dir/backends"
  for n in $(seq "$elsewhere"); do
    records+="{\"schemaVersion\":2,\"type\":\"backendServer\",\"id\":\"e$n\",\"address\":\"10.$((n / 250 % 250)).$((n % 250)).1:1\",
      \"location\":{\"az\":\"zone-$((n % 18))\",\"region\":\"r\",\"rack\":\"k\"},
      \"capacity\":{\"accelerators\":2,\"slots\":8,\"connections\":64,\"cores\":32,\"memoryMB\":65536}}"
  done
  records+='{"schemaVersion":2,"type":"organisation","id":"o","quota":{"accelerators":100000},"weight":1,"guarantees":[]}'
  $cli config put -server "$addr" -f - <<<"$records" >/dev/null || { echo "put failed"; tail -3 "$dir"/vm*.log; }
  for n in $(seq "$gangs"); do
    $cli job submit -server "$addr" -organisation o -tasks 8 -accelerators 1 -payload '{"runMS":3600000}' >/dev/null
  done
  sleep 5
  local cpu0=() bytes0 total=0 rss=0
  for pid in "${vm_pids[@]}"; do cpu0+=("$(cpu_ticks "$pid")"); done
  bytes0=$(lo_bytes)
  sleep "$seconds"
  local bytes=$(( $(lo_bytes) - bytes0 ))
  for n in "${!vm_pids[@]}"; do
    total=$((total + $(cpu_ticks "${vm_pids[$n]}") - cpu0[n]))
    rss=$((rss + $(rss_kb "${vm_pids[$n]}")))
  done
  local running
  running=$($cli status -server "$addr" | awk '/^jobs *running/ {print $3}')
  awk -v s="$servers" -v v="$vms" -v g="${running:-0}" -v t="$total" -v hz="$ticks" -v sec="$seconds" -v r="$rss" -v b="$bytes" 'BEGIN {
    printf "%7d %5d %6d %14.2f %12.1f %14.0f %16.0f\n", s, v, g, 100 * t / hz / sec / v, r / 1024 / v, b / sec / v, b / sec / s }'
  for pid in "${vm_pids[@]}" ; do kill "$pid" 2>/dev/null; done
  wait "${vm_pids[@]}" 2>/dev/null
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  wait "${pids[@]}" 2>/dev/null
  rm -rf "$dir"
}

echo "servers   VMs  gangs  % of core / VM  MB RSS / VM  bytes/s per VM  bytes/s / server"
for vms in $vm_counts; do
  for servers in $server_counts; do run "$servers" "$vms"; done
done
