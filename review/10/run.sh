#!/bin/bash
# Exit code: 1 if the rule is broken, 0 if it holds, 2 if the case can't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" && exec timeout --preserve-status -k 2 116 python3 case.py
