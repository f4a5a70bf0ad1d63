#!/bin/bash
# Builds the stand-ins that the scripts of the second review start: Python files that need the standard library alone.
cd "$(dirname "$0")" && exec python3 -m compileall -q sound_brick.py small_fleet.py
