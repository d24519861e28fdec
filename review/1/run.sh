#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build.sh.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
[ -f "$root/target/waxwingquay.jar" ] && [ -f "$root/target/review/PoisonStream.class" ] || exit 2
timeout 115 java -Xmx256m -cp "$root/target/review" PoisonStream "$folder" "$root" &
program=$!
trap 'kill "$program"' TERM INT
wait "$program"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
