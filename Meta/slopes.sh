#!/usr/bin/env bash
# Measures how the cost of control work grows: each dimension below is varied
# over several sizes, each size with a small fleet of its own on loopback, and
# a straight line is fitted. Writes docs/measurements/slope-<dimension>.csv,
# one SVG plot each, and docs/measurements/slopes.csv with the fits.
# Usage: Meta/slopes.sh [build folder] [dimension...]
# FIGLIFT_WINDOW: seconds of each measurement (10); FIGLIFT_ROUNDS: how often
# each size is measured (2); FIGLIFT_OUT: where the files go.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-$top/build}
shift || true
# shellcheck source=Meta/measure-lib.sh
source "$top/Meta/measure-lib.sh"
window=${FIGLIFT_WINDOW:-10}
rounds=${FIGLIFT_ROUNDS:-2}
settle=${FIGLIFT_SETTLE:-3}
out=${FIGLIFT_OUT:-$top/docs/measurements}
mkdir -p "$out"
dimensions=(targets entries streams workspaces records requests changes listed)
[[ $# -gt 0 ]] && dimensions=("$@")

header=size,round,entry_cpu_percent,entry_control_cpu_percent,entry_control_bytes_per_s
header+=,entry_resident_mib,entry_threads,agent_cpu_percent,agent_control_cpu_percent
header+=,agent_control_bytes_per_s,agent_resident_mib,agent_threads,store_reads_per_s
header+=,store_writes_per_s

# observe SIZE ROUND: one line of figures over the window.
observe() {
  sleep "$settle"
  snapshot "$work/before" "${entries[@]}" "${targets[@]}"
  sleep "$window"
  snapshot "$work/after" "${entries[@]}" "${targets[@]}"
  {
    echo "$1 $2"
    rates "$work/before" "$work/after" entry
    rates "$work/before" "$work/after" "${agent_prefix:-lm}"
    rates "$work/before" "$work/after" store
  } | tr '\n' ' ' | sed 's/ $//; s/ /,/g' >>"$csv"
  echo >>"$csv"
  tail -n 1 "$csv"
}

fleet() { # ENTRIES TARGETS TARGETS_PER_BACK_END [SERVICES]
  fleet_new
  add_targets "$2"
  [[ ${4:-0} == 0 ]] || add_services "$4"
  add_entries "$1" "$3"
}

# apply_many COUNT KIND NAME SPEC: submits COUNT records NAME-1, NAME-2, ... in
# operations of at most 64 records.
apply_many() {
  local from
  for ((from = 1; from <= $1; from += 64)); do
    awk -v a="$from" -v n="$1" -v kind="$2" -v name="$3" -v spec="$4" 'BEGIN {
      printf "["
      for (i = a; i <= n && i < a + 64; ++i)
        printf "%s{\"schemaVersion\":1,\"kind\":\"%s\",\"name\":\"%s-%d\",\"spec\":%s}",
          (i > a ? "," : ""), kind, name, i, spec
      print "]" }' >"$work/many.json"
    "$ctl" --entry "$entry_addresses" apply -f "$work/many.json" --wait=60s \
      >"$work/apply.log" || fail "records: $(cat "$work/apply.log")"
  done
}

# One function for each dimension; $1 is the size, $2 the round.
measure_targets() {
  fleet 1 "$1" "$1"
  fleet_up
  observe "$@"
}

measure_entries() {
  fleet "$1" 2 2
  fleet_up
  observe "$@"
}

# Long answers at a slow pace (4 tokens a second): what an open stream itself
# costs. The sizes stay below what the agents take at once, so that none waits.
measure_streams() {
  engine_flags="--decode-step 250ms" fleet 1 4 4
  fleet_up
  if (($1 > 0)); then
    cat >"$work/load.json" <<JSON
{"workloads": {"long": {"model": "desk", "promptTokens": [64, 64],
   "outputTokens": [4000, 4000], "deadlineMilliseconds": 3600000}},
 "phases": [{"durationMilliseconds": 1000, "rates": {"long": $1}}]}
JSON
    "$load" --experiment "$work/load.json" --entry "${entry_addresses}" \
      --timeout-ms 3600000 >"$work/load.out" 2>&1 &
    pids[load]=$!
  fi
  observe "$@"
}

# Records of workspaces, and a steady 100 requests/s spread over all of them.
measure_workspaces() {
  fleet 1 2 2 2
  fleet_up
  apply_many "$1" workspace school '{"share":1}'
  awk -v n="$1" -v s=$((window + settle + 5)) 'BEGIN {
    printf "{\"workloads\":{\"w\":{\"service\":\"booking-core\",\"path\":\"/slots\",\"workspaces\":["
    for (i = 1; i <= n; ++i) printf "%s\"school-%d\"", (i > 1 ? "," : ""), i
    printf "]}},\"phases\":[{\"durationMilliseconds\":%d,\"rates\":{\"w\":100}}]}", s * 1000 }' \
    >"$work/load.json"
  "$load" --experiment "$work/load.json" --entry "$entry_addresses" >"$work/load.out" 2>&1 &
  pids[load]=$!
  agent_prefix=core observe "$@"
}

