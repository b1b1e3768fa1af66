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
[ -n "${KEEP:-}" ] || trap 'rm -rf "$tmp"' EXIT; [ -z "${KEEP:-}" ] || echo "$tmp"
REVIEW_ROOT="$root" REVIEW_TMP="$tmp" REVIEW_RECORD="$root/review/$1/record.txt" "$program" "$1"
code=$?
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
