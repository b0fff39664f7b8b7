#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/slateridge ] && [ -x target/review/standin ] || exit 2
timeout -k 2 118 target/review/standin header review/2/record.txt
rc=$?
[ $rc -le 2 ] || rc=2
exit $rc
