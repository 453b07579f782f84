#!/usr/bin/env bash
# Checks the stand-ins of the review. They are Python programs without
# dependencies, so there is nothing else to build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [1-5]/*.py <<'P'
import sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
P
