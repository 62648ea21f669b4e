#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0: no gateway is killed.
set -uo pipefail
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
killed=1
[[ ${TROUBLE:-1} == 0 ]] && killed=0
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 90 "$root/target/review/case-2" \
  "$root" "$folder" record.txt "$killed"
status=$?
((status <= 2)) || status=2
exit "$status"
