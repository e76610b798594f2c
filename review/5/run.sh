#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
program=$here/../bin/cancelled
node=$here/../../target/bin/azurepass-node
[ -x "$program" ] && [ -x "$node" ] || exit 2
timeout -s KILL 115 "$program" "$(cd "$here/../.." && pwd)" "$here"
status=$?
[ $status -le 1 ] && exit $status
exit 2
