#!/usr/bin/env bash
# Usage: run.sh FOLDER CASE. Starts the stand-ins and three scheduling hosts, with the command of the deploy file, and plays a case.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$1
name=$2
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/almondcross ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
work=$(mktemp -d) || exit 2
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  [ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"/
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
target/review-2 -case "$name" -folder "$folder" -work "$work" -template deploy/scheduler.jsonc &
driver=$!
pids+=("$driver")
for _ in $(seq 100); do
  [ -e "$work/ready" ] && break
  kill -0 "$driver" 2>/dev/null || break
  sleep 0.1
done
[ -e "$work/ready" ] || { wait "$driver"; exit 2; }
for settings in "$work"/host-*.jsonc; do
  ALMONDCROSS_SETTINGS=$settings target/almondcross scheduler >"$settings.log" 2>&1 &
  pids+=("$!")
done
wait "$driver"
exit $?
