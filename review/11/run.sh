#!/bin/sh
# Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same requests without the change.
cd "$(dirname "$0")" && exec python3 run.py
