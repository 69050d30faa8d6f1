#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. Needs target/pollentack (the deploy file's build) and
# review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
rig=$top/review/bin/rig
[ -x "$rig" ] && [ -x "$top/target/pollentack" ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
cd "$top" || exit 2
"$rig" reader-cut target/pollentack "$here/record.txt" &
child=$!
trap 'kill $child 2>/dev/null' INT TERM
wait $child
