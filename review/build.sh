#!/usr/bin/env bash
# Builds the stand-ins. They are Python sources without dependencies: compiling them
# shows that this machine can run them.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-5]
