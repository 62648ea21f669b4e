# Functions that Meta/bench.sh and Meta/slopes.sh share: small fleets on
# loopback, the products' own metrics, and the platform stand-in's counters.
# Source it after setting `build` to a release build folder.

measure_top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
start_limit=${FIGLIFT_START_LIMIT:-60}
stand_ins=$build/Tests/StandIns
agent=$build/Services/figlift-agent/figlift-agent
entry=$build/Services/figlift-entry/figlift-entry
ctl=$build/Utilities/figlift-ctl/figlift-ctl
load=$build/Utilities/figlift-load/figlift-load

work=$(mktemp -d)
fleet_number=0
declare -A pids=()

fail() {
  echo "${0##*/}: $1" >&2
  exit 1
}

# Ends the processes of the fleet, all of which this script started.
fleet_down() {
  local name
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do
    wait "${pids[$name]}" 2>/dev/null || true
  done
  pids=()
}
trap 'fleet_down; rm -rf "$work"' EXIT

# A loopback prefix of this fleet's own; ports below the ephemeral range.
fleet_new() {
  fleet_down
  ((++fleet_number))
  local slot=$((($$ * 37 + fleet_number) % 12000))
  prefix="127.$((100 + slot / 240 % 50)).$((10 + slot % 240))"
  platform=$prefix.1:7201
  vms=""
  rm -f "$work"/*
  start platform "$stand_ins/platform-standin/platform-standin" --listen "$platform"
  wait_ready platform
}

# start NAME PROGRAM ARGUMENTS...
start() {
  local name=$1
  shift
  : >"$work/$name.log"
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

wait_ready() {
  local name deadline=$((SECONDS + start_limit))
  for name in "$@"; do
    until grep -qE 'listening|"ready"' "$work/$name.log"; do
      kill -0 "${pids[$name]}" 2>/dev/null || {
        cat "$work/$name.log" >&2
        fail "$name ended while it started"
      }
      ((SECONDS < deadline)) || fail "$name was not ready in ${start_limit}s"
      sleep 0.05
    done
  done
}

# write_settings ID LISTEN EXTRA
write_settings() {
  cat >"$work/$1.json" <<JSON
{"process": {"id": "$1", "zone": "hall-a", "region": "blue-ridge"},
 "platform": {"address": "$platform"}, "log": {"level": "info"},
 "listen": $2$3}
JSON
}

add_vm() { # ID KIND BACKEND REGION PEER
  vms+="${vms:+,}{\"id\":\"$1\",\"kind\":\"$2\",\"backEnd\":\"$3\",\"zone\":\"hall-a\","
  vms+="\"region\":\"$4\",\"peer\":\"$5\",\"state\":\"live\"}"
}

# add_targets COUNT: engines with their agents, addresses from .51 on.
add_targets() {
  local i at
  targets=()
  for i in $(seq 1 "$1"); do
    at=$prefix.$((50 + i))
    start "engine-$i" "$stand_ins/engine-standin/engine-standin" \
      --listen "$at:7201" --role mixed --models desk@1 --platform "$platform" \
      --max-sequences 4096 --kv-tokens 100000000 --decode-per-sequence 0us \
      ${engine_flags:-}
    write_settings "lm-$i" "{\"peer\": \"$at:7001\", \"admin\": \"$at:7002\"}" \
      ", \"target\": {\"address\": \"$at:7201\", \"type\": \"engine\", \"backEnd\": \"lm-desk\"},
       \"limits\": {\"requestsInFlight\": 4096}"
    add_vm "lm-$i" target lm-desk blue-ridge "$at:7001"
    targets+=("lm-$i")
  done
  for i in $(seq 1 "$1"); do wait_ready "engine-$i"; done
}

# add_services COUNT: plain services with their agents, addresses from .31 on.
add_services() {
  local i at
  for i in $(seq 1 "$1"); do
    at=$prefix.$((30 + i))
    start "service-$i" "$stand_ins/service-standin/service-standin" --listen "$at:7201"
    write_settings "core-$i" "{\"peer\": \"$at:7001\", \"admin\": \"$at:7002\"}" \
      ", \"target\": {\"address\": \"$at:7201\", \"type\": \"service\", \"backEnd\": \"booking-core\"},
       \"limits\": {\"requestsInFlight\": 4096}"
    add_vm "core-$i" target booking-core blue-ridge "$at:7001"
    targets+=("core-$i")
    wait_ready "service-$i"
  done
}

# add_entries COUNT TARGETS_PER_BACK_END: addresses from .11 on, at most 20.
add_entries() {
  local i at
  entries=()
  entry_addresses=""
  for i in $(seq 1 "$1"); do
    at=$prefix.$((10 + i))
    write_settings "entry-$i" "{\"callers\": \"$at:8080\", \"peer\": \"$at:7001\"}" \
      ", \"limits\": {\"targetsPerBackEnd\": $2, \"requestsInFlight\": 4096}"
    add_vm "entry-$i" entry "" blue-ridge "$at:7001"
    entries+=("entry-$i")
    entry_addresses+="${entry_addresses:+,}$at:8080"
  done
}

publish_vms() {
  printf '{"vms":[%s],"lag":"0ms"}' "$vms" |
    curl -sS -m 5 --fail -X POST "http://$platform/control/vms" \
      -H 'Content-Type: application/json' -d @- >/dev/null
}

# Starts agents and entries, submits the records and waits until all serve.
fleet_up() {
  local name deadline=$((SECONDS + start_limit))
  publish_vms
  for name in "${targets[@]}"; do start "$name" "$agent" --settings "$work/$name.json"; done
  for name in "${entries[@]}"; do start "$name" "$entry" --settings "$work/$name.json"; done
  wait_ready "${targets[@]}" "${entries[@]}"
  {
    cat <<'JSON'
[{"schemaVersion": 2, "kind": "backEnd", "name": "lm-desk", "spec": {
   "type": "model", "models": [{"name": "desk", "version": "1"}],
   "roles": {"mixed": 1},
   "classes": {"interactive": {"maximumQueuedTokens": 1000000, "defaultDeadline": "2m"}}}}
JSON
    # A service without targets has slices without homes, which entries and
    # the planner would look for all the time.
    [[ " ${targets[*]}" != *" core-"* ]] || cat <<'JSON'
,{"schemaVersion": 1, "kind": "backEnd", "name": "booking-core", "spec": {
   "type": "service", "nonRepeatablePaths": ["/hold"], "immediatePaths": ["/slots"]}}
JSON
    echo "]"
  } >"$work/records.json"
  "$ctl" --entry "$entry_addresses" apply -f "$work/records.json" --wait=20s >"$work/apply.log" || fail "the records did not come into force: $(cat "$work/apply.log")"
  until [[ $("$ctl" --entry "${entry_addresses%%,*}" status -o json |
    grep -o '"state": *"serving"' | wc -l) -ge ${#targets[@]} ]]; do
    ((SECONDS < deadline)) || fail "not every target serves"
    sleep 0.2
  done
}

admin_of() { # NAME: where the process answers /metrics
  local i=${1##*-}
  case $1 in
  entry-*) echo "$prefix.$((10 + i)):8080" ;;
  core-*) echo "$prefix.$((30 + i)):7002" ;;
  lm-*) echo "$prefix.$((50 + i)):7002" ;;
  esac
}

# snapshot FILE NAMES...: one line "name metric value" each, and the store's
# counters. The time is that of each read.
snapshot() {
  local file=$1 name
  shift
  : >"$file"
  for name in "$@"; do
    echo "$name time $(date +%s.%N)" >>"$file"
    curl -sS -m 5 --fail "http://$(admin_of "$name")/metrics" |
      awk -v n="$name" '!/^#/ && NF == 2 {print n, $1, $2}' >>"$file"
  done
  echo "store time $(date +%s.%N)" >>"$file"
  curl -sS -m 5 --fail "http://$platform/control/stats" | tr -d '{}" ' | tr ',' '\n' |
    awk -F: '{print "store", $1, $2}' >>"$file"
}

# rates BEFORE AFTER PREFIX: means over the processes whose name begins with
# PREFIX: CPU percent, control CPU percent, control bytes/s, resident MiB,
# threads. For "store": reads/s and writes/s.
rates() {
  awk -v p="$3" '
    NR == FNR { before[$1, $2] = $3; next }
    index($1, p) == 1 { after[$1, $2] = $3; names[$1] }
    END {
      for (n in names) {
        ++count
        d = after[n, "time"] - before[n, "time"]
        cpu += 100 * (after[n, "process_cpu_seconds_total"] - before[n, "process_cpu_seconds_total"]) / d
        control += 100 * (after[n, "control_cpu_seconds"] - before[n, "control_cpu_seconds"]) / d
        bytes += (after[n, "control_bytes_total"] - before[n, "control_bytes_total"]) / d
        memory += after[n, "process_resident_memory_bytes"] / 1048576
        threads += after[n, "process_threads"]
        reads += (after[n, "reads"] - before[n, "reads"]) / d
        writes += (after[n, "writes"] - before[n, "writes"]) / d
      }
      if (p == "store") printf "%.2f %.2f\n", reads, writes
      else printf "%.3f %.3f %.0f %.2f %.1f\n", cpu / count, control / count,
                  bytes / count, memory / count, threads / count
    }' "$1" "$2"
}
