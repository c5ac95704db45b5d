#!/bin/sh
# Builds what the cases 6 to 10 start beside the platform's own build: their stand-ins, which are plain Python.
cd "$(dirname "$0")/.." || exit 2
for number in 6 7 8 9 10; do
    [ -d "review/$number" ] || continue
    .venv/bin/python -m compileall -q "review/$number" || exit 2
done
