#!/bin/sh
# Plays a case: play.sh CASE RECORD. Exits as `review/standin/main.rs` says.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.." || exit 2
program=target/release/oleanderrudder
standin=target/review/standin
[ -x "$program" ] && [ -x "$standin" ] || { echo "not built"; exit 2; }
folder=$(mktemp -d) || exit 2
player=

finish() {
    # `timeout` passes the signal on to the stand-in.
    [ -n "$player" ] && kill "$player" 2>/dev/null && wait "$player"
    # The stand-in ends its processes itself; this is for the case that it was ended before.
    [ -f "$folder/processes" ] && while read -r process; do
        [ "$(cat "/proc/$process/comm" 2>/dev/null)" = oleanderrudder ] && kill -9 "$process"
    done < "$folder/processes"
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM

timeout 110 "$standin" "$1" "$program" "$folder" "$2" &
player=$!
wait "$player"
code=$?
player=
[ "$code" -le 2 ] || code=2
exit "$code"
