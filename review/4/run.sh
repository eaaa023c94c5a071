#!/bin/sh
# Exits with 1 if RECOVER was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." && exec python3 -B review/4/case.py
