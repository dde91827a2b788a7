#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
python3 review/1/case.py &
case_pid=$!
trap 'kill "$case_pid"; wait "$case_pid"; exit 2' INT TERM
wait "$case_pid"
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
