#!/usr/bin/env bash
# The whole path in one run: installs, builds, starts a small deployment in the
# sizes of the Exchange (nine engines, four booking services, two entries, an
# agent beside each target, stand-ins for engines, services and the platform),
# submits the sample records, sends one request of each kind, prints the
# answers and the time line, and stops everything gracefully.
# Usage: Meta/demo.sh [build folder]. Exit status 0 only when all went right.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-$top/build}
engines=9
services=4
zones=(hall-a hall-b hall-c hall-d)
start_limit=20
stop_limit=30

"$top/Meta/build.sh" "$build"

work=$(mktemp -d)
declare -A pids=()

cleanup() {
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
    wait "${pids[$name]}" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap cleanup EXIT

fail() {
  echo "demo: $1" >&2
  exit 1
}

# A loopback prefix of this run's own; ports below the ephemeral range.
prefix="127.$((200 + $$ / 250 % 50)).$((1 + $$ % 250))"
platform=$prefix.1:7201

# start NAME PROGRAM ARGUMENTS...: starts one process, waits for its ready line.
start() {
  local name=$1 deadline=$((SECONDS + start_limit))
  shift
  : >"$work/$name.log"
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
  until grep -qE 'listening|"ready"' "$work/$name.log"; do
    kill -0 "${pids[$name]}" 2>/dev/null || {
      cat "$work/$name.log" >&2
      fail "$name ended while it started"
    }
    ((SECONDS < deadline)) || fail "$name was not ready in ${start_limit}s"
    sleep 0.05
  done
}

# write_settings FILE ID ZONE LISTEN EXTRA: settings of one process.
write_settings() {
  cat >"$1" <<JSON
{
  // Written by Meta/demo.sh; docs/SETTINGS.md explains every field.
  "process": {"id": "$2", "zone": "$3", "region": "blue-ridge"},
  "platform": {"address": "$platform"},
  "listen": $4$5
}
JSON
}

vms=""
add_vm() { # ID KIND BACKEND ZONE PEER
  vms+="${vms:+,}{\"id\":\"$1\",\"kind\":\"$2\",\"backEnd\":\"$3\",\"zone\":\"$4\","
  vms+="\"region\":\"blue-ridge\",\"peer\":\"$5\",\"state\":\"live\"}"
}

start_target() { # ID BACKEND TYPE OCTET ZONE STANDIN-ARGUMENTS...
  local id=$1 back_end=$2 type=$3 octet=$4 zone=$5
  shift 5
  start "target-$id" "$@" --listen "$prefix.$octet:7201"
  write_settings "$work/$id.json" "$id" "$zone" \
    "{\"peer\": \"$prefix.$octet:7001\", \"admin\": \"$prefix.$octet:7002\"}" \
    ", \"target\": {\"address\": \"$prefix.$octet:7201\", \"type\": \"$type\", \"backEnd\": \"$back_end\"}"
  add_vm "$id" target "$back_end" "$zone" "$prefix.$octet:7001"
}

publish_vms() {
  curl -sS -m 5 --fail -X POST "http://$platform/control/vms" \
    -H 'Content-Type: application/json' -d "{\"vms\":[$vms],\"lag\":\"0ms\"}" >/dev/null
}

stand_ins=$build/Tests/StandIns
agent=$build/Services/figlift-agent/figlift-agent
entry=$build/Services/figlift-entry/figlift-entry
ctl=$build/Utilities/figlift-ctl/figlift-ctl
timeline=$build/Utilities/figlift-timeline/figlift-timeline

echo "== starting the stand-ins, $((engines + services)) agents and 2 entries"
start platform "$stand_ins/platform-standin/platform-standin" --listen "$platform"
target_ids=()
sources=""
for i in $(seq 1 $engines); do
  start_target "lm-desk-$i" lm-desk engine $((50 + i)) "${zones[$((i % 4))]}" \
    "$stand_ins/engine-standin/engine-standin" --role mixed \
    --models instructor-match@3,lesson-note@2 --platform "$platform"
  target_ids+=("lm-desk-$i")
  sources+="${sources:+,}$prefix.$((50 + i)):7002"
done
for i in $(seq 1 $services); do
  start_target "booking-core-$i" booking-core service $((80 + i)) "${zones[$((i - 1))]}" \
    "$stand_ins/service-standin/service-standin"
  target_ids+=("booking-core-$i")
  sources+=",$prefix.$((80 + i)):7002"
done
for i in 1 2; do
  write_settings "$work/entry-$i.json" "entry-$i" "${zones[$((i - 1))]}" \
    "{\"callers\": \"$prefix.$((10 + i)):8080\", \"peer\": \"$prefix.$((10 + i)):7001\"}" ""
  add_vm "entry-$i" entry "" "${zones[$((i - 1))]}" "$prefix.$((10 + i)):7001"
  sources+=",$prefix.$((10 + i)):8080"
done
publish_vms
for id in "${target_ids[@]}"; do
  start "$id" "$agent" --settings "$work/$id.json"
done
for i in 1 2; do
  start "entry-$i" "$entry" --settings "$work/entry-$i.json"
done
callers=$prefix.11:8080
entries=$prefix.11:8080,$prefix.12:8080

echo "== submitting the sample records"
"$ctl" --entry "$entries" apply -f "$top/Samples/exchange.json" --wait=10s
"$ctl" --entry "$entries" list

echo "== waiting until every target serves"
deadline=$((SECONDS + start_limit))
until [[ $("$ctl" --entry "$callers" status -o json |
  grep -o '"state": *"serving"' | wc -l) -ge $((engines + services)) ]]; do
  ((SECONDS < deadline)) || {
    "$ctl" --entry "$entries" status >&2
    fail "not every target serves"
  }
  sleep 0.1
done
"$ctl" --entry "$entries" status

echo "== a long prompt with a yes-or-no answer (streamed)"
roster=$(printf 'Instructor %05d teaches level B on Tuesday. ' $(seq 1 500))
curl -sS -m 30 --fail -N "http://$callers/v1/completions" \
  -H 'Content-Type: application/json' \
  -d "{\"model\":\"instructor-match\",\"prompt\":\"$roster\",\"max_tokens\":1,\"stream\":true}" |
  tee "$work/long.out"
grep -q 'data: \[DONE\]' "$work/long.out" || fail "the long request was cut"

echo "== a short prompt with a written reply (streamed)"
curl -sS -m 30 --fail -N "http://$callers/v1/chat/completions" \
  -H 'Content-Type: application/json' \
  -d '{"model":"lesson-note","messages":[{"role":"user","content":"Confirm the lesson at nine."}],"max_tokens":12,"stream":true}' |
  tee "$work/short.out"
grep -q 'data: \[DONE\]' "$work/short.out" || fail "the short request was cut"

echo "== one slot hold, sent twice with the same idempotency key"
# A UUIDv7 (RFC 9562): 48 bits of milliseconds, then random bits.
milliseconds=$(date +%s%3N)
key=$(printf '%08x-%04x-7%03x-8%03x-%04x%04x%04x' \
  $((milliseconds >> 16)) $((milliseconds & 0xffff)) \
  $((RANDOM & 0xfff)) $((RANDOM & 0xfff)) $RANDOM $RANDOM $RANDOM)
for i in 1 2; do
  curl -sS -m 30 --fail "http://$prefix.$((10 + i)):8080/v1/services/booking-core/slots/hold/42" \
    -H "Idempotency-Key: $key" -H 'Content-Type: application/json' \
    -d '{"child":"A","slot":42}' | tee "$work/hold-$i.out"
  echo
done
cmp "$work/hold-1.out" "$work/hold-2.out" || fail "the two answers differ"
executions=0
for i in $(seq 1 $services); do
  count=$(curl -sS -m 5 "http://$prefix.$((80 + i)):7201/control/book" |
    grep -o "\"$key\": *[0-9]*" | grep -o '[0-9]*$' || true)
  executions=$((executions + ${count:-0}))
done
[[ $executions == 1 ]] || fail "the slot hold ran $executions times"
echo "the slot hold ran once"

echo "== time line"
"$timeline" --from "$sources" --format text | tail -n 40

echo "== stopping gracefully"
for name in entry-1 entry-2 "${target_ids[@]}"; do
  kill -TERM "${pids[$name]}"
done
deadline=$((SECONDS + stop_limit))
for name in entry-1 entry-2 "${target_ids[@]}"; do
  while kill -0 "${pids[$name]}" 2>/dev/null; do
    ((SECONDS < deadline)) || fail "$name did not stop within ${stop_limit}s"
    sleep 0.05
  done
  wait "${pids[$name]}" || fail "$name ended with status $?"
  unset "pids[$name]"
done
echo "== demo: all went right"
