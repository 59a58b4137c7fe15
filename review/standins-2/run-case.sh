#!/bin/sh
# run-case.sh N: runs the program of case N and ends the processes that it leaves behind.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/sloetrail-adapter "target/review-2/case-$1"; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: build the deploy file, then review/build-2.sh" >&2
        exit 2
    fi
done
FOLDER=$(mktemp -d) || exit 2
PROCESSES=$FOLDER/processes
export FOLDER PROCESSES
end() {
    [ -n "$case_process" ] && kill -9 "$case_process" 2>/dev/null
    for process in $(cat "$PROCESSES" 2>/dev/null); do
        case $(readlink "/proc/$process/exe") in
            */sloetrail-adapter) kill -9 "$process" 2>/dev/null ;;
        esac
    done
    rm -rf "$FOLDER"
}
trap 'end; exit 2' INT TERM
"target/review-2/case-$1" "review/$1/record.txt" &
case_process=$!
wait "$case_process"
result=$?
case_process=
end
case $result in
    0 | 1) exit $result ;;
    *) exit 2 ;;
esac
