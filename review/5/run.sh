#!/usr/bin/env bash
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")"
exec python3 case.py
