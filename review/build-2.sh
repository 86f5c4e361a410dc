#!/bin/bash
# Builds the stand-ins of cases 6 to 10: Python files without dependencies, so this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q stage2.py target2.py 6 7 8 9 10
