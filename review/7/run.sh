#!/bin/sh
# Plays case 7: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. An argument is the seed.
cd "$(dirname "$0")/../.." || exit 2
cases=target/review-2/release/review-cases-2
[ -x "$cases" ] && [ -x target/release/dispatcher ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
work=$(mktemp -d) || exit 2
finish() {
    for id in $(cat "$work/pids" 2>/dev/null); do kill -KILL "$id" 2>/dev/null; done
    rm -rf "$work"
}
trap finish EXIT
player=
trap '[ -z "$player" ] || kill -KILL "$player" 2>/dev/null; exit 2' INT TERM HUP
"$cases" 7 review/7/record.txt "$work" "${1:-1}" &
player=$!
wait "$player"
