#!/bin/sh
# Plays a case of the stand-ins: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$2" && pwd)" || exit 2
cd "$(dirname "$0")/.." || exit 2
case_program=review/standin/target/release/case
[ -x "$case_program" ] || { echo "run review/build.sh first" >&2; exit 2; }
PIDS="$(mktemp)" || exit 2
export PIDS
end_processes() {
    while read -r pid; do
        # Only processes of the daemon: an id may have been used again.
        case "$(readlink "/proc/$pid/exe")" in
            */target/release/endivestile) kill -9 "$pid" 2>/dev/null ;;
        esac
    done < "$PIDS"
    rm -f "$PIDS"
}
trap end_processes EXIT
trap 'exit 2' INT TERM
timeout -k 5 110 "$case_program" "$1" "$folder"
result=$?
# 124 and 137: the time was up.
[ "$result" -le 1 ] || result=2
exit "$result"
