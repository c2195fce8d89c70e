#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
timeout --kill-after=3 115 "review/build/case_$(basename "$folder")" "$folder/record.txt" &
child=$!
trap 'kill "$child"' INT TERM
wait "$child"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