# Records that nobody uses: targets that do not exist, to be served.
measure_records() {
  fleet 1 2 2
  fleet_up
  apply_many "$1" target spare '{"intent":"serve"}'
  observe "$@"
}

# Short calls of a plain service at a fixed rate.
measure_requests() {
  fleet 1 1 2 2
  fleet_up
  if (($1 > 0)); then
    cat >"$work/load.json" <<JSON
{"workloads": {"short": {"service": "booking-core", "path": "/slots"}},
 "phases": [{"durationMilliseconds": $(((window + settle + 3) * 1000)), "rates": {"short": $1}}]}
JSON
    "$load" --experiment "$work/load.json" --entry "$entry_addresses" >"$work/load.out" 2>&1 &
    pids[load]=$!
  fi
  agent_prefix=core observe "$@"
}

# The size counts changes in ten seconds, each of one workspace's share.
measure_changes() {
  fleet 4 4 4
  fleet_up
  if (($1 > 0)); then
    (
      share=1
      while true; do
        share=$((share % 100 + 1))
        printf '[{"schemaVersion":1,"kind":"workspace","name":"school-1","spec":{"share":%d}}]' \
          $share >"$work/change.json"
        "$ctl" --entry "$entry_addresses" apply -f "$work/change.json" >/dev/null || true
        sleep "$(awk -v n="$1" 'BEGIN { print 10 / n }')"
      done
    ) &
    pids[changes]=$!
  fi
  observe "$@"
}

# Lines of the platform's list that concern another region.
measure_listed() {
  fleet 1 2 2
  local i
  for i in $(seq 1 "$1"); do
    add_vm "far-lm-$i" target lm-desk far-ridge "10.0.$((i / 250)).$((i % 250)):7001"
  done
  fleet_up
  observe "$@"
}

sizes_of() {
  case $1 in
  targets) echo 4 8 16 32 ;;
  entries) echo 2 5 10 20 ;;
  streams) echo 0 20 40 80 ;;
  workspaces) echo 1 600 1200 1800 ;;
  records) echo 1 400 800 1600 ;;
  requests) echo 0 100 200 400 ;;
  changes) echo 0 5 10 20 ;;
  listed) echo 1 300 600 1170 ;;
  *) fail "no dimension \"$1\"" ;;
  esac
}

# fit CSV COLUMN: intercept, slope and the root mean square of the residuals.
fit() {
  awk -F, -v c="$2" 'NR > 1 { ++n; x[n] = $1; y[n] = $c; sx += $1; sy += $c; sxx += $1 * $1; sxy += $1 * $c }
    END {
      slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
      base = (sy - slope * sx) / n
      for (i = 1; i <= n; ++i) square += (y[i] - base - slope * x[i]) ^ 2
      printf "%.6g,%.6g,%.3g", base, slope, sqrt(square / n)
    }' "$1"
}

plot() { # DIMENSION
  command -v gnuplot >/dev/null || return 0
  gnuplot 2>"$work/gnuplot.log" <<GNUPLOT
cd "$out"
set terminal svg size 900,600 dynamic background "white"
set output "slope-$1.svg"
set datafile separator ","
set key off
set multiplot layout 2,3 title "$1"
set xlabel "$1"
set yrange [0:*]
do for [p in "3:entry_CPU_percent 5:entry_control_bytes/s 6:entry_resident_MiB 8:agent_CPU_percent 10:agent_control_bytes/s 13:store_reads/s"] {
  i = strstrt(p, ":")
  c = int(p[1:i-1])
  set title p[i+1:strlen(p)] noenhanced
  f(x) = a + b * x
  a = 1; b = 0.001
  set fit quiet logfile "/dev/null"
  stats "slope-$1.csv" using 1:c nooutput
  a = STATS_intercept; b = STATS_slope
  plot "slope-$1.csv" using 1:c with points pt 7, f(x) with lines
}
unset multiplot
GNUPLOT
}

for dimension in "${dimensions[@]}"; do
  csv=$out/slope-$dimension.csv
  echo "$header" >"$csv"
  echo "== $dimension ($(uptime | sed 's/.*load/load/'))"
  for round in $(seq 1 "$rounds"); do
    for size in $(sizes_of "$dimension"); do
      "measure_$dimension" "$size" "$round"
      fleet_down
    done
  done
  plot "$dimension"
done

fits=$out/slopes.csv
echo "dimension,figure,base,slope_per_unit,rms_residual" >"$fits"
IFS=, read -ra names <<<"$header"
for csv in "$out"/slope-*.csv; do
  dimension=$(basename "$csv" .csv)
  for column in "${!names[@]}"; do
    ((column >= 2)) || continue
    echo "${dimension#slope-},${names[column]},$(fit "$csv" $((column + 1)))" >>"$fits"
  done
done
echo "== fits in $fits"
