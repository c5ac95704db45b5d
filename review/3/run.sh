#!/bin/sh
# Plays the case; TROUBLE=0 plays it without its disruption. Exit status: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec .venv/bin/python review/3/case.py
