#!/bin/sh
# The stand-ins are Python of the standard library: nothing to build but a check.
cd "$(dirname "$0")" && exec python3 -m py_compile standin.py ./*/case.py
