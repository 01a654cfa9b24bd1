#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." && exec python3 review/5/case.py
