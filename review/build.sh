#!/bin/sh
# Builds the stand-ins of the cases. They are Python and need no library: they are only compiled here.
cd "$(dirname "$0")" && python3 -m py_compile common/stand_in.py */run.py && rm -rf common/__pycache__ */__pycache__
