#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
Case=$(dirname "$0")
rm -f "$Case/record.txt"
python3 -B "$Case/scenario.py"
Code=$?
# The interpreter itself exits with 1 when a program cannot start.
if [ "$Code" -eq 1 ] && ! grep -qs 'exit code 1$' "$Case/record.txt"; then
  Code=2
fi
exit "$Code"
