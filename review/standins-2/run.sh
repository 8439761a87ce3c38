#!/usr/bin/env bash
# Runs one case: `run.sh FOLDER CASE`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 the case runs without its disruption.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
for program in target/release/dappleway target/review-2/standins-2; do
  [ -x "$program" ] || { echo "$program is missing: build it first"; exit 2; }
done
work=$(mktemp -d)
# The case ends its processes itself; this is for one that ended early.
end() {
  while read -r pid; do
    [ "$(readlink "/proc/$pid/exe")" = "$PWD/target/release/dappleway" ] && kill -9 "$pid"
  done <"$work/pids"
  rm -rf "$work"
}
touch "$work/pids"
trap end EXIT
timeout 115 target/review-2/standins-2 "$2" "$work" "${TROUBLE:-1}"
status=$?
cp "$work/record.txt" "$folder/record.txt" 2>/dev/null
tail -n 1 "$folder/record.txt" 2>/dev/null
[ "$status" -le 1 ] || exit 2
exit "$status"
