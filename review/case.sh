#!/usr/bin/env bash
# Runs one case: review/case.sh N. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
case "$1" in *[!0-9]* | "") exit 2 ;; esac
program="$root/target/review/release/review-case"
for needed in "$program" "$root/target/release/orioleworks-store" "$root/target/release/orioleworks-gateway"; do
  [ -x "$needed" ] || { echo "missing: $needed"; exit 2; }
done
tmp=$(mktemp -d) || exit 2
# Ends the processes that the case started and left, and removes its folder.
clean_up() {
  [ -z "${child:-}" ] || kill -KILL "$child" 2>/dev/null
  while read -r pid; do
    if tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -q "^$root/target/release/orioleworks-"; then
      kill -KILL "$pid"
    fi
  done < <(cat "$tmp/pids" 2>/dev/null)
  rm -rf "$tmp"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
REVIEW_ROOT="$root" REVIEW_TMP="$tmp" REVIEW_RECORD="$root/review/$1/record.txt" "$program" "$1" &
child=$!
wait "$child"
code=$?
kill -KILL "$child" 2>/dev/null
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
