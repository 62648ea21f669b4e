#!/usr/bin/env bash
# Measures what figlift adds to a request, on loopback with stand-ins: paired
# runs of the same schedule straight at the engine stand-in and through an
# entry and its agent (latency to the first token, per token and whole), short
# requests a second through one entry, and what idle processes hold.
# Writes docs/measurements/bench-latency.csv, bench-rate.csv, bench-idle.csv.
# Usage: Meta/bench.sh [build folder] [latency|rate|idle...]
# FIGLIFT_ROUNDS: pairs of runs (5); FIGLIFT_OUT: where the files go.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-$top/build}
shift || true
# shellcheck source=Meta/measure-lib.sh
source "$top/Meta/measure-lib.sh"
rounds=${FIGLIFT_ROUNDS:-5}
out=${FIGLIFT_OUT:-$top/docs/measurements}
mkdir -p "$out"
parts=(latency rate idle)
[[ $# -gt 0 ]] && parts=("$@")

# field FILE SERIES QUANTILE: of the member "all" of a report.
field() {
  awk -v s="\"$2\"" -v q="\"$3\"" '
    /"all"/ { on = 1 }
    on && index($0, s) { inside = 1 }
    on && inside && index($0, q) { gsub(/[^0-9.e+-]/, "", $2); print $2; exit }' "$1"
}

count() { # FILE NAME: a plain number of the member "all"
  awk -v s="\"$2\":" '/"all"/ { on = 1 } on && index($0, s) { gsub(/[^0-9.e+-]/, "", $2); print $2; exit }' "$1"
}

bench_latency() {
  local csv=$out/bench-latency.csv round path address flags
  engine_flags="--decode-step 10ms --prefill-rate 1000000"
  fleet_new
  add_targets 1
  add_entries 1 1
  fleet_up
  cat >"$work/load.json" <<'JSON'
{"workloads": {"answer": {"model": "desk", "promptTokens": [64, 64], "outputTokens": [20, 20]}},
 "phases": [{"durationMilliseconds": 10000, "rates": {"answer": 20}}]}
JSON
  echo "round,path,good,broken,first_p50_ms,first_p99_ms,gap_p50_ms,gap_p99_ms,total_p50_ms,total_p99_ms" >"$csv"
  for round in $(seq 1 "$rounds"); do
    for path in direct figlift; do
      address=$entry_addresses flags=""
      [[ $path == direct ]] && address=$prefix.51:7201 flags=--direct
      # shellcheck disable=SC2086
      "$load" --experiment "$work/load.json" --seed "$round" --entry "$address" \
        $flags -o json >"$work/$path.out"
      echo "$round,$path,$(count "$work/$path.out" good),$(count "$work/$path.out" broken),$(
        for series in firstToken betweenTokens total; do
          field "$work/$path.out" $series p50ms
          field "$work/$path.out" $series p99ms
        done | paste -sd,
      )" >>"$csv"
    done
  done
  fleet_down
  cat "$csv"
  awk -F, 'NR > 1 { for (c = 5; c <= 10; ++c) v[$1, $2, c] = $c; r[$1] }
    END { split("5:first_token_p50 6:first_token_p99 7:per_token_p50 8:per_token_p99 9:whole_p50 10:whole_p99", cs, " ")
      for (i = 1; i in cs; ++i) { split(cs[i], p, ":"); n = 0; lo = 1e9; hi = -1e9; sum = 0
        for (k in r) { d = v[k, "figlift", p[1]] - v[k, "direct", p[1]]; sum += d; ++n; if (d < lo) lo = d; if (d > hi) hi = d }
        printf "added %s ms: mean %.3f, %.3f to %.3f over %d pairs\n", p[2], sum / n, lo, hi, n } }' "$csv"
}

# Closed loop over two load tools, so that the tool is not the bound.
bench_rate() {
  local csv=$out/bench-rate.csv round tool
  fleet_new
  add_targets 1
  add_services 4
  add_entries 1 8
  fleet_up
  cat >"$work/load.json" <<'JSON'
{"workloads": {"short": {"service": "booking-core", "path": "/slots"}},
 "phases": [{"durationMilliseconds": 1000, "rates": {"short": 15000}}]}
JSON
  echo "round,concurrency,requests_per_s,refused_or_broken,p50_ms,p99_ms,entry_cpu_percent,agent_cpu_percent" >"$csv"
  for concurrency in 16 64 128; do
    for round in $(seq 1 "$rounds"); do
      snapshot "$work/before" "${entries[@]}" "${targets[@]}"
      for tool in 1 2; do
        "$load" --experiment "$work/load.json" --seed "$tool" --entry "$entry_addresses" \
          --concurrency $((concurrency / 2)) -o json >"$work/rate-$tool.out" &
        pids[load-$tool]=$!
      done
      wait "${pids[load-1]}" "${pids[load-2]}"
      unset "pids[load-1]" "pids[load-2]"
      snapshot "$work/after" "${entries[@]}" "${targets[@]}"
      echo "$round,$concurrency,$(
        for tool in 1 2; do
          echo "$(count "$work/rate-$tool.out" goodput) $(count "$work/rate-$tool.out" offered) $(count "$work/rate-$tool.out" good) $(field "$work/rate-$tool.out" total p50ms) $(field "$work/rate-$tool.out" total p99ms)"
        done | awk '{ rate += $1; bad += $2 - $3; p50 += $4 / 2; if ($5 > p99) p99 = $5 } END { printf "%.0f,%d,%.2f,%.2f", rate, bad, p50, p99 }'
      ),$(rates "$work/before" "$work/after" entry | cut -d' ' -f1),$(rates "$work/before" "$work/after" core | cut -d' ' -f1)" >>"$csv"
      tail -n 1 "$csv"
    done
  done
  fleet_down
}

bench_idle() {
  local csv=$out/bench-idle.csv round
  echo "round,process,cpu_percent,control_cpu_percent,control_bytes_per_s,resident_mib,threads" >"$csv"
  for round in $(seq 1 "$rounds"); do
    fleet_new
    add_targets 1
    add_services 1
    add_entries 1 8
    fleet_up
    sleep 2
    snapshot "$work/before" "${entries[@]}" "${targets[@]}"
    sleep 5
    snapshot "$work/after" "${entries[@]}" "${targets[@]}"
    for process in entry lm core; do
      echo "$round,$process,$(rates "$work/before" "$work/after" $process | tr ' ' ,)" >>"$csv"
    done
    fleet_down
  done
  cat "$csv"
}

for part in "${parts[@]}"; do
  echo "== $part ($(uptime | sed 's/.*load/load/'))"
  "bench_$part"
done
