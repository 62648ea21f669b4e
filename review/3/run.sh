#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0: the limit has its later value from the start.
set -uo pipefail
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
raised=1
[[ ${TROUBLE:-1} == 0 ]] && raised=0
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 60 "$root/target/review/case-3" \
  "$root" "$folder" record.txt "$raised"
status=$?
((status <= 2)) || status=2
exit "$status"
