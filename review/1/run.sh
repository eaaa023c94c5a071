#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." && exec python3 -B review/1/case.py
