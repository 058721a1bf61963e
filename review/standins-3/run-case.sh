#!/usr/bin/env bash
# Runs the program of a case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. All processes that it started have ended then.
set -u
cd "$(dirname "$0")/../.."
name=$1
folder=$2
for program in "target/release/mustardgate-platform" "target/review-3/$name"; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build-3.sh"
    exit 2
  fi
done
pids=$(mktemp)
end_all() {
  while read -r pid; do
    [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null
  done < <(cat "$pids"; echo)
  rm -f "$pids"
}
trap end_all EXIT
REVIEW_PIDS=$pids timeout 115 "target/review-3/$name" "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
