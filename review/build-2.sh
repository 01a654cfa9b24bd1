#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of review/6 to review/9 start, the project's
# own too, and checks that they import what the build of the deploy file provides.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.:review
python3 -m compileall -q testkit/hosted testkit/loopback.py review/standins2
python3 -c "import standins2.fleet, standins2.worker, testkit.hosted.log_store"
