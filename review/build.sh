#!/bin/sh
# Builds the stand-ins of the cases: they are Python programs of the standard library alone, run by the build's interpreter.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
