#!/bin/sh
# Plays the case and writes record.txt: exit 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 119 ../../.venv/bin/python case.py
