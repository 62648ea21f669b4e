#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0: no server sends a second copy of an answer.
set -uo pipefail
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
share=0.03
[[ ${TROUBLE:-1} == 0 ]] && share=0
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 115 "$root/target/review/case-1" \
  "$root" "$folder" record.txt "$share" 600
status=$?
((status <= 2)) || status=2
exit "$status"
