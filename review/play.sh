#!/usr/bin/env bash
# Plays one case: play.sh FOLDER PROGRAM. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# The dispatcher has to be built by the command of the deploy file, the stand-ins by build.sh.
set -u
here=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/review/stand-ins/target/release/$2
for built in "$program" "$root/target/release/dispatcher"; do
    [ -x "$built" ] || { echo "not built: ${built#"$root"/}" >&2; exit 2; }
done
folder=$(mktemp -d) || exit 2
end() {
    # The dispatcher, if the program was killed before it could end it.
    [ -f "$folder/dispatcher.pid" ] && kill -KILL "$(cat "$folder/dispatcher.pid")" 2>/dev/null
    rm -rf "$folder"
}
trap end EXIT
timeout --kill-after=2 115 "$program" "$root" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
